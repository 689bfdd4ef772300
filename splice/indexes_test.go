package splice

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/sequence"
)

func TestIndexes(t *testing.T) {
	for _, c := range []struct {
		before, n int
		want      sequence.Relation
	}{
		{0, 1, sequence.Next},
		{-1, 0, sequence.Next},
		{0, 2, sequence.Later},
		{-1, math.MaxInt, sequence.Later},
		{3, 3, sequence.Same},
		{3, 2, sequence.Earlier},
		{math.MaxInt, math.MinInt, sequence.Earlier},
	} {
		require.Equal(t, c.want, indexes{}.Relate(c.before, c.n), "%d after %d", c.n, c.before)
	}
	require.True(t, indexes{}.IsFirst(0))
	require.False(t, indexes{}.IsFirst(1))
	n, ok := indexes{}.Before(3)
	require.Equal(t, []any{2, true}, []any{n, ok})
	_, ok = indexes{}.Before(0)
	require.False(t, ok)
}
