package orders

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/cloudapi"
)

// Want of supply does not read as if another box held the duty.
func TestOutcome(t *testing.T) {
	fenced := fmt.Errorf("%w: 409", cloudapi.ErrFenced)
	require.Equal(t, "ordered", outcome(pool{}, nil))
	require.Contains(t, outcome(pool{reclaimable: true}, fenced), "none can be had")
	require.Contains(t, outcome(pool{}, fenced), "holds the duty")
	require.Contains(t, outcome(pool{}, errors.New("no answer")), "not known")
}
