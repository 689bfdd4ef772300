package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/requesthash"
)

// updateRefused drops expired records, recomputes the set of refused items and logs the
// changes.
func (q *Quarantine) updateRefused(now time.Time) {
	for h, r := range q.records {
		r.forgetRefuted(now)
		ttl := recordTTL
		switch {
		case len(r.crashes) == 0:
			ttl = answerProtection
		case r.isPart && len(r.crashes) >= minCrashes:
			ttl = refusedPartTTL
		}
		if now.Sub(r.lastCrash) > ttl && now.Sub(r.answers.last()) > answerProtection {
			delete(q.records, h)
		}
	}
	refused, ambiguous, reviewAt := selectRefused(q.records, now)
	for h := range refused {
		if r := q.records[h]; !q.refused[h] {
			q.Log.Warn().Str("event", "content").Stringer("content", h).Bool("part", r.isPart).Int("ended", len(r.crashes)).
				Bool("answered_before", r.wasAnswered()).Bool("ambiguous", ambiguous[h]).Dur("hold", r.holdTime(ambiguous[h] || r.wasAnswered())).Msg("refused")
		}
	}
	for h := range q.refused {
		if !refused[h] {
			q.Log.Warn().Str("event", "content").Stringer("content", h).Msg("no longer refused")
		}
	}
	q.refused, q.ambiguous, q.reviewAt = refused, ambiguous, reviewAt
}

// cover is a selection of items that explain the crashes. It is a greedy set cover: the item with the most unexplained
// crashes is selected first, and its crashes no longer count for any other item. Items with equally many are
// selected together, until further crashes or answers distinguish them.
type cover struct {
	refused   map[requesthash.Hash]*record
	ambiguous map[requesthash.Hash]bool
	explained map[uint64]bool

	now, reviewAt time.Time
}

// selectRefused returns the items that explain the crashes, and those of them for which others may be the cause. At reviewAt,
// unless it is zero, more may be refused. Contents explain only the crashes that no part explains: a content that was in
// flight at a few of a part's crashes must not seem to explain them.
func selectRefused(records map[requesthash.Hash]*record, now time.Time) (refused, ambiguous map[requesthash.Hash]bool, reviewAt time.Time) {
	c := &cover{map[requesthash.Hash]*record{}, map[requesthash.Hash]bool{}, map[uint64]bool{}, now, time.Time{}}
	c.addItems(records, true)
	c.addItems(records, false)
	refused = map[requesthash.Hash]bool{}
	for h := range c.refused {
		refused[h] = true
	}
	return refused, c.ambiguous, c.reviewAt
}

// addItems selects parts or contents. Items that were answered before explain only what others leave.
func (c *cover) addItems(records map[requesthash.Hash]*record, areParts bool) {
	fresh, answered := map[requesthash.Hash]*record{}, map[requesthash.Hash]*record{}
	for h, r := range records {
		switch {
		case r.isPart != areParts || len(r.crashes) < minCrashes:
		case r.wasAnswered():
			answered[h] = r
		default:
			fresh[h] = r
		}
	}
	c.add(fresh, func(e evidence) bool { return e.crashes >= minCrashes })
	c.prune()
	least := minCrashesAnsweredContent
	if areParts {
		least = minCrashesAnsweredPart
		c.addAll(answered, func(e evidence) bool {
			return e.crashes >= least && e.notRunning == e.crashes && e.lasted(RunningTime)
		})
	}
	c.add(answered, func(e evidence) bool { return e.notRunning >= least && e.lasted(RunningTime) })
	c.add(answered, func(e evidence) bool {
		return e.crashes >= least && e.notRunning >= minCrashes && c.hasPassed(e.first.Add(runningWait))
	})
	c.add(answered, func(e evidence) bool { return e.crashes >= least && e.lasted(answeredWait) })
}

// hasPassed reports whether a time has passed, and notes it for a review otherwise.
func (c *cover) hasPassed(t time.Time) bool {
	if !c.now.Before(t) {
		return true
	}
	if c.reviewAt.IsZero() || t.Before(c.reviewAt) {
		c.reviewAt = t
	}
	return false
}

// evidence is what speaks for an item as the cause of crashes.
type evidence struct {
	crashes     int // that count
	notRunning  int // of them, those since which no endpoint has run the item for RunningTime
	first, last time.Time
}

