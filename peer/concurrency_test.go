package peer_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/peer"
)

// Calls over the limit wait, and a call that is cancelled while it waits doesn't count.
func TestLimitConcurrency(t *testing.T) {
	s := peer.NewServer("secret")
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	var mu sync.Mutex
	running, peak := 0, 0
	entered, release := make(chan struct{}, 10), make(chan struct{})
	peer.Handle(s, "large", func(context.Context, int) (int, error) {
		mu.Lock()
		running++
		peak = max(peak, running)
		mu.Unlock()
		entered <- struct{}{}
		<-release
		mu.Lock()
		running--
		mu.Unlock()
		return 1, nil
	})
	s.LimitConcurrency("large", 2)
	c := peer.NewClient("secret")
	t.Cleanup(c.Close)
	var g sync.WaitGroup
	for range 6 {
		g.Go(func() {
			var out int
			require.NoError(t, c.Call(t.Context(), s.Address(), "large", 1, &out))
		})
	}
	<-entered
	<-entered
	x, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, c.Call(x, s.Address(), "large", 1, nil))
	close(release)
	g.Wait()
	mu.Lock() // the call that was cancelled may be running
	defer mu.Unlock()
	require.Equal(t, 2, peak)
}
