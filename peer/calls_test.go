package peer_test

import (
	"context"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/peer"
)

// Guards against calls without end that fill the memory of the box that answers them: further ones are refused at once, and
// small ones are served again when those have ended.
func TestCallsWithoutEnd(t *testing.T) {
	const calls, size, target = 100, 1 << 20, 64 << 20
	s := peer.NewServer("secret")
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	release, entered := make(chan struct{}), make(chan struct{}, calls+1)
	s.Handle("hold", func(_ context.Context, b []byte, _ func(any) error) (any, error) {
		entered <- struct{}{}
		<-release
		return len(b), nil
	})
	c := peer.NewClient("secret")
	defer c.Close()
	stop := sync.OnceFunc(func() { close(release) })
	defer stop()
	body := make([]byte, size)
	require.Error(t, c.Call(t.Context(), s.Address(), "none", body, nil)) // connects
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	refused := make(chan error, calls)
	var g sync.WaitGroup
	for range calls {
		g.Go(func() {
			if err := c.Call(t.Context(), s.Address(), "hold", body, nil); err != nil {
				refused <- err
			}
		})
	}
	for range calls {
		select {
		case <-entered:
		case err := <-refused:
			require.True(t, errkind.Is(err, errkind.BoxFull), err)
			require.Positive(t, errkind.Of(err).RetryAfter)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(target))
	stop()
	g.Wait()
	require.NoError(t, c.Call(t.Context(), s.Address(), "hold", body, nil))
}
