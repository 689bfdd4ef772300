package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/rendezvous"
)

// Members of higher classes must be chosen more often by their weight, a change of one member's class
// must move keys only to or from that member, and with one class nothing may change.
func TestPicker(t *testing.T) {
	members := make([]string, 30)
	for i := range members {
		members[i] = fmt.Sprint("m", i)
	}
	pick := func(key uint64, classes []int8) int {
		var p rendezvous.Picker
		for i, m := range members {
			p.Add(i, classes[i], rendezvous.Weight(key, m))
		}
		i, ok := p.Best()
		require.True(t, ok)
		return i
	}
	equal, mixed, changed := make([]int8, 30), make([]int8, 30), make([]int8, 30)
	for i := range mixed {
		mixed[i] = int8(i%3 - 1)
	}
	copy(changed, mixed)
	changed[3] = 2
	counts := map[int8]float64{}
	for n := range 30_000 {
		key := rendezvous.Hash(fmt.Sprint("k", n))
		require.Equal(t, rendezvous.Top(key, members, 1)[0], members[pick(key, equal)])
		i := pick(key, mixed)
		counts[mixed[i]]++
		if j := pick(key, changed); j != i {
			require.Equal(t, 3, j)
		}
	}
	require.InEpsilon(t, rendezvous.ClassWeight, counts[1]/counts[0], 0.05)
	require.InEpsilon(t, rendezvous.ClassWeight*rendezvous.ClassWeight, counts[1]/counts[-1], 0.05)
	_, ok := (&rendezvous.Picker{}).Best()
	require.False(t, ok)
}
