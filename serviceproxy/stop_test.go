package serviceproxy

import (
	"context"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/view"
)

// Guards against requests that wait for an endpoint until their box stops, and against those that may have run and are refused as not
// run. The lines of testdata/waits.txt are played on a box that knows no endpoint.
func TestWaitsEndWithShutdown(t *testing.T) {
	b, err := os.ReadFile("testdata/waits.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playWait(t, f) })
		})
	}
}

// fresh is a refresher with nothing to do.
type fresh struct{}

func (fresh) EnsureFresh(context.Context) bool { return true }

func playWait(t *testing.T, f []string) {
	t.Helper()
	parse := func(s string) time.Duration {
		d, err := time.ParseDuration(s)
		require.NoError(t, err)
		return d
	}
	p := New()
	p.Window, p.view, p.follower, p.decisions = &shutdown.Window{}, view.New(), &configsync.Follower{}, decisions.New("b", zerolog.Nop())
	p.noticeObserver = fresh{}
	began := time.Now()
	q := Request{ID: "r", Service: "s", Method: "POST", Deadline: began.Add(parse(f[2]))}
	if f[3] != "-" {
		p.answers.Record(q.answerKey(), parse(f[3]), boottime.Now())
	}
	stop := time.AfterFunc(parse(f[0]), func() { p.Window.Begin(boottime.Now(), time.Second, parse(f[1])) })
	defer stop.Stop()
	_, err := p.Do(t.Context(), q)
	require.Equal(t, f[4], errkind.Of(err).Kind.String())
	require.Equal(t, parse(f[5]), time.Since(began))
}

// A request that is cancelled at the end of a shutdown is refused as not run only if it has not run.
func TestStoppingError(t *testing.T) {
	c, cancel := context.WithCancelCause(t.Context())
	cut := errkind.New(errkind.DeadlinePassed, "cut")
	require.Equal(t, cut, stoppingError(c, recovery.State{}, cut))
	cancel(errkind.New(errkind.Stopping, "this box stops"))
	require.Equal(t, errkind.Stopping, errkind.Of(stoppingError(c, recovery.State{}, cut)).Kind)
	require.Equal(t, errkind.OutcomeUnknown, errkind.Of(stoppingError(c, recovery.State{MayHaveRun: true}, cut)).Kind)
}
