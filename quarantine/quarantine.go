// Package quarantine detects requests that crash endpoints and refuses them. Without it, one such
// request that is retried crashes every endpoint of its service: 39 crashes in 16 s in a fleet of 12,
// while 46% of the requests of all callers went unanswered.
//
// A request is identified by the hash of its content, since a retry comes with another ID. Many
// contents are in flight at an endpoint that crashes, but only the one that caused the crash is in
// flight at the next crashes too. Each box therefore records all of them and shares its records with
// other boxes. A content is refused once several endpoints crashed under it and no other refused
// content explains these crashes. A content that an endpoint answered since is cleared.
//
// The package does no I/O and reads no clock: callers pass the time.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/requesthash"
)

const (
	// minCrashes is the number of endpoints that must crash under a content before it is refused.
	// When endpoints crashed for other reasons, 172 contents were in flight at one crash, 3 at two
	// and none at more. Beside two contents that crashed 57 endpoints, 64 others were in flight at
	// two crashes and 21 at three or more, most of which the two explain.
	minCrashes = 3

	// trialGap separates the crash of a trial from the crashes before it. A content is refused for
	// holdTimes[0] after its last crash; then a single box forwards one request as a trial. If that
	// crashes an endpoint more than trialGap after the previous crash, the next hold time applies,
	// up to the last one, after which any box may send a trial. A content refused wrongly is thus
	// allowed again within seconds, and one that crashes endpoints crashes one more then and one a
	// minute later.
	trialGap = 4 * time.Second

	// trialTimeout is the time after which a trial without a result is followed by another.
	trialTimeout = 10 * time.Second

	// otherBoxRetryAfter is the retry time of a request that only another box may send as a trial.
	otherBoxRetryAfter = time.Second

	// recordTTL is how long a record is kept after the last crash. A request that is retried every
	// 15 minutes is still refused.
	recordTTL = time.Hour

	// answerProtection is how long after an answer a content is not suspected of a crash. Many
	// requests may have the same content, such as a status query, so that some are in flight
	// whenever an endpoint crashes.
	answerProtection = time.Minute

	// confirmWindow is the time after a failed attempt within which its endpoint must be found to
	// have crashed. The record of an endpoint that does not deregister expires after three
	// heartbeats.
	confirmWindow = 6 * time.Second

	// recentWindow is how long a box reports its observations. The window covers the four seconds
	// within which a box finds another relay.
	recentWindow = 10 * time.Second

	// Bounds on the number of suspected contents, of crashes per content, of failed attempts that
	// await confirmation, and of answered contents.
	maxContents       = 2048
	maxCrashes        = 32
	maxFailedAttempts = 1024
	maxAnswered       = 2048

	// maxSuspects bounds the contents in one list, which takes 3.6 KB if each has one crash.
	maxSuspects = 64
)

// holdTimes are the hold times after no, one, and two or more failed trials.
var holdTimes = [...]time.Duration{5 * time.Second, time.Minute, 10 * time.Minute}

// Quarantine holds the records of one box about contents that may crash endpoints. The zero value is
// ready to use.
type Quarantine struct {
	Log zerolog.Logger

	// OnChange, if set, is called with records that changed by an observation of this box, so that
	// other boxes can be notified at once. It is called without locks held.
	OnChange func([]Suspect)

	// SendsTrials reports whether this box is the one that sends a refused content as a trial. If
	// it is nil, any box does.
	SendsTrials func(requesthash.Hash) bool

	mu       sync.Mutex
	records  map[requesthash.Hash]*record
	refused  map[requesthash.Hash]bool
	failed   []failedAttempt
	answered *simplelru.LRU[requesthash.Hash, time.Time]
}

// failedAttempt is an attempt whose connection broke while the endpoint ran a content.
type failedAttempt struct {
	content  requesthash.Hash
	endpoint string
	at       time.Time
}

