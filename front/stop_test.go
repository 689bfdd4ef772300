package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/serviceproxy"
)

// lateBody is a line of testdata/late_bodies.txt: when the stop begins and how long it takes, the deadline of the request, when its
// body ends, and the outcome and its time. All times are from the head on; - stands for never.
type lateBody struct{ stop, limit, deadline, body, outcome, at string }

func parseTime(t *testing.T, s string) time.Duration {
	t.Helper()
	if s == "-" {
		return time.Hour
	}
	d, err := time.ParseDuration(s)
	require.NoError(t, err)
	return d
}

// Guards against bodies that come too late for the box to finish their requests before it stops, and that it waits for, and against
// slow bodies that are refused as malformed.
func TestLateBodies(t *testing.T) {
	b, err := os.ReadFile("testdata/late_bodies.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLateBody(t, lateBody{f[0], f[1], f[2], f[3], f[4], f[5]}) })
		})
	}
}

func playLateBody(t *testing.T, l lateBody) {
	t.Helper()
	f := New(Options{MaxBody: 1 << 10, MaxRequests: 9}, metrics.NewRegistry(), zerolog.Nop())
	p := serviceproxy.New()
	p.Window = f.Window
	began := time.Now()
	deadline := began.Add(parseTime(t, l.deadline))
	read := make(chan error, 1)
	s := f.newServer()
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		c, cancel := p.WaitContext(r.Context(), serviceproxy.Request{Deadline: deadline})
		defer cancel()
		b, release, err := f.readBodyBefore(c, &session{w: w, r: r, headers: callerHeaders{deadline: deadline}})
		if err == nil {
			require.Equal(t, "body", string(b))
			release()
		}
		read <- err
		if err != nil {
			f.writeError(w, "id", err)
		}
	})
	near, far := net.Pipe()
	n := oneConn{conns: make(chan net.Conn, 1)}
	n.conns <- far
	go func() { _ = s.Serve(n) }()
	defer func() {
		near.Close()
		close(n.conns)
		_ = s.Close()
	}()
	stop := time.AfterFunc(parseTime(t, l.stop), func() { f.Window.Begin(boottime.Now(), time.Second, parseTime(t, l.limit)) })
	defer stop.Stop()
	body := time.AfterFunc(parseTime(t, l.body), func() { _, _ = io.WriteString(near, "y") })
	defer body.Stop()
	_, err := io.WriteString(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbod")
	require.NoError(t, err)
	answer := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		if err != nil {
			answer <- 0
			return
		}
		defer resp.Body.Close()
		answer <- resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
	}()
	err = <-read
	require.Equal(t, parseTime(t, l.at), time.Since(began))
	if l.outcome == "read" {
		require.NoError(t, err)
		return
	}
	require.Equal(t, l.outcome, errkind.Of(err).Kind.String())
	require.Equal(t, errkind.Of(err).Kind.Response().Status, <-answer)
}

// When the stop ends, a caller is told to resume its stream at another box only if the stream may have begun and there is one.
func TestClosingError(t *testing.T) {
	closed, cancel := context.WithCancelCause(t.Context())
	cancel(errClosing)
	refused, cut := errkind.New(errkind.Stopping, "refused"), errors.New("cut")
	f := New(Options{}, metrics.NewRegistry(), zerolog.Nop())
	require.NoError(t, f.closingError(closed, nil))
	require.Equal(t, cut, f.closingError(t.Context(), cut))
	require.Equal(t, refused, f.closingError(closed, refused))
	require.Equal(t, errClosing, f.closingError(closed, cut))
	f.isAlone.Store(true)
	require.Equal(t, errkind.OutcomeUnknown, errkind.Of(f.closingError(closed, cut)).Kind)
	require.Equal(t, refused, f.closingError(closed, refused))
}
