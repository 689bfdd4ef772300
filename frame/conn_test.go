package frame_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/frame"
)

// Decode never reads past its input, and a decoded message survives another round trip.
func FuzzDecode(f *testing.F) {
	b, err := frame.Encode(frame.Message{ID: 7, Type: frame.Call, Method: "m", Body: []byte{0xc0}})
	require.NoError(f, err)
	f.Add(b)
	f.Add(b[:3])
	f.Add(binary.BigEndian.AppendUint32(nil, frame.MaxSize+1))
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := frame.Decode(bytes.NewReader(in))
		require.LessOrEqual(t, n, len(in))
		if err != nil {
			return
		}
		out, err := frame.Encode(m)
		require.NoError(t, err)
		decoded, _, err := frame.Decode(bytes.NewReader(out))
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	})
}