// RecordFailure records that an attempt broke at an endpoint that had not announced its shutdown.
// The failure counts against the content once the endpoint is found to have crashed.
func (q *Quarantine) RecordFailure(h requesthash.Hash, endpoint string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.answeredAt(h, now); ok {
		return
	}
	if len(q.failed) >= maxFailedAttempts {
		q.failed = slices.Delete(q.failed, 0, len(q.failed)-maxFailedAttempts+1)
	}
	q.failed = append(q.failed, failedAttempt{h, endpoint, now})
}

// RecordCrash records that an endpoint has crashed. how names the means of detection, for the
// log.
func (q *Quarantine) RecordCrash(endpoint, how string, now time.Time) {
	q.mu.Lock()
	changed := q.confirm(endpoint, how, now)
	q.mu.Unlock()
	if len(changed) > 0 && q.OnChange != nil {
		q.OnChange(changed)
	}
}

// confirm counts the failed attempts at a crashed endpoint against their contents. It returns the
// records that changed.
func (q *Quarantine) confirm(endpoint, how string, now time.Time) []Suspect {
	var changed []Suspect
	var remaining []failedAttempt
	for _, b := range q.failed {
		switch {
		case now.Sub(b.at) > confirmWindow:
		case b.endpoint != endpoint:
			remaining = append(remaining, b)
		default:
			r := q.record(b.content)
			r.lastLocal = now
			if r.addCrash(hashEndpoint(endpoint), now) {
				changed = append(changed, r.suspect(b.content, now))
			}
		}
	}
	q.failed = remaining
	if len(changed) > 0 {
		q.Log.Warn().Str("event", "endpoint ended").Str("endpoint", endpoint).Str("seen", how).Int("contents", len(changed)).
			Msg("endpoint crashed without announcing that it leaves")
		q.updateRefused(now)
	}
	return changed
}

// RecordAnswer records that an endpoint has answered a content completely.
func (q *Quarantine) RecordAnswer(h requesthash.Hash, now time.Time) {
	q.mu.Lock()
	if q.answered == nil {
		q.answered, _ = simplelru.NewLRU[requesthash.Hash, time.Time](maxAnswered, nil) // fails only for a size of zero or less
	}
	q.answered.Add(h, now)
	changed := q.clear(h, now, now)
	q.mu.Unlock()
	if len(changed) > 0 && q.OnChange != nil {
		q.OnChange(changed)
	}
}

// clear records that a suspected content was answered at time at. It returns the changed record, or
// nil if other boxes need not be notified.
func (q *Quarantine) clear(h requesthash.Hash, at, now time.Time) []Suspect {
	r := q.records[h]
	if r == nil || len(r.crashes) == 0 || !r.addAnswer(at) {
		return nil // not suspected, or known to be answered
	}
	r.lastLocal = now
	q.updateRefused(now)
	return []Suspect{r.suspect(h, now)}
}

// answeredAt returns when a content was last answered to this box, and whether that was within
// answerProtection.
func (q *Quarantine) answeredAt(h requesthash.Hash, now time.Time) (time.Time, bool) {
	if q.answered == nil {
		return time.Time{}, false
	}
	at, ok := q.answered.Get(h)
	return at, ok && now.Sub(at) < answerProtection
}

// Refuses reports whether a content must not be sent to any endpoint now, and the time after which
// the caller may retry.
func (q *Quarantine) Refuses(h requesthash.Hash, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.refused[h] {
		return 0, false
	}
	r := q.records[h]
	sinceCrash := now.Sub(r.lastCrash)
	switch longest := holdTimes[len(holdTimes)-1]; {
	case sinceCrash < r.holdTime():
		return r.holdTime() - sinceCrash, true
	case now.Sub(r.lastTrial) < trialTimeout:
		return trialTimeout - now.Sub(r.lastTrial), true
	case sinceCrash < longest && q.SendsTrials != nil && !q.SendsTrials(h):
		return otherBoxRetryAfter, true
	default:
		return 0, false
	}
}

