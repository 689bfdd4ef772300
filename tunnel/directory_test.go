package tunnel

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// boxesOf returns the addresses of the boxes of a data centre.
func boxesOf(dc, n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprintf("10.%d.0.%d:1", dc, i))
	}
	return out
}

// The boxes of a data centre that has lost all links, in a fleet of nine, spread their tunnels over the boxes of
// the others, although they know only two relays of each from the start.
func TestWholeDataCentreCut(t *testing.T) {
	const dcs, boxes, requests = 9, 40, 200
	near := boxesOf(0, boxes)
	var far []string
	for dc := 1; dc < dcs; dc++ {
		far = append(far, boxesOf(dc, 2)...)
	}
	served, asked := map[string]int{}, 0
	for _, self := range near {
		d := &directory{self: self}
		now := time.Unix(1_000_000, 0)
		for range requests {
			now = now.Add(100 * time.Millisecond)
			done := false
			for _, b := range d.choose(near, far, maxAsked, now) {
				asked++
				var dc, i int
				_, err := fmt.Sscanf(b, "10.%d.0.%d:1", &dc, &i)
				require.NoError(t, err)
				o := Connected
				if dc == 0 {
					o = Cut
				}
				d.record(b, o, pick(boxesOf(dc, boxes), sampleSize), now)
				if o == Connected {
					served[b]++
					done = true
					break
				}
			}
			require.True(t, done)
		}
	}
	most := 0
	for _, n := range served {
		most = max(most, n)
	}
	mean := boxes * requests / ((dcs - 1) * boxes)
	require.LessOrEqual(t, most, 4*mean, "mean %d", mean)
	require.LessOrEqual(t, asked, 4*boxes*requests)
}
