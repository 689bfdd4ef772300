package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// Guards against boxes that wait seconds for an answer because the receivers of others have stalled: a relay that answered some of
// its members over connections that carried nothing left the configuration of the others old.
func TestStalledReceiversHoldUpNoOthers(t *testing.T) {
	const limit = 4
	synctest.Test(t, func(t *testing.T) {
		s := NewServer("secret")
		Handle(s, "large", func(context.Context, int) ([]byte, error) { return make([]byte, 1<<20), nil })
		s.LimitConcurrency("large", limit)
		c, cancel := context.WithCancel(t.Context())
		defer cancel()
		call := func() *frame.Conn {
			near, far := net.Pipe()
			go s.serve(c, far)
			f := frame.New(near)
			t.Cleanup(func() { f.Close() })
			require.NoError(t, clientHandshake(f, "secret"))
			require.NoError(t, f.Write(frame.Message{ID: 1, Type: frame.Call, Method: "large", Body: []byte{1}}, time.Second))
			return f
		}
		for range limit {
			call() // reads nothing
		}
		synctest.Wait()
		began := time.Now()
		m, err := call().Read()
		require.NoError(t, err)
		require.Equal(t, frame.End, m.Type)
		require.LessOrEqual(t, time.Since(began), 2*time.Second)
	})
}
