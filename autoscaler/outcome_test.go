package autoscaler

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/cloudapi"
)

// A refusal for lack of supply is not logged as a loss of the lease, although the cloud has
// one status for both.
func TestOutcome(t *testing.T) {
	fenced := fmt.Errorf("%w: 409", cloudapi.ErrFenced)
	require.Equal(t, "ordered", outcome(pool{}, nil))
	require.Contains(t, outcome(pool{reclaimable: true}, fenced), "none available")
	require.Contains(t, outcome(pool{}, fenced), "holds the duty")
	require.Contains(t, outcome(pool{}, errors.New("no answer")), "unknown")
}
