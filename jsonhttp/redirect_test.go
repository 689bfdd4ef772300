package jsonhttp_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/jsonhttp"
)

// Guards against answers of other locations that are taken for those to the call, and against calls that are made twice.
func TestRedirects(t *testing.T) {
	for _, status := range statustest.Redirects {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
			t.Run(status+" "+method, func(t *testing.T) {
				s := statustest.NewRedirector(t, status, "{}")
				c := jsonhttp.New(s.Address, "test", time.Minute)
				defer c.HTTP.CloseIdleConnections()
				var e *jsonhttp.StatusError
				require.ErrorAs(t, c.Do(t.Context(), method, "/", struct{}{}, nil), &e)
				require.Equal(t, status, strconv.Itoa(e.Status))
				require.EqualValues(t, 1, s.Requests.Load())
			})
		}
	}
}
