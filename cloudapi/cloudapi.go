// Package cloudapi defines the calls to the cloud that only the holder of a lease may make. Each call
// carries a fencing token, so that a former holder's calls are refused.
package cloudapi

import (
	"context"
	"errors"
)

// Errors of a call. After ErrUnknown the call may have taken effect or may still do so, after the others it has not. ErrFenced also
// means that no endpoint of the ordered kind is available; the cloud has one status for both.
var (
	ErrFenced  = errors.New("refused: stale fence, or no endpoint of this kind is available")
	ErrUnknown = errors.New("no definite response: the call may have taken effect, or may still do so")
	ErrRefused = errors.New("the cloud refused the call")
)

// Lease identifies the holder on whose behalf a call is made, and its fencing token.
type Lease struct {
	Holder string
	Fence  uint64
}

// Order sets the number of endpoints of one kind in one data centre.
type Order struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}

// Cloud is the cloud's API for lease holders.
type Cloud interface {
	// Order sets a count of endpoints.
	Order(c context.Context, l Lease, o Order) error

	// Report sends the number of requests of each account that started to run in a window.
	Report(c context.Context, l Lease, window int64, counts map[string]int) error
}
