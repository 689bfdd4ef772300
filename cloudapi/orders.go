// Package cloudapi says what birchlink calls at the cloud under a duty.
package cloudapi

import (
	"context"
	"errors"
)

// The ways a call can be refused. After ErrUnknown it may have been carried
// out, or may still be.
var (
	ErrFenced  = errors.New("refused: an old fence, or none of the kind can be had")
	ErrUnknown = errors.New("no answer: the call may be carried out")
	ErrRefused = errors.New("the cloud refused the call")
)

// Duty says under whose fence a call is made.
type Duty struct {
	Holder string
	Fence  uint64
}

// Order asks for a number of endpoints of one kind in one data centre.
type Order struct {
	Service     string
	DataCentre  string
	Reclaimable bool
	Count       int
}

// Cloud takes the calls. Counts are requests by account that began to run in
// the window of that number.
type Cloud interface {
	Order(c context.Context, d Duty, o Order) error
	Report(c context.Context, d Duty, window int64, counts map[string]int) error
}