func newEvidence(r *record, cs map[uint64]crash) evidence {
	isPopular := r.isPart || r.wasAnswered()
	e := evidence{crashes: countCrashes(isPopular, cs), notRunning: countCrashes(isPopular, withoutRunning(cs))}
	for _, c := range cs {
		if e.first.IsZero() || c.at.Before(e.first) {
			e.first = c.at
		}
		if c.at.After(e.last) {
			e.last = c.at
		}
	}
	return e
}

// lasted reports whether the crashes went on for a time.
func (e evidence) lasted(d time.Duration) bool { return e.last.Sub(e.first) >= d }

// compare returns a positive number if e is stronger than o, and a negative one if it is weaker. An item that no endpoint has
// run since its first crash is stronger than a more popular one that some have.
func (e evidence) compare(o evidence) int {
	return cmp.Or(e.compareRunning(o), cmp.Compare(e.crashes, o.crashes), cmp.Compare(e.notRunning, o.notRunning))
}

func (e evidence) compareRunning(o evidence) int {
	switch a, b := e.notRunning == e.crashes, o.notRunning == o.crashes; {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// addAll selects all items whose evidence suffices, whatever the others explain.
func (c *cover) addAll(records map[requesthash.Hash]*record, suffices func(evidence) bool) {
	var all []requesthash.Hash
	for h, r := range records {
		if suffices(newEvidence(r, r.crashes)) {
			all = append(all, h)
		}
	}
	c.refuse(records, all)
}

// add selects items whose evidence from unexplained crashes suffices, the strongest first.
func (c *cover) add(records map[requesthash.Hash]*record, suffices func(evidence) bool) {
	for {
		strongest := evidence{crashes: 1} // weaker than all that suffice
		var top []requesthash.Hash
		for h, r := range records {
			if c.refused[h] != nil {
				continue
			}
			e := newEvidence(r, r.unexplained(c.explained))
			if !suffices(e) {
				continue
			}
			d := e.compare(strongest)
			if d > 0 {
				strongest, top = e, top[:0]
			}
			if d >= 0 {
				top = append(top, h)
			}
		}
		if len(top) == 0 {
			return
		}
		c.refuse(records, top)
	}
}

// refuse adds items to the selection. They are ambiguous if there are several.
func (c *cover) refuse(records map[requesthash.Hash]*record, hs []requesthash.Hash) {
	for _, h := range hs {
		c.refused[h] = records[h]
		if len(hs) > 1 {
			c.ambiguous[h] = true
		}
		for e := range records[h].crashes {
			c.explained[e] = true
		}
	}
}

// prune removes the items whose crashes are all explained by others. An item whose crashes are
// a subset of h's does not explain any for h, so of two items with the same crashes both stay.
func (c *cover) prune() {
	for _, h := range slices.Sorted(maps.Keys(c.refused)) {
		r := c.refused[h]
		others := map[uint64]bool{}
		for _, o := range c.refused {
			if len(o.unexplained(crashSet(r))) > 0 {
				maps.Copy(others, crashSet(o))
			}
		}
		if len(r.unexplained(others)) == 0 {
			delete(c.refused, h)
			delete(c.ambiguous, h)
		}
	}
}

func crashSet(r *record) map[uint64]bool {
	out := map[uint64]bool{}
	for e := range r.crashes {
		out[e] = true
	}
	return out
}

// countCrashes returns the number of crashes. One cause may end many endpoints together, at which an item that many requests
// have is in flight everywhere. Crashes under it count one by one only if there are minCrashes of which each follows the one
// before after roundTime, or at an endpoint to which the item was sent later and not at the same moment.
func countCrashes(isPopular bool, cs map[uint64]crash) int {
	if !isPopular {
		return len(cs)
	}
	rounds := 0
	var last time.Time
	for _, c := range slices.SortedFunc(maps.Values(cs), func(a, b crash) int { return a.at.Compare(b.at) }) {
		wasSentLater := c.at.Add(-c.ran).After(last) && c.at.Sub(last) >= sameMoment
		if rounds == 0 || wasSentLater || c.at.Sub(last) >= roundTime {
			rounds++
			last = c.at
		}
	}
	if rounds < minCrashes {
		return rounds
	}
	return len(cs)
}
