// Package linkstate tracks which endpoints a box reaches over its own links. A failed connection
// shows only that the link, the endpoint or both have failed. The link has failed if another box
// reaches the endpoint, and the endpoint has if no other box does. The package does no I/O and reads
// no clock: callers pass the time.
package linkstate

import (
	"maps"
	"sync"
	"time"
)

// Path is the way to connect to an endpoint.
type Path int

// The ways to connect. Direct uses the box's own link and asks other boxes only if that is slow or
// fails. Both tries the own link and another box at the same time. Detour uses another box, and the
// own link only if no other box reaches the endpoint.
const (
	Direct Path = iota
	Both
	Detour
)

// String returns the name of the path in logs.
func (p Path) String() string { return [...]string{"direct", "both", "detour"}[p] }

const (
	// probeInterval is the time between two probes of a link that has failed, and maxGoneInterval
	// that of an endpoint which no other box reaches either. The interval doubles up to there.
	probeInterval   = 300 * time.Millisecond
	maxGoneInterval = 4 * time.Second

	// goneMemory is how long no other box is asked for an endpoint that none reached.
	goneMemory = 500 * time.Millisecond

	// minLost is the number of failed links that make a box doubt all links on which nothing has
	// arrived since. An endpoint that is found down may be cut off by itself.
	minLost = 2

	// maxProbes bounds the probes that are due at a time.
	maxProbes = 32
)

// link is the state of the link to one endpoint. The zero time stands for never.
type link struct {
	heard      time.Time     // when anything last arrived on it
	refused    time.Time     // when a connection was last refused or reset
	silent     time.Time     // when a connection last timed out
	lost       time.Time     // when another box was found to reach the endpoint; zero while the link works
	gone       time.Time     // when the endpoint was last found unreachable by boxes that reach others
	ended      bool          // it refused connections then
	checked    time.Time     // when a check last began
	probeAt    time.Time     // when the next probe is due; zero if none is
	probeAfter time.Duration // interval of the probes
}

func (l *link) failed() bool {
	return l.refused.After(l.heard) || l.silent.After(l.heard) || !l.lost.IsZero()
}

// Tracker holds the state of the links of one box, by endpoint ID. The zero value is ready to use.
type Tracker struct {
	mu        sync.Mutex
	links     map[string]*link
	lost      int       // links that are lost
	lostSince time.Time // of the first of them
	heard     time.Time // when anything last arrived on any link
}

// link returns the entry of an endpoint. The lock must be held.
func (t *Tracker) link(id string) *link {
	l := t.links[id]
	if l == nil {
		if t.links == nil {
			t.links = map[string]*link{}
		}
		l = &link{}
		t.links[id] = l
	}
	return l
}

// Path returns how to connect to an endpoint.
func (t *Tracker) Path(id string) Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	switch {
	case l != nil && !l.lost.IsZero():
		return Detour
	case t.doubts(l):
		return Both
	default:
		return Direct
	}
}

// doubts reports whether a link is doubted because others are lost. The lock must be held.
func (t *Tracker) doubts(l *link) bool {
	return t.lost >= minLost && (l == nil || l.heard.Before(t.lostSince))
}

// ReusableSince returns the time from which an idle connection to an endpoint must have been in use to
// be used again. Connections that were idle longer may have been silenced without a reset.
func (t *Tracker) ReusableSince(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l != nil && l.silent.After(l.heard) {
		return l.silent
	}
	if t.doubts(l) && t.anySilent() {
		return t.lostSince
	}
	return time.Time{}
}

// anySilent reports whether a lost link is silent. The lock must be held.
func (t *Tracker) anySilent() bool {
	for _, l := range t.links {
		if !l.lost.IsZero() && l.silent.After(l.heard) {
			return true
		}
	}
	return false
}

// RecordTraffic records that something arrived on a connection to an endpoint. It does not show that
// new connections are possible.
func (t *Tracker) RecordTraffic(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.link(id).heard, t.heard = now, now
}

