package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
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

// Guards against answers without end that fill the memory of a box whose caller is slow: the call fails, and the other calls
// of the connection are served.
func TestAnswerWithoutEnd(t *testing.T) {
	const items, size, target = 1200, 64 << 10, 48 << 20
	s := peer.NewServer("secret")
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	sent := make(chan error, 1)
	item := make([]byte, size)
	s.Handle("endless", func(_ context.Context, _ []byte, send func(any) error) (any, error) {
		var err error
		for range items {
			err = errors.Join(err, send(item))
		}
		sent <- err
		return nil, nil
	})
	peer.Handle(s, "echo", func(_ context.Context, in []byte) ([]byte, error) { return in, nil })
	c := peer.NewClient("secret")
	defer c.Close()
	require.NoError(t, c.Call(t.Context(), s.Address(), "echo", item, nil))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var once sync.Once
	err := c.Stream(t.Context(), s.Address(), "endless", 1, nil, func([]byte) error {
		once.Do(func() {
			require.NoError(t, <-sent)
			require.NoError(t, c.Call(t.Context(), s.Address(), "echo", []byte{1}, nil)) // arrives after all items
			runtime.GC()
			runtime.ReadMemStats(&after)
		})
		return nil
	})
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(target))
	require.True(t, errkind.Is(err, errkind.Unavailable), err)
	var out []byte
	large := make([]byte, 9<<20)
	require.NoError(t, c.Call(t.Context(), s.Address(), "echo", large, &out))
	require.Len(t, out, len(large))
}
