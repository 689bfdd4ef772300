package forward_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
)

// failingLinks are links on which some connections after the first fail.
type failingLinks struct {
	tunnelLinks
	err   error
	fails int64
	dials atomic.Int64
}

func (l *failingLinks) Connect(c context.Context, _, address string) (net.Conn, error) {
	if n := l.dials.Add(1); n > 1 && n <= 1+l.fails {
		return nil, l.err
	}
	return (&net.Dialer{}).DialContext(c, "tcp", address)
}

// Guards against whole answers without a length or chunks that are refused since no other box answered in time when a connection for the
// health check was asked for. A refused connection shows that the process has ended, and is not tried again.
func TestCheckThatWasNotSentEndsAnswer(t *testing.T) {
	for _, c := range []struct {
		err   error
		whole bool
		dials int64
	}{
		{errors.New("no box reaches the endpoint: no_answer"), true, 4},
		{syscall.ECONNREFUSED, false, 2},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			s := newScript(t)
			s.step([]string{"health"}, "")
			s.step([]string{"route", "mutating", "2"}, "")
			s.step([]string{"endpoint", "a", "unframed"}, "")
			l := &failingLinks{err: c.err, fails: 2}
			s.f.Pool.Connector = l
			s.call("", "", nil)
			require.Equal(t, c.dials, l.dials.Load())
			if !c.whole {
				require.True(t, errkind.Is(s.err, errkind.OutcomeUnknown), s.err)
				return
			}
			require.NoError(t, s.err)
			require.Equal(t, http.StatusOK, s.last.status)
			require.Equal(t, "from a", s.last.body)
		})
	}
}
