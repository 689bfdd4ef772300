// Package termination decides whether the process of an endpoint has ended. A process that has ended holds no connections and
// accepts none, and this must be so for other boxes too. Anything less only resembles an end: an announcement, a record that is
// missing or shows another start, a closed listener, and a link that has failed.
package termination

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/tunnel"
)

// Verdict is what is known of a process.
type Verdict int

// The verdicts. Unclear is a process that may have ended, or may be found to have in a moment.
const (
	Running Verdict = iota
	Unclear
	Ended
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"running", "unclear", "ended"}[v] }

const (
	// assumedPeriod is the time for which an endpoint runs from the notice of its departure if it names none, and endGrace the time
	// after its end from which a process that sends nothing counts as overdue.
	assumedPeriod = 1500 * time.Millisecond
	endGrace      = time.Second

	// maxSilence is the time for which a connection shows that an overdue process runs, after anything arrived on it. A
	// box that has ended closes no connections.
	maxSilence = 1200 * time.Millisecond

	// maxEnded bounds the processes that are remembered as ended.
	maxEnded = 4096
)

// Finding is what was found of a process, and the reason.
type Finding struct {
	Verdict Verdict
	Reason  Reason
}

// Reason is why a process is taken to run or to have ended, as a value in logs.
type Reason string

// The reasons. An outcome of connecting to the endpoint is a reason too.
const (
	Known  Reason = "known"  // it was found to have ended before
	Serves Reason = "serves" // so its record says
	Held   Reason = "held"   // this box holds connections to it
	Early  Reason = "early"  // its announced end is still to come
)

// HoldsFunc reports whether there are connections to an endpoint that it has not closed, and when anything last arrived on them.
type HoldsFunc func(id, address string) (heard time.Time, ok bool)

// Detector finds out which processes have ended, and remembers them. Its exported fields must be set before use, except Metrics
// and Log.
type Detector struct {
	Roster *endpoint.Roster

	// Holds are the connections of this box.
	Holds []HoldsFunc

	// Probe connects to an endpoint, and asks other boxes whether they can or hold connections to it.
	Probe func(c context.Context, e endpoint.Endpoint) tunnel.Outcome

	Metrics metrics.Registry
	Log     zerolog.Logger

	checks singleflight.Group // by incarnation

	mu    sync.Mutex
	ended *simplelru.LRU[string, struct{}] // incarnations
}

// HasEnded reports whether a process was found to have ended. It does no I/O.
func (d *Detector) HasEnded(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended != nil && d.ended.Contains(incarnation)
}

// RecordHeard records that something arrived from a process. If it was taken to have ended, that was wrong.
func (d *Detector) RecordHeard(incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended != nil && d.ended.Remove(incarnation) {
		d.Log.Warn().Str("event", "endpoint").Str("endpoint", incarnation).Msg("it was taken to have ended, and goes on")
	}
}

// Check finds out whether the process of an endpoint has ended. Concurrent calls for the same process share one check.
func (d *Detector) Check(c context.Context, e endpoint.Endpoint) Finding {
	if d.HasEnded(e.Incarnation()) {
		return Finding{Ended, Known}
	}
	v, _, _ := d.checks.Do(e.Incarnation(), func() (any, error) { return d.check(c, e), nil })
	f, _ := v.(Finding)
	return f
}

func (d *Detector) check(c context.Context, e endpoint.Endpoint) Finding {
	s := d.observe(e)
	if !s.departed || s.isHeld() {
		return s.judge()
	}
	s.outcome = d.Probe(c, e)
	held := d.observe(e) // a connection may have been closed, or established, meanwhile
	s.held, s.silence = held.held, held.silence
	f := s.judge()
	if f.Verdict == Ended {
		d.recordEnd(e, s)
	}
	return f
}

// IsInUse reports whether this box holds connections to an endpoint that show that its process has not ended.
func (d *Detector) IsInUse(e endpoint.Endpoint) bool {
	s := d.observe(e)
	return s.isHeld()
}

// observe returns what this box knows of a process without I/O.
func (d *Detector) observe(e endpoint.Endpoint) signs {
	now := boottime.Now()
	s := signs{outcome: tunnel.NoAnswer}
	if v, ok := d.Roster.Departure(e.Incarnation()); ok {
		s.departed, s.since = true, now.Sub(v.Since)
		if s.hasEnd = !v.Ends.IsZero(); s.hasEnd {
			s.left = v.Ends.Sub(now)
		}
	}
	for _, f := range d.Holds {
		heard, ok := f(e.ID, e.Address)
		if !ok {
			continue
		}
		if silence := now.Sub(heard); !s.held || silence < s.silence {
			s.silence = silence
		}
		s.held = true
	}
	return s
}

// recordEnd remembers that a process has ended.
func (d *Detector) recordEnd(e endpoint.Endpoint, s signs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended == nil {
		d.ended, _ = simplelru.NewLRU[string, struct{}](maxEnded, nil) // the size is above zero
	}
	d.ended.Add(e.Incarnation(), struct{}{})
	if d.Metrics != nil {
		metrics.GetOrRegisterCounter("endpoints.found_ended", d.Metrics).Inc(1)
	}
	d.Log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Dur("since_notice", s.since).
		Str("connections", s.outcome.String()).Msg("its process has ended")
}
