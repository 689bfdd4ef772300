package ring_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/ring"
)

func Example() {
	r := ring.New[string](2)
	for _, v := range []string{"a", "b", "c"} {
		r.Add(v)
	}
	for v := range r.Newest() {
		fmt.Println(v)
	}
	// Output:
	// c
	// b
}

func TestNewest(t *testing.T) {
	r := ring.New[int](3)
	require.Empty(t, slices.Collect(r.Newest()))
	var want []int
	for i := range 10 {
		r.Add(i)
		want = append([]int{i}, want...)
		require.Equal(t, want[:min(len(want), 3)], slices.Collect(r.Newest()))
	}
}
