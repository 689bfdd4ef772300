// Package quarantine detects requests that crash endpoints and refuses them. Without it, one such
// request that is retried crashes every endpoint of its service: 39 crashes in 16 s in a fleet of 12,
// while 46% of the requests of all callers went unanswered.
//
// Requests that crash endpoints have an item in common: the hash of their content, since a retry comes
// with another ID, or a part of their prompts, whatever else they hold. Many items are in flight at an
// endpoint that crashes, but only the one that caused the crash is in flight at the next crashes too.
// Each box therefore records all of them and shares its records with other boxes. An item is refused
// once several endpoints crashed under it, no other refused item explains these crashes, and no endpoint
// of the same software version has answered it since.
//
// The package does no I/O and reads no clock: callers pass the time.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/requesthash"
)

const (
	// minCrashes is the number of endpoints that must crash under an item before it is refused.
	// When endpoints crashed for other reasons, 172 contents were in flight at one crash, 3 at two
	// and none at more. Beside two contents that crashed 57 endpoints, 64 others were in flight at
	// two crashes and 21 at three or more, most of which the two explain.
	minCrashes = 3

	// An item that was answered within answerProtection before it was in flight at a crash may be one that
	// many requests have, such as a status query or the first part of prompts, so that some are in flight
	// whenever an endpoint crashes. It is refused only after more crashes within more than RunningTime, since which
	// no endpoint has run it for as long. If endpoints have, crashes before that count as well after runningWait, provided
	// that there were minCrashes since, and all count if they go on for answeredWait, which most answers do not take.
	minCrashesAnsweredPart    = 4
	minCrashesAnsweredContent = 5
	answerProtection          = time.Minute
	runningWait               = 1500 * time.Millisecond
	answeredWait              = 5 * time.Second

	// sameMoment is the time within which endpoints that one cause ends together are found to have crashed. Reports
	// of other boxes are some tens of milliseconds late.
	sameMoment = 50 * time.Millisecond

	// roundTime is the time after which a further crash is taken not to be of the same cause.
	roundTime = 500 * time.Millisecond

	// maxTimeError is how much later than it was a crash that another box reports may seem. An answer that began
	// so long before refutes it as well. minCorrection is the least correction of such a time that is passed on.
	maxTimeError  = 100 * time.Millisecond
	minCorrection = 10 * time.Millisecond

	// trialTimeout is the time after which a trial without a result is followed by another.
	trialTimeout = 10 * time.Second

	// otherBoxRetryAfter is the retry time of a request that only another box may send as a trial.
	otherBoxRetryAfter = time.Second

	// recordTTL is how long a record is kept after the last crash, and refusedPartTTL that of a part with
	// minCrashes, which may be refused. A request that is retried every 15 minutes is still refused.
	recordTTL      = time.Hour
	refusedPartTTL = 24 * time.Hour

	// confirmWindow is the time after a failed attempt within which its endpoint must be found to
	// have crashed. The record of an endpoint that does not deregister expires after three
	// heartbeats.
	confirmWindow = 6 * time.Second

	// recentWindow is how long a box reports its observations. The window covers the four seconds
	// within which a box finds another relay.
	recentWindow = 10 * time.Second

	// Bounds on the number of items with records, of crashes per item, of failed attempts that
	// await confirmation, of answered items, and of software versions per item.
	maxRecords        = 4096
	maxCrashes        = 32
	maxFailedAttempts = 1024
	maxAnswered       = 4096
	maxVersions       = 8

	// maxVerdicts bounds the items in a list of verdicts, maxRecent those in the lists that are sent in each round, and
	// maxReportedCrashes the crashes of each that is not refused.
	maxVerdicts        = 64
	maxRecent          = 32
	maxReportedCrashes = 2

	// evictedShare is the part of the records that are evicted together when the table is full.
	evictedShare = 8
)

// RunningTime is the time for which an endpoint must have sent an answer for RecordRunning.
const RunningTime = 300 * time.Millisecond

// Quarantine holds the records of one box about items that may crash endpoints. The zero value is
// ready to use.
type Quarantine struct {
	Log zerolog.Logger

	// OnChange, if set, is called with records that changed by an observation of this box, so that
	// other boxes can be notified at once. It is called without locks held.
	OnChange func([]Suspect)

	// SendsTrials reports whether this box is the one that sends a refused item as a trial. If
	// it is nil, any box does.
	SendsTrials func(requesthash.Hash) bool

	mu        sync.Mutex
	records   map[requesthash.Hash]*record
	refused   map[requesthash.Hash]bool
	ambiguous map[requesthash.Hash]bool // refused items whose crashes another refused item explains as well
	reviewAt  time.Time                 // when an item may have to be refused although nothing happens; zero for never
	failed    []failedAttempt
	answered  *simplelru.LRU[requesthash.Hash, answers]
}

// failedAttempt is an attempt whose connection broke while the endpoint ran the request.
type failedAttempt struct {
	Attempt
	sent, at time.Time
}

