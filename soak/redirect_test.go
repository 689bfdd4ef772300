package soak_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/soak"
)

// Guards against answers of other locations that are checked in place of the box's, and against boxes that count as ready for them.
func TestRedirects(t *testing.T) {
	for _, want := range statustest.Redirects {
		s := statustest.NewRedirector(t, want, "")
		b := &soak.Box{CallerAddress: s.Address, ReadyAddress: s.Address}
		status, err := soak.ProbeStatus(b)
		require.NoError(t, err)
		require.Equal(t, want, strconv.Itoa(status))
		require.False(t, soak.IsReady(b), want)
		require.EqualValues(t, 2, s.Requests.Load())
	}
}
