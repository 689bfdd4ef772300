package kv_test

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/kv"
)

// Guards against answers with invalid statuses that are taken for refusals, which state that nothing was written.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range statustest.Invalid {
		s := statustest.NewServer(t, status, "", `{"Key":"k","Rev":1}`)
		c := kv.New(s.Address, "box", 100, 100, metrics.NewRegistry())
		_, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("1")})
		require.ErrorIs(t, err, kv.ErrOutcomeUnknown, status)
		require.NotErrorIs(t, err, kv.ErrUnavailable)
	}
}