// RecordFailure records that an attempt, sent at a time, broke at an endpoint that had not announced its shutdown.
// The failure counts against the request's items once the endpoint is found to have crashed.
func (q *Quarantine) RecordFailure(a Attempt, sent, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.failed) >= maxFailedAttempts {
		q.failed = slices.Delete(q.failed, 0, len(q.failed)-maxFailedAttempts+1)
	}
	q.failed = append(q.failed, failedAttempt{a, sent, now})
}

// RecordCrash records that an endpoint has crashed. how names the means of detection, for the
// log.
func (q *Quarantine) RecordCrash(endpoint, how string, now time.Time) {
	q.mu.Lock()
	changed := q.confirm(endpoint, how, now)
	q.mu.Unlock()
	q.notify(changed)
}

// notify passes changed records to OnChange. The lock must not be held.
func (q *Quarantine) notify(changed []Suspect) {
	if len(changed) > 0 && q.OnChange != nil {
		q.OnChange(changed)
	}
}

// confirm counts the failed attempts at a crashed endpoint against their items. It returns the
// records that changed.
func (q *Quarantine) confirm(endpoint, how string, now time.Time) []Suspect {
	changed := map[requesthash.Hash]*record{}
	var remaining []failedAttempt
	for _, b := range q.failed {
		switch {
		case now.Sub(b.at) > confirmWindow:
		case b.Endpoint != endpoint:
			remaining = append(remaining, b)
		default:
			for h, isPart := range b.items() {
				r := q.record(h, isPart)
				r.lastLocal = now
				if r.addCrash(hashEndpoint(endpoint), crash{at: b.at, ran: max(b.at.Sub(b.sent), 1), version: versionHash(b.Version)}) {
					changed[h] = r
				}
			}
		}
	}
	q.failed = remaining
	if len(changed) == 0 {
		return nil
	}
	parts := 0
	out := make([]Suspect, 0, len(changed))
	for h, r := range changed {
		if r.isPart {
			parts++
		}
		s := r.suspect(h, now)
		s.limitCrashes(1) // other boxes know the others
		out = append(out, s)
	}
	q.Log.Warn().Str("event", "endpoint ended").Str("endpoint", endpoint).Str("seen", how).Int("contents", len(changed)-parts).Int("parts", parts).
		Msg("endpoint crashed without announcing that it leaves")
	q.updateRefused(now)
	return out
}

// RecordRunning records that an endpoint of a software version has been sending an answer to a request for RunningTime.
// Begun is when it began.
func (q *Quarantine) RecordRunning(r Request, version string, begun, now time.Time) {
	var changed []Suspect
	q.mu.Lock()
	for h := range r.items() {
		if k := q.records[h]; k != nil && k.addRunning(versionHash(version), begun) {
			k.lastLocal = now
			changed = append(changed, k.suspect(h, now))
		}
	}
	if len(changed) > 0 {
		q.updateRefused(now)
	}
	q.mu.Unlock()
	q.notify(changed)
}

// RecordAnswer records that an endpoint of a software version has answered a request completely. Begun is when it began to
// write the answer, or an earlier time.
func (q *Quarantine) RecordAnswer(r Request, version string, begun, now time.Time) {
	q.mu.Lock()
	changed := q.recordAnswer(r, versionHash(version), begun, now)
	if len(changed) > 0 {
		q.updateRefused(now)
	}
	q.mu.Unlock()
	q.notify(changed)
}

func (q *Quarantine) recordAnswer(r Request, version uint32, begun, now time.Time) []Suspect {
	if q.answered == nil {
		q.answered, _ = simplelru.NewLRU[requesthash.Hash, answers](maxAnswered, nil) // fails only for a size of zero or less
	}
	var changed []Suspect
	for h := range r.items() {
		a, ok := q.answered.Get(h)
		if !ok {
			a = answers{}
			q.answered.Add(h, a)
		}
		a.add(version, begun)
		changed = append(changed, q.addAnswer(h, version, begun, now)...)
	}
	return changed
}

// addAnswer records an answer to an item that has a record. It returns the changed record, or nil if other boxes need not be
// notified.
func (q *Quarantine) addAnswer(h requesthash.Hash, version uint32, begun, now time.Time) []Suspect {
	r := q.records[h]
	if r == nil || len(r.crashes) == 0 {
		return nil // not suspected
	}
	isNew := r.addAnswer(version, begun)
	if !r.refute(version, begun, now) && !isNew {
		return nil
	}
	r.lastLocal = now
	return []Suspect{r.suspect(h, now)}
}

// Merge merges suspects from another box or from the store. It reports whether anything changed.
// Answers of an item that this box has seen and the others lack are passed to OnChange.
func (q *Quarantine) Merge(suspects []Suspect, now time.Time) bool {
	if len(suspects) == 0 {
		return false
	}
	q.mu.Lock()
	changed := false
	var answered []Suspect
	for _, s := range suspects {
		changed = q.merge(s, now) || changed
		answered = append(answered, q.addKnownAnswers(s, now)...)
	}
	if changed || len(answered) > 0 {
		q.updateRefused(now)
	}
	q.mu.Unlock()
	q.notify(answered)
	return changed
}

