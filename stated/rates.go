// Package stated keeps the rates of requests that endpoints say they take from all boxes together,
// as this box was told in answers or by other boxes. Times are arguments.
package stated

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
	// endsAfter is how long after a limit was last heard an answer without one ends it. Not each
	// answer of an endpoint may name its limit, and an answer may have been on its way for long.
	endsAfter = 2 * time.Second

	// endedFor is how long it is kept that a limit has ended, so that an older word which comes
	// late does not bring it back.
	endedFor = 10 * time.Second

	// recentFor is how long a word goes to the other boxes in each round: two of their rounds.
	recentFor = 1200 * time.Millisecond

	// maxWords bounds what is told in one message, the newest words first: some 40 bytes each.
	maxWords = 128

	// urgentFall is the part by which a limit falls of which others are told at once.
	urgentFall = 0.1
)

// Word is what was heard of one endpoint's incarnation, and how long ago. Without a rate that
// was named its limit has ended.
type Word struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation string
	Named       bool
	PerSecond   float64
	Age         time.Duration
}

// Report is what one box tells another. Sum tells one set of limited endpoints from another.
type Report struct {
	Sum   uint64
	Words []Word
}

// Rates are what one box knows. Its zero value is ready.
type Rates struct {
	mu    sync.Mutex
	known map[string]word // by incarnation
}

// word is a limit, or the end of one, and when it was heard.
type word struct {
	endpoint.Limit
	at time.Time
}

// Say takes in what an answer says now. It returns the word if others are to be told at once: of a
// new limit, of its end, and of one that has fallen.
func (r *Rates) Say(incarnation string, l endpoint.Limit, now time.Time) (w Word, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.known[incarnation]
	if !l.Named && (!old.Named || now.Sub(old.at) < endsAfter) {
		return Word{}, false
	}
	if r.known == nil {
		r.known = map[string]word{}
	}
	r.known[incarnation] = word{l, now}
	news = old.Named != l.Named || l.PerSecond < (1-urgentFall)*old.PerSecond
	return Word{Incarnation: incarnation, Named: l.Named, PerSecond: l.PerSecond}, news
}

// Hear takes in words of other boxes, and returns those that are news here: a limit that was not
// known, or is none any more.
func (r *Rates) Hear(words []Word, now time.Time) []Word {
	if len(words) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Word
	for _, w := range words {
		at := now.Add(-max(w.Age, 0))
		old := r.known[w.Incarnation]
		if !at.After(old.at) || !w.Named && now.Sub(at) > endedFor {
			continue
		}
		if r.known == nil {
			r.known = map[string]word{}
		}
		r.known[w.Incarnation] = word{endpoint.Limit{Named: w.Named, PerSecond: w.PerSecond}, at}
		if w.Named != old.Named {
			news = append(news, w)
		}
	}
	return news
}

// Limit returns what an endpoint takes, and how long ago that was heard; none if it has not said.
func (r *Rates) Limit(incarnation string, now time.Time) (l endpoint.Limit, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.known[incarnation]
	if !w.Named {
		return endpoint.Limit{}, 0
	}
	return w.Limit, max(now.Sub(w.at), 0)
}

// Report returns what another box is told that has a sum: all that is known, or the recent words
// if its limited endpoints are the same.
func (r *Rates) Report(sum uint64, now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Report{Sum: r.sum()}
	for inc, w := range r.known {
		if age := max(now.Sub(w.at), 0); p.Sum != sum || age < recentFor {
			p.Words = append(p.Words, Word{Incarnation: inc, Named: w.Named, PerSecond: w.PerSecond, Age: age})
		}
	}
	slices.SortFunc(p.Words, newestFirst)
	p.Words = p.Words[:min(len(p.Words), maxWords)]
	return p
}

func newestFirst(a, b Word) int {
	if a.Age != b.Age {
		return int(a.Age - b.Age)
	}
	return strings.Compare(a.Incarnation, b.Incarnation)
}

// Sum tells one set of limited endpoints from another.
func (r *Rates) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum()
}

func (r *Rates) sum() uint64 {
	var s uint64
	for inc, w := range r.known {
		if w.Named {
			s += xxhash.Sum64String(inc)
		}
	}
	return s
}

// Len returns how many endpoints have a limit.
func (r *Rates) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range r.known {
		if w.Named {
			n++
		}
	}
	return n
}

// Forget drops endpoints that are not known any more, and limits that ended long ago.
func (r *Rates) Forget(known func(incarnation string) bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.known, func(inc string, w word) bool {
		return !known(inc) || !w.Named && now.Sub(w.at) > endedFor
	})
}
