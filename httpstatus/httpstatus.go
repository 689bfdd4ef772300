// Package httpstatus tells valid statuses of HTTP responses from others (RFC 9110, section 15). What has an invalid one is no
// response: its sender may have run the request, and nothing else in it counts.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	minInformational = 100
	minFinal         = 200
	maxFinal         = 599
)

// ErrInvalid reports a response with an invalid status.
var ErrInvalid = errors.New("invalid status")

// IsInformational reports whether a response with the status precedes the final one. 101 does not: it is final, and only valid
// after an upgrade, which no client here asks for.
func IsInformational(status int) bool {
	return status >= minInformational && status < minFinal && status != http.StatusSwitchingProtocols
}

// Check returns an error that wraps ErrInvalid unless the status is that of a final response.
func Check(status int) error {
	if status >= minFinal && status <= maxFinal {
		return nil
	}
	return fmt.Errorf("%w %03d", ErrInvalid, status)
}
