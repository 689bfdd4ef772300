package gossip

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/peer"
)

// countingEncoder counts how often it is encoded.
type countingEncoder struct{ times *int }

func (e countingEncoder) EncodeMsgpack(n *msgpack.Encoder) error {
	*e.times++
	return n.EncodeInt(1)
}

// A change is encoded once for all members. A relay may have a hundred members, and ten changes per
// second while endpoints are replaced.
func TestBroadcastEncodesOnce(t *testing.T) {
	g := New(zerolog.Nop())
	g.node = peer.NewNode("127.0.0.1:0", "127.0.0.1:0", "secret", metrics.NewRegistry())
	times := 0
	g.broadcast(t.Context(), []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"}, "none", countingEncoder{&times})
	g.group.Wait()
	require.Equal(t, 1, times)
}
