package httpstatus

import (
	"net/http"
	"time"
)

// NewClient returns a client over base that applies timeout to each request, fails if the status of a response is not valid, and
// follows no redirects: no service that is called here redirects, and what another location answers tells nothing of the request.
func NewClient(base http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, CheckRedirect: NoRedirect, Transport: Transport{base}}
}

// NoRedirect is the CheckRedirect of clients that return redirects like other responses.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
