package gossip

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/store"
)

// testRecords returns the records of n endpoints in the format of the store.
func testRecords(n int) fleetstate.Records {
	r := fleetstate.Records{Whole: true, From: 3, To: 9}
	for i := range n {
		v := fmt.Sprintf(`{"service":"s%d","address":"10.%d.%d.7:8188","zone":"dc%d","version":1,"slots":96,"state":"ready","seq":%d}`, i%2, i%9, i%251, i%3, i)
		r.Items = append(r.Items, store.Item{Key: fmt.Sprintf("e/i-%08x", 2654435761*uint32(i)), Value: []byte(v), Revision: uint64(i), Created: uint64(i)})
	}
	return r
}

// Records survive packing and unpacking, and pack into less than a fifth of their encoded size.
func TestPackRecords(t *testing.T) {
	r := testRecords(3000)
	zip, err := packRecords(r)
	require.NoError(t, err)
	plain, err := msgpack.Marshal(r)
	require.NoError(t, err)
	require.Less(t, len(zip), len(plain)/5)
	out, err := unpackRecords(zip)
	require.NoError(t, err)
	require.Equal(t, r, out)
	_, err = unpackRecords(zip[:len(zip)/2])
	require.Error(t, err)
}

func BenchmarkPackRecords(b *testing.B) {
	r := testRecords(3000)
	for b.Loop() {
		if _, err := packRecords(r); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against packed data that unpacks to far more than it has bytes: it must be refused, not cut and used, and so must
// records whose lengths take memory without bytes.
func TestBombs(t *testing.T) {
	const target = 64 << 20
	large, err := pack(make([]byte, 32<<20))
	require.NoError(t, err)
	lengths, err := pack([]byte{0x81, 0xa5, 'I', 't', 'e', 'm', 's', 0xdd, 0, 0x10, 0, 0})
	require.NoError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = unpack(large)
	require.Error(t, err)
	_, err = unpackRecords(lengths)
	require.Error(t, err)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
}
