package frame_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// A frame is sent to a receiver that is slow, and not to one that has stalled or takes longer than any link does.
func TestWriteToSlowReceivers(t *testing.T) {
	const size, timeout = 1 << 20, 2 * time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration // of the receiver between 16 KB and 16 KB
		ok    bool
		most  time.Duration
	}{
		{"fast", 0, true, 0},
		{"slow", 400 * time.Millisecond, true, 26 * time.Second},
		{"too slow", time.Second, false, 30 * time.Second},
		{"stalled", time.Hour, false, timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close()
				go func() {
					for {
						select {
						case <-time.After(c.pause):
						case <-t.Context().Done():
							return
						}
						if _, err := io.CopyN(io.Discard, far, 16<<10); err != nil {
							return
						}
					}
				}()
				began := time.Now()
				err := frame.New(near).Write(frame.Message{Body: make([]byte, size)}, timeout)
				require.Equal(t, c.ok, err == nil)
				require.LessOrEqual(t, time.Since(began), c.most)
				near.Close()
			})
		})
	}
}
