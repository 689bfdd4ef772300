package configsync

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/peer"
)

// Guards against a box that stays at an old configuration while the peer that was first to offer a newer one sends nothing, although
// another peer has it.
func TestStalledPeerHoldsUpNothing(t *testing.T) {
	start := func(get func(context.Context, uint64) (Revision, error)) *peer.Node {
		n := peer.NewNode("127.0.0.1:0", "", "secret", metrics.NewRegistry())
		require.NoError(t, n.Start(t.Context(), nil))
		t.Cleanup(func() { require.NoError(t, n.Stop(context.Background())) })
		peer.Handle(n.Server, "config.get", get)
		return n
	}
	stalled := start(func(c context.Context, _ uint64) (Revision, error) {
		<-c.Done()
		return Revision{}, c.Err()
	})
	working := start(func(context.Context, uint64) (Revision, error) {
		return Revision{Version: 2, Text: "[model \"m\"]\nversions = 2\n"}, nil
	})
	f := New(zerolog.Nop())
	f.peers = start(nil)
	defer f.cancel()
	for _, n := range []*peer.Node{stalled, working} {
		_, err := f.handleOffer(t.Context(), offer{Version: 2, Address: n.Server.Address()})
		require.NoError(t, err)
	}
	f.reads.Wait()
	require.EqualValues(t, 2, f.version())
}
