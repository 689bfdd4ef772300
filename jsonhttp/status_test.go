package jsonhttp_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/jsonhttp"
)

// Guards against answers with invalid statuses that are taken for those of the server.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range statustest.Invalid {
		s := statustest.NewServer(t, status, "", "{}")
		c := jsonhttp.New(s.Address, "test", time.Minute)
		var out any
		err := c.Do(t.Context(), http.MethodPost, "/", struct{}{}, &out)
		require.ErrorIs(t, err, httpstatus.ErrInvalid, status)
		var e *jsonhttp.StatusError
		require.False(t, errors.As(err, &e), status)
	}
}