func (q *Quarantine) merge(s Suspect, now time.Time) bool {
	r := q.record(s.Content, s.Part)
	changed := false
	for _, a := range s.Answers {
		changed = r.addAnswer(a.Version, now.Add(-a.Begun)) || changed
	}
	for _, e := range s.Refuted {
		changed = r.addRefuted(e, now) || changed
	}
	for _, e := range s.Ends {
		if e.Age < refusedPartTTL {
			changed = r.addCrash(e.Endpoint, crash{now.Add(-e.Age), e.Ran, e.Version, e.HasRun}) || changed
		}
	}
	for _, t := range s.Trials {
		if _, ok := r.trials[t.Endpoint]; !ok && len(r.crashes) > 0 {
			r.trials[t.Endpoint] = crash{at: now.Add(-t.Age), version: t.Version}
			changed = true
		}
	}
	return changed
}

// addKnownAnswers adds the answers that this box has seen recently to a suspected item. It returns the changed record, or nil
// if other boxes need not be notified.
func (q *Quarantine) addKnownAnswers(s Suspect, now time.Time) []Suspect {
	if q.answered == nil {
		return nil
	}
	var changed []Suspect
	a, _ := q.answered.Peek(s.Content)
	for v, begun := range a {
		if now.Sub(begun) < answerProtection+recentWindow {
			changed = append(changed, q.addAnswer(s.Content, v, begun, now)...)
		}
	}
	return changed[max(len(changed)-1, 0):] // the last one has all of them
}

// Local returns the records that changed recently by observations of this box.
func (q *Quarantine) Local(now time.Time) []Suspect {
	return q.list(now, maxRecent, func(_ requesthash.Hash, r *record) bool { return now.Sub(r.lastLocal) < recentWindow })
}

// Recent returns the records with a recent crash or answer, whichever box observed it.
func (q *Quarantine) Recent(now time.Time) []Suspect {
	return q.list(now, maxRecent, func(_ requesthash.Hash, r *record) bool {
		return now.Sub(r.lastCrash) < recentWindow || now.Sub(r.answers.last()) < recentWindow
	})
}

// Verdicts returns the records that a relay sends to its members: those of the items that are
// refused, and of suspected items that were answered within answerProtection.
func (q *Quarantine) Verdicts(now time.Time) []Suspect {
	return q.list(now, maxVerdicts, func(h requesthash.Hash, r *record) bool {
		return q.refused[h] || now.Sub(r.answers.last()) < answerProtection
	})
}

// Lasting returns the records of the items that are refused, in the form in which they are stored. They lack the answers: a
// record that is read some time later seems newer than it is, and so would the answers.
func (q *Quarantine) Lasting(now time.Time) []Suspect {
	suspects := q.Refused(now)
	for i := range suspects {
		suspects[i].Answers, suspects[i].Refuted = nil, nil
	}
	return suspects
}

// Refused returns the records of the items that are refused.
func (q *Quarantine) Refused(now time.Time) []Suspect {
	return q.list(now, maxVerdicts, func(h requesthash.Hash, _ *record) bool { return q.refused[h] })
}

// list returns up to most records for which include returns true: refused ones first, then those with the most
// crashes, and parts before contents.
func (q *Quarantine) list(now time.Time, most int, include func(requesthash.Hash, *record) bool) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var hs []requesthash.Hash
	for h, r := range q.records {
		if include(h, r) {
			hs = append(hs, h)
		}
	}
	rank := func(h requesthash.Hash) int {
		n := 2 * len(q.records[h].crashes)
		if q.records[h].isPart {
			n++
		}
		if q.refused[h] {
			n += 4 * maxCrashes
		}
		return n
	}
	slices.SortFunc(hs, func(a, b requesthash.Hash) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
	hs = hs[:min(len(hs), most)]
	suspects := make([]Suspect, 0, len(hs))
	for _, h := range hs {
		s := q.records[h].suspect(h, now)
		if !q.refused[h] {
			s.limitCrashes(maxReportedCrashes)
		}
		suspects = append(suspects, s)
	}
	return suspects
}

// record returns the record of an item. If there is none it adds one, with the answers that this box has seen, and evicts
// another if the table is full.
func (q *Quarantine) record(h requesthash.Hash, isPart bool) *record {
	if r := q.records[h]; r != nil {
		return r
	}
	if q.records == nil {
		q.records = map[requesthash.Hash]*record{}
	}
	if len(q.records) >= maxRecords {
		q.evict()
	}
	r := newRecord(isPart)
	if q.answered != nil {
		a, _ := q.answered.Peek(h)
		for v, begun := range a {
			r.answers.add(v, begun)
		}
	}
	q.records[h] = r
	return r
}

// evict drops a part of the records: those with the fewest crashes, and among equals those whose last crash is oldest.
func (q *Quarantine) evict() {
	hs := slices.SortedFunc(maps.Keys(q.records), func(a, b requesthash.Hash) int {
		r, o := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(r.crashes), len(o.crashes)), r.lastCrash.Compare(o.lastCrash), cmp.Compare(a, b))
	})
	for _, h := range hs[:len(hs)/evictedShare] {
		delete(q.records, h)
		delete(q.refused, h)
	}
}
