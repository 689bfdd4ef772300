// Package ticket names tickets: each is run by the process that issued it and
// by no other, and needs no shared state.
package ticket

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// version begins every ticket, so that its form can change.
const version = "t1"

// Ticket names its issuer's incarnation and itself.
type Ticket struct {
	Incarnation string
	ID          string
}

// New returns a ticket of an issuer.
func New(incarnation string) Ticket { return Ticket{Incarnation: incarnation, ID: uuid.NewString()} }

// String returns the ticket as callers hold it.
func (t Ticket) String() string { return version + "." + t.Incarnation + "." + t.ID }

// Parse reads a ticket as callers hold it.
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
