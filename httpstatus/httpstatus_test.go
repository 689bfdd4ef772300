package httpstatus_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus"
)

func ExampleCheck() {
	fmt.Println(httpstatus.Check(503))
	fmt.Println(httpstatus.Check(0))
	fmt.Println(httpstatus.IsInformational(103), httpstatus.IsInformational(101))
	// Output:
	// <nil>
	// invalid status 000
	// true false
}

// Each status is that of a final response, informational, or invalid.
func TestCheck(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		isInformational := status == 100 || status >= 102 && status <= 199
		require.Equal(t, isInformational, httpstatus.IsInformational(status), status)
		if status >= 200 && status <= 599 {
			require.NoError(t, httpstatus.Check(status))
			continue
		}
		require.ErrorIs(t, httpstatus.Check(status), httpstatus.ErrInvalid)
	}
}
