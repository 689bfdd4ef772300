// Package decisions notes each routing, admission and placement decision: as a
// log line, and in bounded memory for birchctl explain.
package decisions

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
)

// Name is the name of the service.
const Name = "decisions"

// kept is how many decisions a box remembers.
const kept = 4096

// Figure is one candidate as the decision saw it.
type Figure struct {
	Box    string  `json:"box"`
	Score  float64 `json:"score"`
	Reason string  `json:"reason,omitempty"`
}

// Decision is one choice with its reasons. Subject is a request id, or what a
// placement is about.
type Decision struct {
	At       time.Time `json:"at"`
	Box      string    `json:"box"`
	Subject  string    `json:"subject"`
	Event    string    `json:"event"`
	Choice   string    `json:"choice,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Attempt  int       `json:"attempt,omitempty"`
	Figures  []Figure  `json:"figures,omitempty"`
	Workload string    `json:"workload,omitempty"`
}

// Log is the service of one box.
type Log struct {
	Box string
	Out zerolog.Logger

	mu   sync.Mutex
	ring [kept]Decision
	next int
}

// New returns the log of a box.
func New(box string, log zerolog.Logger) *Log { return &Log{Box: box, Out: log} }

// Name returns the service's name.
func (l *Log) Name() string { return Name }

// Start lets peers ask for decisions.
func (l *Log) Start(_ context.Context, k *kernel.Kernel) error {
	n, err := kernel.Find[*peer.Node](k, peer.Name)
	if err != nil {
		return err
	}
	peer.Handle(n.Server, "decisions.find", func(_ context.Context, subject string) ([]Decision, error) {
		return l.Find(subject), nil
	})
	return nil
}

// Stop does nothing.
func (l *Log) Stop(context.Context) error { return nil }

// Note logs a decision and keeps it.
func (l *Log) Note(d Decision) {
	d.At, d.Box = time.Now(), l.Box
	e := l.Out.Info().Str("event", d.Event).Str("subject", d.Subject)
	if d.Workload != "" {
		e = e.Str("workload", d.Workload)
	}
	if d.Attempt > 0 {
		e = e.Int("attempt", d.Attempt)
	}
	if len(d.Figures) > 0 {
		e = e.Interface("figures", d.Figures)
	}
	e.Str("choice", d.Choice).Str("reason", d.Reason).Msg("decision")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%kept] = d
	l.next++
}

// Find returns the decisions about a subject, oldest first.
func (l *Log) Find(subject string) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	ds := []Decision{}
	for _, d := range l.ring {
		if d.Subject == subject && !d.At.IsZero() {
			ds = append(ds, d)
		}
	}
	slices.SortStableFunc(ds, func(a, b Decision) int { return a.At.Compare(b.At) })
	return ds
}
