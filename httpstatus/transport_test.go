package httpstatus_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against responses with invalid statuses that net/http returns, and against further requests on their connections.
func TestTransport(t *testing.T) {
	const sound = "200"
	for _, body := range []string{"", "body", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"} {
		for _, status := range statustest.Invalid {
			t.Run(status+" "+body, func(t *testing.T) {
				t.Parallel()
				s := statustest.NewServer(t, sound, "Location: /elsewhere\r\n", body)
				h := &http.Client{Transport: httpstatus.Transport{Base: &http.Transport{}}}
				defer h.CloseIdleConnections()
				get := func() error {
					resp, err := h.Get("http://" + s.Address)
					if err != nil {
						return err
					}
					defer resp.Body.Close()
					b, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, body, string(b))
					return nil
				}
				require.NoError(t, get())
				require.NoError(t, get())
				require.EqualValues(t, 1, s.Connections.Load(), "other connections are used again")
				s.Status.Store(&status)
				require.ErrorIs(t, get(), httpstatus.ErrInvalid)
				require.EqualValues(t, 3, s.Requests.Load())
				valid := sound
				s.Status.Store(&valid)
				require.NoError(t, get())
				require.EqualValues(t, 2, s.Connections.Load())
				require.EqualValues(t, 4, s.Requests.Load())
			})
		}
	}
}

// Guards against series of informational responses without end.
func TestManyInformationalResponses(t *testing.T) {
	s := statustest.NewServer(t, "100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 200", "", "")
	h := &http.Client{Transport: httpstatus.Transport{Base: &http.Transport{MaxResponseHeaderBytes: 1 << 10}}}
	defer h.CloseIdleConnections()
	resp, err := h.Get("http://" + s.Address)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	many := "103 X\r\n\r\n"
	for range 1000 {
		many += "HTTP/1.1 103 X\r\n\r\n"
	}
	many += "HTTP/1.1 200"
	s.Status.Store(&many)
	resp, err = h.Get("http://" + s.Address)
	if err == nil {
		resp.Body.Close()
	}
	require.ErrorContains(t, err, "server response headers exceeded")
}