// RecordSend records that a content is sent to an endpoint. The send of a refused content is a trial.
func (q *Quarantine) RecordSend(h requesthash.Hash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refused[h] {
		q.records[h].lastTrial = now
		q.Log.Warn().Str("event", "content").Stringer("content", h).Msg("sent as a trial")
	}
}

// Merge merges suspects from another box or from the store. It reports whether anything changed.
// For a content that this box has seen answered recently, it clears the content and passes the
// answer to OnChange.
func (q *Quarantine) Merge(suspects []Suspect, now time.Time) bool {
	q.mu.Lock()
	changed := false
	var cleared []Suspect
	for _, s := range suspects {
		changed = q.merge(s, now) || changed
		if at, ok := q.answeredAt(s.Content, now); ok {
			cleared = append(cleared, q.clear(s.Content, at, now)...)
		}
	}
	if changed {
		q.updateRefused(now)
	}
	q.mu.Unlock()
	if len(cleared) > 0 && q.OnChange != nil {
		q.OnChange(cleared)
	}
	return changed
}

func (q *Quarantine) merge(s Suspect, now time.Time) bool {
	r := q.record(s.Content)
	changed := false
	if s.Answered > 0 {
		changed = r.addAnswer(now.Add(-s.Answered))
	}
	for _, e := range s.Ends {
		if e.Age < recordTTL {
			changed = r.addCrash(e.Endpoint, now.Add(-e.Age)) || changed
		}
	}
	return changed
}

// Local returns the records that changed recently by observations of this box.
func (q *Quarantine) Local(now time.Time) []Suspect {
	return q.list(now, func(_ requesthash.Hash, r *record) bool { return now.Sub(r.lastLocal) < recentWindow })
}

// Recent returns the records with a recent crash or answer, whichever box observed it.
func (q *Quarantine) Recent(now time.Time) []Suspect {
	return q.list(now, func(_ requesthash.Hash, r *record) bool {
		return now.Sub(r.lastCrash) < recentWindow || now.Sub(r.lastAnswer) < recentWindow
	})
}

// Verdicts returns the records that a relay sends to its members: those of the contents that are
// refused, and of suspected contents that were answered within answerProtection.
func (q *Quarantine) Verdicts(now time.Time) []Suspect {
	return q.list(now, func(h requesthash.Hash, r *record) bool {
		return q.refused[h] || now.Sub(r.lastAnswer) < answerProtection
	})
}

// Refused returns the records of the contents that are refused.
func (q *Quarantine) Refused(now time.Time) []Suspect {
	return q.list(now, func(h requesthash.Hash, _ *record) bool { return q.refused[h] })
}

// list returns up to maxSuspects records for which include returns true, those with the most crashes
// first.
func (q *Quarantine) list(now time.Time, include func(requesthash.Hash, *record) bool) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var suspects []Suspect
	for h, r := range q.records {
		if include(h, r) {
			suspects = append(suspects, r.suspect(h, now))
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content))
	})
	return suspects[:min(len(suspects), maxSuspects)]
}

// record returns the record of a content. If there is none it adds one, and evicts another if the
// table is full.
func (q *Quarantine) record(h requesthash.Hash) *record {
	if r := q.records[h]; r != nil {
		return r
	}
	if q.records == nil {
		q.records = map[requesthash.Hash]*record{}
	}
	if len(q.records) >= maxContents {
		q.evict()
	}
	r := &record{crashes: map[uint64]time.Time{}}
	q.records[h] = r
	return r
}

// evict drops the record with the fewest crashes, and among equals the one whose last crash is oldest.
func (q *Quarantine) evict() {
	var victim requesthash.Hash
	var least *record
	for h, r := range q.records {
		if least == nil || len(r.crashes) < len(least.crashes) || len(r.crashes) == len(least.crashes) && r.lastCrash.Before(least.lastCrash) {
			victim, least = h, r
		}
	}
	delete(q.records, victim)
	delete(q.refused, victim)
}
