package quarantine

import (
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/requesthash"
)

// A refused content is held for holdTimes[0] after its last crash; then a single box forwards one request as a trial. If that
// crashes an endpoint more than trialGap after the previous crash, the next hold time applies, up to the last one, after
// which any box may send a trial. A content refused wrongly is thus allowed again within seconds, and one that crashes
// endpoints crashes one more then and one a minute later.
const trialGap = 4 * time.Second

var holdTimes = [...]time.Duration{5 * time.Second, time.Minute, 10 * time.Minute}

// Many requests may have a refused part, so that their trials are fewer: at most maxPartTrials in each trialPeriod over
// all boxes, the next one partHoldTimes after the last crash, by the number of trials that crashed an endpoint. The first
// one follows after doubtfulHoldTime if the part may not be the cause of the crashes or may crash one software version
// alone.
const (
	maxPartTrials    = 3
	trialPeriod      = 24 * time.Hour
	doubtfulHoldTime = 2 * time.Second
)

var partHoldTimes = [...]time.Duration{10 * time.Second, 10 * time.Minute, 6 * time.Hour}

// mixedTrialAfter is the time after the last crash from which a request with several suspected items may be a trial. Until
// then it would not tell which of them is the cause.
const mixedTrialAfter = 10 * time.Minute

// holdTime returns how long after its last crash the item is refused.
func (r *record) holdTime(isDoubtful bool) time.Duration {
	failed := r.countFailedTrials()
	switch {
	case !r.isPart:
		return holdTimes[min(failed, len(holdTimes)-1)]
	case failed == 0 && isDoubtful:
		return doubtfulHoldTime
	default:
		return partHoldTimes[min(failed, len(partHoldTimes)-1)]
	}
}

// countFailedTrials returns the number of trials that crashed an endpoint. Those of a content are the crashes more than
// trialGap after the previous one.
func (r *record) countFailedTrials() int {
	n := 0
	if r.isPart {
		for e := range r.trials {
			if _, ok := r.crashes[e]; ok {
				n++
			}
		}
		return n
	}
	var previous time.Time
	for i, at := range r.crashTimes() {
		if i > 0 && at.Sub(previous) > trialGap {
			n++
		}
		previous = at
	}
	return n
}

// crashTimes returns the times of the crashes in ascending order.
func (r *record) crashTimes() []time.Time {
	ts := make([]time.Time, 0, len(r.crashes))
	for _, c := range r.crashes {
		ts = append(ts, c.at)
	}
	slices.SortFunc(ts, time.Time.Compare)
	return ts
}

// untilTrial returns the time until the item may be tried, whichever box does it.
func (r *record) untilTrial(isDoubtful bool, now time.Time) time.Duration {
	wait := r.holdTime(isDoubtful) - now.Sub(r.lastCrash)
	last := r.lastTrial
	var recent []time.Time
	for _, t := range r.trials {
		if t.at.After(last) {
			last = t.at
		}
		if now.Sub(t.at) < trialPeriod {
			recent = append(recent, t.at)
		}
	}
	if !last.IsZero() {
		wait = max(wait, trialTimeout-now.Sub(last))
	}
	if n := len(recent) - maxPartTrials; r.isPart && n >= 0 {
		slices.SortFunc(recent, time.Time.Compare)
		wait = max(wait, trialPeriod-now.Sub(recent[n]))
	}
	return wait
}

// Judge decides on a request to a service. Versions returns the software versions of the service's endpoints; it is called only
// for requests that have a refused item.
func (q *Quarantine) Judge(r Request, versions func() []string, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.judge(r, versions, now)
}

func (q *Quarantine) judge(r Request, versions func() []string, now time.Time) Verdict {
	if !q.reviewAt.IsZero() && !now.Before(q.reviewAt) {
		q.updateRefused(now)
	}
	var refused []requesthash.Hash
	for h := range r.items() {
		if q.refused[h] {
			refused = append(refused, h)
		}
	}
	if len(refused) == 0 {
		return Verdict{}
	}
	var sound, untried []string
	for _, v := range versions() {
		h := versionHash(v)
		if !slices.ContainsFunc(refused, func(i requesthash.Hash) bool { return !q.records[i].isSoundAt(h) }) {
			sound = append(sound, v)
		}
		if !slices.ContainsFunc(refused, func(i requesthash.Hash) bool { return q.records[i].hasCrashed(h) }) {
			untried = append(untried, v)
		}
	}
	if len(sound) > 0 {
		return Verdict{Versions: sound}
	}
	return q.judgeTrial(r, refused, untried, now)
}

// judgeTrial decides whether a request with refused items may be sent as a trial, to one of the untried software versions if
// there are any.
func (q *Quarantine) judgeTrial(r Request, refused []requesthash.Hash, untried []string, now time.Time) Verdict {
	var wait time.Duration
	isMixed := q.countSuspected(r) > 1
	for _, h := range refused {
		k := q.records[h]
		w := k.untilTrial(q.ambiguous[h] || len(untried) > 0 || k.wasAnswered(), now)
		if isMixed {
			w = max(w, mixedTrialAfter-now.Sub(k.lastCrash))
		}
		if w <= 0 && q.SendsTrials != nil && !q.SendsTrials(h) && (k.isPart || now.Sub(k.lastCrash) < holdTimes[len(holdTimes)-1]) {
			w = otherBoxRetryAfter
		}
		wait = max(wait, w)
	}
	if wait > 0 {
		return Verdict{Refused: true, RetryAfter: wait}
	}
	return Verdict{Versions: untried, isTrial: true}
}

// countSuspected returns the number of items of a request that several endpoints crashed under.
func (q *Quarantine) countSuspected(r Request) int {
	n := 0
	for h := range r.items() {
		if k := q.records[h]; k != nil && len(k.crashes) >= minCrashes {
			n++
		}
	}
	return n
}

// Admit decides on an attempt just before it is sent, and reports whether it may be. The send of a refused item is a trial,
// which it records.
func (q *Quarantine) Admit(a Attempt, versions func() []string, now time.Time) bool {
	q.mu.Lock()
	v := q.judge(a.Request, versions, now)
	var changed []Suspect
	if v.isTrial && v.Allows(a.Version) {
		changed = q.recordTrial(a, now)
	}
	q.mu.Unlock()
	q.notify(changed)
	return v.Allows(a.Version)
}

// recordTrial records that an attempt is sent as a trial of its refused items. It returns the changed records.
func (q *Quarantine) recordTrial(a Attempt, now time.Time) []Suspect {
	var changed []Suspect
	for h := range a.items() {
		if !q.refused[h] {
			continue
		}
		r := q.records[h]
		r.lastTrial, r.lastLocal = now, now
		q.Log.Warn().Str("event", "content").Stringer("content", h).Bool("part", r.isPart).Str("endpoint", a.Endpoint).Msg("sent as a trial")
		if r.isPart {
			maps.DeleteFunc(r.trials, func(_ uint64, t crash) bool { return now.Sub(t.at) >= trialPeriod })
			r.trials[hashEndpoint(a.Endpoint)] = crash{at: now, version: versionHash(a.Version)}
			changed = append(changed, r.suspect(h, now))
		}
	}
	return changed
}
