package frame_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/frame"
)

// Guards against messages of few bytes that take any amount of memory, or all of the stack, where they are decoded: the process
// ended.
func TestBombs(t *testing.T) {
	const target = 48 << 20
	nested := func(n int) []byte { return append(bytes.Repeat([]byte{0x91}, n), 0xc0) }
	for _, c := range []struct {
		name string
		body []byte
	}{
		{"array", []byte{0xdd, 0, 0x20, 0, 0}},
		{"array of the largest length", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
		{"map", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}},
		{"array of nothing", append([]byte{0xdd, 0, 0x20, 0, 0}, bytes.Repeat([]byte{0xc0}, 2<<20)...)},
		{"array in a map", []byte{0x81, 0xa1, 'x', 0xdc, 0xff, 0xff}},
		{"deep", nested(9 << 20)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := frame.Encode(frame.Message{ID: 1, Type: frame.Call, Method: "m", Body: c.body})
			require.NoError(t, err)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			m, _, err := frame.Decode(bytes.NewReader(b))
			if err == nil {
				var v []struct{ A, B, C, D string }
				err = msgpack.Unmarshal(m.Body, &v)
			}
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
		})
	}
}

// Check takes all that the encoder writes, and nothing that is cut.
func TestCheck(t *testing.T) {
	type part struct {
		Name  string
		Bytes []byte
		Parts []part
	}
	long := string(bytes.Repeat([]byte{'x'}, 70000))
	endpoints := make([]part, 10000)
	for i := range endpoints {
		endpoints[i] = part{Name: fmt.Sprint("e", i), Bytes: bytes.Repeat([]byte{1}, i%300)}
	}
	for _, v := range []any{
		nil, true, 0, -1, -33, 127, 128, 1 << 20, 1 << 40, -1 << 20, -1 << 40, float32(1), 1.5, "", "x", long[:40], long[:300], long,
		[]byte{},
		[]byte(long[:300]), []byte(long), time.Unix(1, 2), time.Unix(1<<40, 2),
		[]int{},
		[]int{1, 2},
		make([]int, 20), make([]int, 70000),
		map[string]int{"a": 1},
		part{"a", []byte("b"), []part{{Name: long}, {Parts: []part{{}}}}},
		endpoints, uint8(200), uint16(60000), uint32(1 << 31), uint64(1 << 63),
	} {
		b, err := msgpack.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, frame.Check(b), "%T %.20v", v, v)
		require.NoError(t, frame.Check(append(b, 0xc1)), "what follows is not checked")
		for _, n := range []int{0, len(b) / 2, len(b) - 1} {
			require.Error(t, frame.Check(b[:n]))
		}
	}
}
