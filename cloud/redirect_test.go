package cloud_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against answers of other locations that are taken for boxes that were started or stopped, and against orders that are given
// twice.
func TestRedirects(t *testing.T) {
	for _, status := range statustest.Redirects {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			one := statustest.NewRedirector(t, status, `{"name":"b"}`)
			c := cloud.New(one.Address, one.Address, "box")
			_, err := c.Start(t.Context(), cloud.Start{})
			require.Error(t, err)
			require.Error(t, c.Stop(t.Context(), "b"))
			require.EqualValues(t, 2, one.Requests.Load())
			list := statustest.NewRedirector(t, status, "[]")
			c = cloud.New(list.Address, list.Address, "box")
			_, err = c.Boxes(t.Context())
			require.Error(t, err)
			_, err = c.Notices(t.Context())
			require.Error(t, err)
			_, err = c.Prices(t.Context())
			require.Error(t, err)
			require.EqualValues(t, 3, list.Requests.Load())
		})
	}
}
