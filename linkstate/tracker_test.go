package linkstate_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/linkstate"
)

var epoch = time.Unix(1_000_000, 0)

func ExampleTracker() {
	var t linkstate.Tracker
	t.RecordFailure("e-1", true, epoch)
	fmt.Println(t.Path("e-1"))
	t.RecordReachable("e-1", epoch)
	fmt.Println(t.Path("e-1"))
	t.RecordConnected("e-1", epoch.Add(time.Second))
	fmt.Println(t.Path("e-1"))
	// Output:
	// direct
	// detour
	// direct
}

// script runs the steps of one file. Times are since the start of the file.
type script struct {
	t       *testing.T
	tracker linkstate.Tracker
	now     time.Time
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, p := range files {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) {
			f, err := os.Open(p)
			require.NoError(t, err)
			defer f.Close()
			s := &script{t: t, now: epoch}
			for r := bufio.NewScanner(f); r.Scan(); {
				if w := strings.Fields(r.Text()); len(w) > 0 && w[0] != "#" {
					s.step(w)
				}
			}
		})
	}
}

func (s *script) step(w []string) {
	arg := w[len(w)-1]
	switch w[0] {
	case "at":
		d, err := time.ParseDuration(arg)
		require.NoError(s.t, err)
		s.now = epoch.Add(d)
	case "traffic":
		s.tracker.RecordTraffic(arg, s.now)
	case "connected":
		s.tracker.RecordConnected(arg, s.now)
	case "refused", "silent":
		s.tracker.RecordFailure(arg, w[0] == "silent", s.now)
	case "reachable":
		s.tracker.RecordReachable(arg, s.now)
	case "gone", "ended":
		s.tracker.RecordGone(arg, w[0] == "ended", s.now)
	case "forget":
		s.tracker.Forget(func(id string) bool { return id != arg })
	case "expect":
		s.expect(w[1:])
	default:
		s.t.Fatalf("no step %q", w)
	}
}

func (s *script) expect(w []string) {
	switch w[0] {
	case "path":
		require.Equal(s.t, w[2], s.tracker.Path(w[1]).String(), "%v", w)
	case "lost":
		require.Equal(s.t, w[1], fmt.Sprint(s.tracker.CountLost()))
	case "due":
		due, _ := s.tracker.DueProbes(s.now)
		slices.Sort(due)
		require.Equal(s.t, strings.Join(w[1:], " "), strings.Join(due, " "))
	case "no_probes":
		_, more := s.tracker.DueProbes(s.now)
		require.False(s.t, more)
	case "reuse": // an idle connection that was last used at a time
		d, err := time.ParseDuration(w[2])
		require.NoError(s.t, err)
		require.Equal(s.t, w[3], fmt.Sprint(!epoch.Add(d).Before(s.tracker.ReusableSince(w[1]))), "%v", w)
	case "asks":
		gone, _ := s.tracker.IsGone(w[1], s.now)
		require.Equal(s.t, w[2], fmt.Sprint(!gone))
	case "ended":
		_, refused := s.tracker.IsGone(w[1], s.now)
		require.Equal(s.t, w[2], fmt.Sprint(refused))
	case "check": // since a time
		d, err := time.ParseDuration(w[2])
		require.NoError(s.t, err)
		require.Equal(s.t, w[3], fmt.Sprint(s.tracker.BeginCheck(w[1], epoch.Add(d), s.now)), "%v", w)
	default:
		s.t.Fatalf("no expectation %q", w)
	}
}

// The probes of many failed links are bounded, and none is left out for long.
func TestProbesAreBounded(t *testing.T) {
	var k linkstate.Tracker
	for i := range 1000 {
		k.RecordFailure(fmt.Sprint(i), true, epoch)
		k.RecordReachable(fmt.Sprint(i), epoch)
	}
	probed := map[string]bool{}
	for i := range 100 {
		due, more := k.DueProbes(epoch.Add(time.Duration(i) * 100 * time.Millisecond))
		require.True(t, more)
		require.LessOrEqual(t, len(due), 32)
		for _, id := range due {
			probed[id] = true
		}
	}
	require.Greater(t, len(probed), 900)
}
