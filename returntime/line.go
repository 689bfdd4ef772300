// Package returntime keeps the places of refused requests that are told when to return. The load
// pattern is an account that asks for more than its limit, whose callers return once: at a time that
// has no room for them, they are refused a second time, and those that return before they were told
// to take the room of those that wait.
package returntime

import (
	"slices"
	"time"
)

const (
	// MaxWait bounds the time until a place is due. Under a lasting shortage all large requests wait for
	// as long as the line is, so that a longer line serves more of them late: of the histories of an
	// account that asks for a third more than its limit, 0.83 are served in time with 200 ms and 0.60
	// with 400 ms. Callers with a deadline of 600 ms wait no longer either.
	MaxWait = 200 * time.Millisecond

	// ClaimWithin is the time after which a place that nobody claimed is given back. A caller that
	// follows its return time is late by a connection and a question to an arbiter.
	ClaimWithin = 150 * time.Millisecond

	// maxPlaces bounds the places of one line. It holds 0.2 s of an account's requests
	// that come to one arbiter 640 times a second.
	maxPlaces = 128

	// maxTold bounds the requests without a place that are remembered. It holds those of 2 s of an
	// account of which one arbiter refuses 128 requests a second.
	maxTold = 256

	// RoundingError is by how much a caller that follows its return time may be early, since the
	// Retry-After header has hundredths of a second.
	RoundingError = 5 * time.Millisecond
)

// Key is what a request is recognised by when it returns. Requests with the same key can take each
// other's places.
type Key struct {
	Route   string
	Size    float64
	Content uint64 // hash of the content
}

// Line holds the places of one account at one box, in the order in which they are due. A place holds
// back tokens of the request's size. Requests for which there was no place are remembered until the
// time at which they were told to return. A Line's zero value is empty.
type Line struct {
	places []place
	told   []place
}

type place struct {
	Key
	due time.Time
}

// Expire gives back the places that were not claimed in time.
func (l *Line) Expire(now time.Time) {
	first := now.Add(-ClaimWithin) // computed once: Sub for each place took half of the time of a question
	l.places = slices.DeleteFunc(l.places, func(p place) bool { return p.due.Before(first) })
}

// Find returns the first place of a key, when it is due, and the units that the places before it
// hold. Without a place it returns -1 and the units that all places hold.
func (l *Line) Find(k Key) (place int, due time.Time, ahead float64) {
	for i := range l.places {
		p := &l.places[i]
		if p.Content == k.Content && p.Key == k {
			return i, p.due, ahead
		}
		ahead += p.Size
	}
	return -1, time.Time{}, ahead
}

// Remove removes a place that Find returned.
func (l *Line) Remove(place int) { l.places = slices.Delete(l.places, place, place+1) }

// Full reports whether the line takes no more places.
func (l *Line) Full() bool { return len(l.places) >= maxPlaces }

// Add adds a place behind all others.
func (l *Line) Add(k Key, due time.Time) { l.places = append(l.places, place{k, due}) }

// Told returns the time at which a request without a place was told to return, if that is to come.
func (l *Line) Told(k Key, now time.Time) (due time.Time, ok bool) {
	for i := range l.told {
		p := &l.told[i]
		if p.Content == k.Content && p.Key == k && p.isToCome(now) {
			return p.due, true
		}
	}
	return time.Time{}, false
}

// Tell remembers that a request without a place was told to return at a time. If too many are
// remembered, it does nothing.
func (l *Line) Tell(k Key, due, now time.Time) {
	if len(l.told) >= maxTold {
		l.told = slices.DeleteFunc(l.told, func(p place) bool { return !p.isToCome(now) })
	}
	if len(l.told) < maxTold {
		l.told = append(l.told, place{k, due})
	}
}

func (p *place) isToCome(now time.Time) bool { return p.due.Sub(now) > RoundingError }
