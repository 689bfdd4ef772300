package tunnel

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/frame"
)

// Guards against an orderly end of an endpoint's connection that is taken for that of an answer to a request of which the far end had
// written a part. Nothing is sent after the end. Boxes of earlier versions tell no number of bytes.
func TestEndBeforeRequestIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		written any
		want    error
	}{
		"all":                {7, io.EOF},
		"a part":             {6, syscall.ECONNRESET},
		"nothing":            {0, syscall.ECONNRESET},
		"no number":          {"seven", syscall.ECONNRESET},
		"an earlier version": {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := net.Pipe()
			defer a.Close()
			near, far := &conn{Conn: a, frames: frame.New(a)}, frame.New(b)
			end := frame.Message{Type: frame.End}
			if c.written != nil {
				var err error
				end.Body, err = msgpack.Marshal(c.written)
				require.NoError(t, err)
			}
			go func() {
				_, _ = far.Read()
				_ = far.Write(end, writeTimeout)
			}()
			_, err := near.Write([]byte("request"))
			require.NoError(t, err)
			_, err = near.Read(make([]byte, 1))
			require.ErrorIs(t, err, c.want)
			_, err = near.Write([]byte("more"))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
