package ingress_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against answers with invalid statuses that reach callers: what a box sends has a status of 200 to 599. Those of endpoints are
// passed on.
func TestStatusesOfBox(t *testing.T) {
	for _, status := range append(statustest.Invalid, "200", "299", "300", "404", "499", "500", "599") {
		for _, header := range []string{"", "Content-Type: text/event-stream\r\n"} {
			t.Run(status+" "+header, func(t *testing.T) {
				t.Parallel()
				const body = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"
				e := statustest.NewServer(t, status, "Id: 1\r\n"+header, body)
				b := startBoxWith(t, true, func(b *box) { b.store.Set("e/one", e.Address) })
				b.await(b.isReady)
				for _, path := range []string{"/a/x", "/stream/x", "/fixed/x"} {
					resp := b.post(path, "k", "")
					if n, err := strconv.Atoi(status); err == nil && n >= 200 && n <= 599 {
						if header == "" || n >= 300 || path == "/a/x" { // no stream
							require.Equal(t, n, resp.status)
							require.Equal(t, body, resp.text)
						}
						continue
					}
					require.Equal(t, 502, resp.status, resp.text)
					require.NotContains(t, resp.text, "forged")
					require.NotContains(t, resp.text, "not_run")
				}
			})
		}
	}
}
