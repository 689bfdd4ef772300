// Package numbering finds out whether the IDs of a service's events count them.
package numbering

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A service counts as initialAnswers that counted their events. The newest answers count, up to maxAnswers.
const (
	initialAnswers = 8
	maxAnswers     = 64
)

// lostNumbers is how many numbers an answer must leave out between a few events to be believed alone: no run loses as many events.
const lostNumbers = 24

// maxStatements bounds the services of which boxes tell each other.
const maxStatements = 256

// Census records for each service how many of its newest answers counted their events from the first one on. The zero
// value is ready to use.
type Census struct {
	mu         sync.Mutex
	services   map[string]*tally
	statements map[string]Statement // by service
}

// Statement is how a box has found a service to number its events. It holds for boxes that have not found out themselves. Of two
// statements the one with the higher version is newer. Of two with the same version the one that numbers count the events holds.
type Statement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Rises   bool // numbers only rise; otherwise they count the events
	Version uint64
}

// Report carries statements from one box to another. Sum is a checksum of all statements of the sender; see Census.Report.
type Report struct {
	Sum        uint64
	Statements []Statement
}

// tally counts answers. Of a service none of whose answers is known to have counted its events, a single answer is believed that
// leaves out lostNumbers between a few events. Otherwise two endpoints must leave out number after number, with no answer between that counted
// its events.
type tally struct {
	counted, all int
	hasCounted   bool   // an answer counted its events, here or at another box
	gaps         string // endpoint that sent an answer with gaps since; empty if none did
	leaving      string // endpoint that sent the first answer that left out a number
	isAgreed     bool   // more than what one endpoint may lose shows that numbers are left out
}

// get returns the tally of a service. The lock must be held.
func (c *Census) get(service string) *tally {
	if c.services == nil {
		c.services = map[string]*tally{}
	}
	t := c.services[service]
	if t == nil {
		t = &tally{counted: initialAnswers, all: initialAnswers}
		if s, ok := c.statements[service]; ok && s.Rises {
			*t = tally{all: 1, isAgreed: true}
		} else {
			t.hasCounted = ok
		}
		c.services[service] = t
	}
	return t
}

func (t *tally) rises() bool { return t.isAgreed && 2*t.counted <= t.all }

// isKnown reports whether it is known how the service numbers its events.
func (t *tally) isKnown() bool { return t.hasCounted || t.rises() }

// state makes a statement if this box has found out how a service numbers its events, or that it does so differently. The lock
// must be held.
func (c *Census) state(service string, before tally) {
	t := c.services[service]
	if !t.isKnown() || before.isKnown() && before.rises() == t.rises() {
		return
	}
	old, ok := c.statements[service]
	if ok && old.Rises == t.rises() || !ok && len(c.statements) >= maxStatements {
		return
	}
	if c.statements == nil {
		c.statements = map[string]Statement{}
	}
	c.statements[service] = Statement{Service: service, Rises: t.rises(), Version: old.Version + 1}
}

// Merge merges statements from another box.
func (c *Census) Merge(statements []Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range statements {
		old, ok := c.statements[s.Service]
		if ok && (s.Version < old.Version || s.Version == old.Version && (s.Rises || !old.Rises)) || !ok && len(c.statements) >= maxStatements {
			continue
		}
		if c.statements == nil {
			c.statements = map[string]Statement{}
		}
		c.statements[s.Service] = s
		if t := c.services[s.Service]; t != nil && !t.isKnown() {
			delete(c.services, s.Service)
		}
	}
}

// Report returns the report for a box whose own checksum is sum. It has no statements if that box has the same ones.
func (c *Census) Report(sum uint64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Report{}
	for _, s := range c.statements {
		h := xxhash.Sum64String(s.Service) + 2*s.Version
		if s.Rises {
			h++
		}
		p.Sum += h * h
	}
	if p.Sum != sum {
		p.Statements = slices.SortedFunc(maps.Values(c.statements), func(a, b Statement) int { return cmp.Compare(a.Service, b.Service) })
	}
	return p
}

// Record records an answer of an endpoint of a service, which counts its events or leaves out a number. One endpoint alone may
// lose an event of each answer.
func (c *Census) Record(service, endpoint string, counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.get(service)
	defer c.state(service, *t)
	t.all++
	switch {
	case counted:
		t.counted++
		t.hasCounted, t.gaps = true, ""
	case t.leaving == "":
		t.leaving = endpoint
	case t.leaving != endpoint:
		t.isAgreed = true
	}
	if t.all >= maxAnswers {
		t.all, t.counted = t.all/2, t.counted/2
	}
}

// RecordGaps records that an answer of an endpoint leaves out number after number, leftOut in all, and reports whether the service is
// taken to number its events so, from now on. What it sent before doesn't count any more then.
func (c *Census) RecordGaps(service, endpoint string, leftOut int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.get(service)
	defer c.state(service, *t)
	switch {
	case t.rises():
	case t.gaps != "" && t.gaps != endpoint:
		*t = tally{all: initialAnswers, isAgreed: true}
	case !t.hasCounted && leftOut >= lostNumbers:
		*t = tally{all: 1, gaps: endpoint, isAgreed: true}
	default:
		t.gaps = endpoint
		return false
	}
	return true
}

// Counts reports whether a service counts its events, as most of its answers do. If this box knows no answers, another box has told it.
func (c *Census) Counts(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	if t == nil {
		return !c.statements[service].Rises
	}
	return !t.rises()
}
