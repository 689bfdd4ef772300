package tunnel

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// Guards against tunnels that end under an answer because its endpoint is silent for as long as the route allows.
func TestSilentEndpointKeepsTunnel(t *testing.T) {
	for _, silence := range []time.Duration{1300 * time.Millisecond, 4 * time.Second, 31 * time.Second, 10 * time.Minute} {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				far, endpoint := net.Pipe()
				near := &conn{Conn: a, frames: frame.New(a)}
				var g sync.WaitGroup
				defer g.Wait()
				defer near.Close()
				g.Go(func() { pass(t.Context(), frame.New(b), far) })
				g.Go(func() {
					_, _ = io.ReadFull(endpoint, make([]byte, 7))
					for range 3 {
						time.Sleep(silence)
						_, _ = endpoint.Write([]byte("part"))
					}
				})
				_, err := near.Write([]byte("request"))
				require.NoError(t, err)
				answer := make([]byte, 12)
				_, err = io.ReadFull(near, answer)
				require.NoError(t, err)
				require.Equal(t, "partpartpart", string(answer))
			})
		})
	}
}
