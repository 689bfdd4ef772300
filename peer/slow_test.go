package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// Guards against connections of peers that are held without end while they have sent a part of something, or do not read.
func TestConnectionsOfPeersEnd(t *testing.T) {
	const longest = time.Minute
	large := binary.BigEndian.AppendUint32(nil, frame.MaxSize)
	call := frame.Message{ID: 1, Type: frame.Call, Method: "flood"}
	for _, c := range []struct {
		name  string
		knows bool           // the secret
		call  *frame.Message // sent first
		bytes []byte         // sent next
		then  []byte         // sent every second
		reads bool
	}{
		{"nothing is sent", false, nil, nil, nil, true},
		{"hello comes slowly", false, nil, []byte{0, 0, 1, 0}, []byte{0x80}, true},
		{"frame does not come", true, nil, large, nil, true},
		{"frame comes slowly", true, nil, large, []byte{0}, true},
		{"length comes slowly", true, nil, []byte{0}, nil, true},
		{"items are not read", true, &call, nil, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer("secret")
				s.Handle("flood", func(c context.Context, _ []byte, send func(any) error) (any, error) {
					for c.Err() == nil {
						_ = send(bytes.Repeat([]byte{1}, 1<<10))
					}
					return nil, c.Err()
				})
				near, far := net.Pipe()
				ended := make(chan struct{})
				go func() {
					s.serve(t.Context(), far)
					close(ended)
				}()
				defer near.Close()
				began := time.Now()
				f := frame.New(near)
				if c.knows {
					require.NoError(t, clientHandshake(f, "secret"))
				}
				if c.call != nil {
					require.NoError(t, f.Write(*c.call, time.Second))
				}
				if c.reads {
					go func() { _, _ = io.Copy(io.Discard, near) }()
				}
				for text := c.bytes; time.Since(began) <= longest; text = c.then {
					if len(text) > 0 {
						_, _ = near.Write(text)
					}
					select {
					case <-ended:
						return
					case <-time.After(time.Second):
					}
				}
				require.Fail(t, "the connection is held")
			})
		})
	}
}
