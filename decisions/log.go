// Package decisions records routing, admission and placement decisions. Each is written to the
// log, and the latest are kept in memory for birchctl explain.
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

// maxDecisions is the number of decisions that a box keeps in memory.
const maxDecisions = 4096

// Candidate is a box that was considered for a decision, with its score at that time.
type Candidate struct {
	Box    string  `json:"box"`
	Score  float64 `json:"score"`
	Reason string  `json:"reason,omitempty"`
}

// Decision is one decision with its reason and the candidates considered. Subject is the ID of the
// request, or names the subject of a placement.
type Decision struct {
	At       time.Time   `json:"at"`
	Box      string      `json:"box"`
	Subject  string      `json:"subject"`
	Event    string      `json:"event"`
	Choice   string      `json:"choice,omitempty"`
	Reason   string      `json:"reason,omitempty"`
	Attempt  int         `json:"attempt,omitempty"`
	Figures  []Candidate `json:"figures,omitempty"`
	Workload string      `json:"workload,omitempty"`
}

// Log records the decisions of one box. It is safe for concurrent use.
type Log struct {
	Box string
	Out zerolog.Logger

	mu   sync.Mutex
	ring [maxDecisions]Decision
	next int
}

// New returns the log of a box.
func New(box string, log zerolog.Logger) *Log { return &Log{Box: box, Out: log} }

// Name returns the service's name.
func (l *Log) Name() string { return Name }

// Start registers the handler with which peers query decisions.
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

// Record logs d and keeps it in memory, where it replaces the oldest decision if the log is full.
// It sets d.At and d.Box.
func (l *Log) Record(d Decision) {
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
	l.ring[l.next%maxDecisions] = d
	l.next++
}

// Find returns the decisions about a subject that are in memory, oldest first.
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
