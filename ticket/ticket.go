// Package ticket identifies requests that only the process that issued the ticket may run. That
// makes them run at most once without shared state.
package ticket

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// version is the prefix of every ticket and identifies its format.
const version = "t1"

// Ticket consists of the issuer's incarnation and a unique ID.
type Ticket struct {
	Incarnation string
	ID          string
}

// New returns a new ticket of the issuer with the given incarnation.
func New(incarnation string) Ticket { return Ticket{Incarnation: incarnation, ID: uuid.NewString()} }

// String returns the ticket in the form that callers get.
func (t Ticket) String() string { return version + "." + t.Incarnation + "." + t.ID }

// Parse parses a ticket in the form that String returns.
func Parse(s string) (Ticket, error) {
	p := strings.Split(s, ".")
	const parts = 3
	if len(p) != parts || p[0] != version {
		return Ticket{}, fmt.Errorf("not a ticket: %q", s)
	}
	for _, u := range p[1:] {
		if _, err := uuid.Parse(u); err != nil {
			return Ticket{}, fmt.Errorf("not a ticket: %w", err)
		}
	}
	return Ticket{Incarnation: p[1], ID: p[2]}, nil
}
