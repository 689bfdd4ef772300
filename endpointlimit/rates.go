// Package endpointlimit keeps the request rates that endpoints accept from all boxes together. A rate is
// learned from an endpoint's answers or from other boxes, and the newest statement counts. The
// package reads no clock: callers pass the time.
package endpointlimit

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/endpoint"
)

const (
	// limitTTL is the age at which an answer without a limit removes a known one. A younger limit
	// is kept, because not every answer may carry it and an answer may arrive late.
	limitTTL = 2 * time.Second

	// tombstoneTTL is how long the removal of a limit is kept, so that an older statement which
	// arrives late does not restore the limit.
	tombstoneTTL = 10 * time.Second

	// recentWindow is how long a statement is included in every report: two rounds of gossip.
	recentWindow = 1200 * time.Millisecond

	// maxStatements bounds the statements in one report, newest first. Each takes about 40 bytes.
	maxStatements = 128

	// urgentDrop is the relative decrease of a limit above which other boxes are notified at once.
	urgentDrop = 0.1
)

// Statement is the limit stated by one incarnation of an endpoint, and its age. PerSecond is in
// requests per second. If Limited is false, the endpoint has lifted its limit.
type Statement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation string
	Limited     bool
	PerSecond   float64
	Age         time.Duration
}

// Report carries statements from one box to another. Sum is the checksum of the sender's set of
// limited endpoints; see Rates.Sum.
type Report struct {
	Sum   uint64
	Words []Statement
}

// Rates holds the limits that one box knows. The zero value is ready to use.
type Rates struct {
	mu      sync.Mutex
	records map[string]record // by incarnation
}

// record is a limit, or a tombstone if Limited is false, and the time it was stated.
type record struct {
	endpoint.Limit
	at time.Time
}

// Observe records the limit that an answer of an endpoint states at a time. It returns the statement, whose Age is zero, and
// whether other boxes must be notified at once: of a new limit, of its removal, and of one that has
// dropped by more than a tenth.
func (r *Rates) Observe(incarnation string, l endpoint.Limit, at time.Time) (s Statement, urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[incarnation]
	if !l.Limited && (!old.Limited || at.Sub(old.at) < limitTTL) {
		return Statement{}, false
	}
	if r.records == nil {
		r.records = map[string]record{}
	}
	r.records[incarnation] = record{l, at}
	urgent = old.Limited != l.Limited || l.PerSecond < (1-urgentDrop)*old.PerSecond
	return Statement{Incarnation: incarnation, Limited: l.Limited, PerSecond: l.PerSecond}, urgent
}

// Merge merges statements from other boxes. It returns those that add a limit or remove one.
func (r *Rates) Merge(statements []Statement, now time.Time) []Statement {
	if len(statements) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Statement
	for _, s := range statements {
		at := now.Add(-max(s.Age, 0))
		old := r.records[s.Incarnation]
		if !at.After(old.at) || !s.Limited && now.Sub(at) > tombstoneTTL {
			continue
		}
		if r.records == nil {
			r.records = map[string]record{}
		}
		r.records[s.Incarnation] = record{endpoint.Limit{Limited: s.Limited, PerSecond: s.PerSecond}, at}
		if s.Limited != old.Limited {
			changes = append(changes, s)
		}
	}
	return changes
}

// Limit returns the limit of an endpoint and the time since it was stated. Both are zero if no
// limit is known.
func (r *Rates) Limit(incarnation string, now time.Time) (l endpoint.Limit, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[incarnation]
	if !rec.Limited {
		return endpoint.Limit{}, 0
	}
	return rec.Limit, max(now.Sub(rec.at), 0)
}

// Report returns the report for a box whose own checksum is sum. It carries the recent statements
// if that box has the same set of limited endpoints, and all statements otherwise.
func (r *Rates) Report(sum uint64, now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Report{Sum: r.sum()}
	for inc, rec := range r.records {
		if age := max(now.Sub(rec.at), 0); p.Sum != sum || age < recentWindow {
			p.Words = append(p.Words, Statement{Incarnation: inc, Limited: rec.Limited, PerSecond: rec.PerSecond, Age: age})
		}
	}
	slices.SortFunc(p.Words, newestFirst)
	p.Words = p.Words[:min(len(p.Words), maxStatements)]
	return p
}

func newestFirst(a, b Statement) int {
	if a.Age != b.Age {
		return int(a.Age - b.Age)
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// Sum returns a checksum of the set of limited endpoints. It does not cover their rates.
func (r *Rates) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum()
}

func (r *Rates) sum() uint64 {
	var s uint64
	for inc, rec := range r.records {
		if rec.Limited {
			s += xxhash.Sum64String(inc)
		}
	}
	return s
}

// Len returns the number of endpoints with a limit.
func (r *Rates) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, rec := range r.records {
		if rec.Limited {
			n++
		}
	}
	return n
}

// Forget drops endpoints for which known returns false, and expired tombstones.
func (r *Rates) Forget(known func(incarnation string) bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.records, func(inc string, rec record) bool {
		return !known(inc) || !rec.Limited && now.Sub(rec.at) > tombstoneTTL
	})
}
