package peer_test

import (
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
	"birchlink.dev/birchlink/peer"
)

// Guards against connections that announce or send large frames before they have shown that they know the secret.
func TestUnauthenticatedFramesAreSmall(t *testing.T) {
	const conns, target = 64, 16 << 20
	s := peer.NewServer("secret")
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cs := make([]net.Conn, 0, conns)
	for range conns {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write(binary.BigEndian.AppendUint32(nil, frame.MaxSize))
		require.NoError(t, err)
		cs = append(cs, c)
	}
	for _, c := range cs {
		_, _ = io.Copy(io.Discard, c) // until the server closes the connection
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
}
