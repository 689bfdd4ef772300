package frame_test

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// Guards against frames whose memory is taken by their announced length, before their bytes arrive.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	const conns, target = 32, 8 << 20
	head := binary.BigEndian.AppendUint32(nil, frame.MaxSize)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range conns {
		_, _, err := frame.Decode(bytes.NewReader(head))
		require.Error(t, err)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
}

// Frames of all sizes up to the largest pass, whatever the pieces in which they are read.
func TestSizes(t *testing.T) {
	for _, n := range []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20, frame.MaxSize - 100} {
		m := frame.Message{ID: 1, Type: frame.Item, Method: string(bytes.Repeat([]byte{'x'}, n))}
		b, err := frame.Encode(m)
		require.NoError(t, err)
		out, k, err := frame.Decode(bytes.NewReader(b))
		require.NoError(t, err)
		require.Equal(t, len(b), k)
		require.True(t, m.Method == out.Method)
		_, _, err = frame.Decode(bytes.NewReader(b[:len(b)-1]))
		require.Error(t, err)
	}
}
