package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/admission"
)

// Requests of a less urgent class must not pass those of a more urgent one, and less slack must not
// give a later rank, whatever the number of classes. All ranks must fit the ten of the endpoints.
func TestRankOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "classes")
		class := rapid.IntRange(0, max(n-1, 0)).Draw(t, "class")
		less := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "slack")) * time.Millisecond
		more := less + time.Duration(rapid.IntRange(0, 5000).Draw(t, "more"))*time.Millisecond
		u := admission.Urgency{Class: class, Classes: n}
		require.LessOrEqual(t, u.Rank(less), u.Rank(more))
		require.GreaterOrEqual(t, u.Rank(less), 0)
		require.LessOrEqual(t, u.Rank(more), 9)
		if class > 0 {
			require.LessOrEqual(t, admission.Urgency{Class: class - 1, Classes: n}.Rank(more), u.Rank(less))
		}
	})
}

// A request whose slack is used up has the first rank of its class, so that it does not starve.
func TestRankOfUsedUpSlack(t *testing.T) {
	u := admission.Urgency{Class: 1, Classes: 3}
	require.Equal(t, 3, u.Rank(-time.Second))
	require.Equal(t, 4, u.Rank(200*time.Millisecond))
	require.Equal(t, 5, u.Rank(800*time.Millisecond))
}
