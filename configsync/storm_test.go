package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/peer"
)

// Guards against a box that reads the configuration once for each version that others offer, while one read is under way. After
// it, the box reads the newest one that was offered.
func TestOffersDuringRead(t *testing.T) {
	const offers = 10
	n := peer.NewNode("127.0.0.1:0", "", "secret", metrics.NewRegistry())
	require.NoError(t, n.Start(t.Context(), nil))
	defer func() { require.NoError(t, n.Stop(context.Background())) }()
	var calls atomic.Int64
	entered, release := make(chan struct{}, offers), make(chan struct{})
	peer.Handle(n.Server, "config.get", func(context.Context, uint64) (Revision, error) {
		version := calls.Add(1)
		entered <- struct{}{}
		<-release
		if version > 1 {
			version = offers
		}
		return Revision{Version: uint64(version), Text: fmt.Sprintf("[model \"m\"]\nversions = %d\n", version)}, nil
	})
	f := New(zerolog.Nop())
	f.peers = n
	c, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g sync.WaitGroup
	returned := make(chan struct{}, offers)
	send := func(version int) {
		g.Go(func() {
			_, err := f.handleOffer(c, offer{Version: uint64(version), Address: n.Server.Address()})
			require.NoError(t, err)
			returned <- struct{}{}
		})
	}
	send(1)
	<-entered
	for v := 2; v <= offers; v++ {
		send(v)
	}
	for range offers - 1 {
		<-returned
	}
	close(release)
	g.Wait()
	f.reads.Wait()
	require.EqualValues(t, offers, f.version())
	require.LessOrEqual(t, calls.Load(), int64(2))
}
