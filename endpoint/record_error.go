package endpoint

import "fmt"

// Reason classifies why a stored record is not a valid endpoint record.
type Reason string

// The reasons. They are part of metric names.
const (
	Unreadable   Reason = "unreadable"    // not decodable
	WrongType    Reason = "wrong_type"    // a field has the wrong type
	Missing      Reason = "missing"       // a field is missing, empty or out of range
	UnknownState Reason = "unknown_state" // the state is not one that endpoints have
)

// RecordError reports a record that does not describe an endpoint.
type RecordError struct {
	Reason Reason
	Detail string // the field, or the value that was read
}

// NewRecordError returns a *RecordError.
func NewRecordError(r Reason, detail string) error { return &RecordError{r, detail} }

// Error returns the reason and the first 100 characters of the detail.
func (e *RecordError) Error() string { return fmt.Sprintf("%s: %.100s", e.Reason, e.Detail) }
