// Package journal notes each routing, admission and placement decision: as a
// log line, and in bounded memory for birchctl explain.
package journal

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
const Name = "journal"

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

// Journal is the service of one box.
type Journal struct {
	Box string
	Log zerolog.Logger

	mu   sync.Mutex
	ring [kept]Decision
	next int
}

// New returns the journal of a box.
func New(box string, log zerolog.Logger) *Journal { return &Journal{Box: box, Log: log} }

// Name returns the service's name.
func (j *Journal) Name() string { return Name }

// Start lets peers ask for decisions.
func (j *Journal) Start(_ context.Context, k *kernel.Kernel) error {
	n, err := kernel.Find[*peer.Node](k, peer.Name)
	if err != nil {
		return err
	}
	peer.Handle(n.Server, "journal.find", func(_ context.Context, subject string) ([]Decision, error) {
		return j.Find(subject), nil
	})
	return nil
}

// Stop does nothing.
func (j *Journal) Stop(context.Context) error { return nil }

// Note logs a decision and keeps it.
func (j *Journal) Note(d Decision) {
	d.At, d.Box = time.Now(), j.Box
	e := j.Log.Info().Str("event", d.Event).Str("subject", d.Subject)
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
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next%kept] = d
	j.next++
}

// Find returns the decisions about a subject, oldest first.
func (j *Journal) Find(subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	ds := []Decision{}
	for _, d := range j.ring {
		if d.Subject == subject && !d.At.IsZero() {
			ds = append(ds, d)
		}
	}
	slices.SortStableFunc(ds, func(a, b Decision) int { return a.At.Compare(b.At) })
	return ds
}
