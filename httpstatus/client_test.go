package httpstatus_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against redirects that are followed: what the location answers tells nothing of the request.
func TestRedirects(t *testing.T) {
	for _, status := range statustest.Redirects {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete} {
			t.Run(status+" "+method, func(t *testing.T) {
				t.Parallel()
				s := statustest.NewRedirector(t, status, "")
				h := httpstatus.NewClient(&http.Transport{}, time.Minute)
				defer h.CloseIdleConnections()
				q, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address, strings.NewReader("x"))
				require.NoError(t, err)
				resp, err := h.Do(q)
				require.NoError(t, err)
				defer resp.Body.Close()
				require.Equal(t, status+" X", resp.Status)
				require.EqualValues(t, 1, s.Requests.Load())
			})
		}
	}
}

// Guards against clients without the checks of Transport, and against those without their timeout.
func TestNewClient(t *testing.T) {
	s := statustest.NewServer(t, "600", "", "")
	h := httpstatus.NewClient(&http.Transport{}, time.Minute)
	defer h.CloseIdleConnections()
	resp, err := h.Get("http://" + s.Address)
	if err == nil {
		resp.Body.Close()
	}
	require.ErrorIs(t, err, httpstatus.ErrInvalid)
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Minute
		began := time.Now()
		h := httpstatus.NewClient(silent{}, timeout)
		resp, err := h.Get("http://a")
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		require.Error(t, err)
		require.Equal(t, timeout, time.Since(began))
	})
}

// silent never answers.
type silent struct{}

func (silent) RoundTrip(q *http.Request) (*http.Response, error) {
	<-q.Context().Done()
	return nil, q.Context().Err()
}
