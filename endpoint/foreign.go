package endpoint

import "fmt"

// Reason says why a record names no endpoint.
type Reason string

// The closed list of reasons.
const (
	Unreadable   Reason = "unreadable"    // its bytes cannot be read
	WrongType    Reason = "wrong_type"    // a field is of another type
	Missing      Reason = "missing"       // a field is missing, empty or out of its range
	UnknownState Reason = "unknown_state" // it is in a state that no endpoint has
)

// ForeignError is the error of a record that no endpoint wrote.
type ForeignError struct {
	Reason Reason
	Detail string // the field, or what was read
}

// NewForeign returns an error for a reason.
func NewForeign(r Reason, detail string) error { return &ForeignError{r, detail} }

// Error returns the reason and the detail.
func (f *ForeignError) Error() string { return fmt.Sprintf("%s: %.100s", f.Reason, f.Detail) }