// RecordConnected records that a connection to an endpoint was established. It reports whether the last one
// had failed.
func (t *Tracker) RecordConnected(id string, now time.Time) (recovered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	t.heard = now
	recovered = l.failed()
	if !l.lost.IsZero() {
		t.lost--
	}
	*l = link{heard: now, checked: l.checked}
	if recovered && t.lost > 0 {
		t.probeAll(now) // the other links may have recovered at the same time
	}
	return recovered
}

// RecordFailure records that a connection to an endpoint was refused or, if silent is set, timed out.
func (t *Tracker) RecordFailure(id string, silent bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	if silent {
		l.silent = now
	} else {
		l.refused = now
	}
	l.scheduleProbe(now)
}

// scheduleProbe schedules a probe unless an earlier one is due.
func (l *link) scheduleProbe(now time.Time) {
	if l.probeAfter == 0 {
		l.probeAfter = probeInterval
	}
	if l.probeAt.IsZero() {
		l.probeAt = now.Add(l.probeAfter)
	}
}

// RecordReachable records that another box reaches an endpoint to which this box's connection has
// failed: the link is lost. It reports whether that is new. Links that are doubted from then on are
// probed at once.
func (t *Tracker) RecordReachable(id string, now time.Time) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	l.gone, l.probeAfter = time.Time{}, probeInterval
	if !l.lost.IsZero() {
		return false
	}
	if t.lost == 0 {
		t.lostSince = now
	}
	t.lost++
	l.lost = now
	l.scheduleProbe(now)
	if t.lost == minLost {
		t.probeAll(now)
	}
	return true
}

// probeAll makes probes of all doubted, failed and lost links due. The lock must be held.
func (t *Tracker) probeAll(now time.Time) {
	for _, l := range t.links {
		if l.failed() || t.doubts(l) {
			l.probeAt, l.probeAfter = now, probeInterval
		}
	}
}

// RecordGone records that an endpoint is unreachable to boxes whose links to others work, and whether it
// refused their connections.
func (t *Tracker) RecordGone(id string, refused bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	if !l.lost.IsZero() {
		l.lost = time.Time{}
		t.lost--
	}
	l.gone, l.ended = now, refused
}

// IsGone reports whether an endpoint has just been found unreachable, so that neither asking other boxes
// nor trying for them is of use, and whether it refused connections.
func (t *Tracker) IsGone(id string, now time.Time) (gone, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil || l.gone.IsZero() || now.Sub(l.gone) >= goneMemory {
		return false, false
	}
	return true, l.ended
}

// IsLost reports whether the link to an endpoint is lost.
func (t *Tracker) IsLost(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	return l != nil && !l.lost.IsZero()
}

// BeginCheck reports whether the link to an endpoint is to be checked because nothing has arrived on it
// since a time. It returns true once per probe interval, and only if nothing has arrived on any other link
// either: endpoints under load are silent for longer than expected, and a check costs them a connection.
func (t *Tracker) BeginCheck(id string, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(id)
	if !l.lost.IsZero() || t.heard.After(since) || now.Sub(l.checked) < probeInterval {
		return false
	}
	l.checked = now
	return true
}

// DueProbes returns the endpoints whose links are to be probed now, and whether more probes are going to
// be due. A probe that it returns is scheduled again.
func (t *Tracker) DueProbes(now time.Time) (due []string, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if l.probeAt.IsZero() {
			continue
		}
		more = true
		if now.Before(l.probeAt) || len(due) == maxProbes {
			continue
		}
		due = append(due, id)
		if !l.gone.IsZero() {
			l.probeAfter = min(2*l.probeAfter, maxGoneInterval)
		}
		l.probeAt = now.Add(l.probeAfter)
	}
	return due, more
}

// CountLost returns the number of lost links.
func (t *Tracker) CountLost() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Forget discards the links to endpoints that are not known.
func (t *Tracker) Forget(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.links, func(id string, l *link) bool {
		if known(id) {
			return false
		}
		if !l.lost.IsZero() {
			t.lost--
		}
		return true
	})
}
