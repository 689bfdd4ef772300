// Package quarantine finds the requests under which endpoints end, and says which are to
// be sent to none any more. Without it one request that comes again and again ends every
// endpoint of its service: 39 in 16 s, of a fleet of 12, while 46 in 100 requests of all
// callers were not answered (counted in the log of that time).
//
// A request is told by its content, since it comes again under another ID. Many contents
// are under way at an endpoint that ends; the one that ended it is the one that is under
// way at the next ends too. So a box notes them all, boxes tell each other, and a content
// is refused once several endpoints have ended under it that no other refused content
// explains. What an endpoint has answered since is none of them.
//
// The package does no I/O, and times are arguments.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/content"
)

const (
	// enough endpoints that ended under one content mean that it ended them. On a day
	// on which endpoints ended for other reasons, 172 contents were at one that ended, 3
	// at two and none at more; beside two contents that ended 57, 64 others were at two
	// and 21 at three or more, most of which those two explain.
	enough = 3

	// After the last end a content is refused for holds[0]; then one box of all sends one
	// request on, as a trial. If an endpoint ends under it too, longer than apart after the
	// end before, the next hold follows, up to the last. After that any box may try. So a
	// content that was blamed wrongly is back in some seconds, and one that ends endpoints
	// ends one more, and one a minute later.
	apart = 4 * time.Second

	// trialFor is how long a trial may take before there is another, where nothing comes of
	// it.
	trialFor = 10 * time.Second

	// elsewhere is when a caller is told to come back whose request another box may try.
	elsewhere = time.Second

	// forgetAfter is how long a content is known after the last end: the time in which a
	// request that comes again once in a quarter of an hour is still refused.
	forgetAfter = time.Hour

	// answeredFor is how long a content that was answered is not blamed for an end. Many
	// requests may ask for the same, such as a status: some of them are under way
	// whenever an endpoint ends.
	answeredFor = time.Minute

	// confirmFor is how long after a break its endpoint may be found to have ended. The
	// record of one that does not leave as announced goes after three heartbeats.
	confirmFor = 6 * time.Second

	// tellFor is for how long a box tells what it has seen. A box finds another relay
	// within four seconds.
	tellFor = 10 * time.Second

	// The bounds on what is kept, in numbers: contents that are suspected, endpoints that
	// ended under one, breaks that wait to be confirmed, and contents that were answered.
	maxContents = 2048
	maxEnds     = 32
	maxBreaks   = 1024
	maxAnswered = 2048

	// maxTold bounds the contents in one message: 3.6 KB while each has one end.
	maxTold = 64
)

var holds = [...]time.Duration{5 * time.Second, time.Minute, 10 * time.Minute}

// Quarantine is what one box knows of contents under which endpoints end. Its zero value
// is ready.
type Quarantine struct {
	Log zerolog.Logger

	// OnNews, if set, is called with what this box has just learnt itself, so that others
	// are told at once.
	OnNews func([]Suspect)

	// Tries reports whether this box is the one that sends a refused content on as a trial;
	// without it any box does.
	Tries func(content.Hash) bool

	mu       sync.Mutex
	records  map[content.Hash]*record
	refused  map[content.Hash]bool
	breaks   []attempt
	answered *simplelru.LRU[content.Hash, time.Time]
}

// attempt is an attempt that broke.
type attempt struct {
	content  content.Hash
	endpoint string
	at       time.Time
}

// Broke notes that an attempt broke off at an endpoint that did not say that it leaves.
// It counts against the content if the endpoint is found to have ended.
func (q *Quarantine) Broke(h content.Hash, endpoint string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.answeredAt(h, now); ok {
		return
	}
	if len(q.breaks) >= maxBreaks {
		q.breaks = slices.Delete(q.breaks, 0, len(q.breaks)-maxBreaks+1)
	}
	q.breaks = append(q.breaks, attempt{h, endpoint, now})
}

// Ended notes that an endpoint has ended, and how that was seen.
func (q *Quarantine) Ended(endpoint, how string, now time.Time) {
	q.mu.Lock()
	news := q.confirm(endpoint, how, now)
	q.mu.Unlock()
	if len(news) > 0 && q.OnNews != nil {
		q.OnNews(news)
	}
}

// confirm counts the breaks at an endpoint that has ended against their contents.
func (q *Quarantine) confirm(endpoint, how string, now time.Time) []Suspect {
	var news []Suspect
	var rest []attempt
	for _, b := range q.breaks {
		switch {
		case now.Sub(b.at) > confirmFor:
		case b.endpoint != endpoint:
			rest = append(rest, b)
		default:
			r := q.record(b.content)
			r.own = now
			if r.add(hashOf(endpoint), now) {
				news = append(news, r.suspect(b.content, now))
			}
		}
	}
	q.breaks = rest
	if len(news) > 0 {
		q.Log.Warn().Str("event", "endpoint ended").Str("endpoint", endpoint).Str("seen", how).Int("contents", len(news)).Msg("without a word")
		q.decide(now)
	}
	return news
}

// Answered notes that an endpoint has answered a content to its end.
func (q *Quarantine) Answered(h content.Hash, now time.Time) {
	q.mu.Lock()
	if q.answered == nil {
		q.answered, _ = simplelru.NewLRU[content.Hash, time.Time](maxAnswered, nil) // the size is above zero
	}
	q.answered.Add(h, now)
	news := q.clear(h, now, now)
	q.mu.Unlock()
	if len(news) > 0 && q.OnNews != nil {
		q.OnNews(news)
	}
}

// clear drops a content that was answered at a time from those that are suspected, and
// returns what others are to be told.
func (q *Quarantine) clear(h content.Hash, at, now time.Time) []Suspect {
	r := q.records[h]
	if r == nil || len(r.ends) == 0 || !r.answer(at) {
		return nil // nobody suspects it
	}
	r.own = now
	q.decide(now)
	return []Suspect{r.suspect(h, now)}
}

// answeredAt returns when a content was last answered to this box, if that was lately.
func (q *Quarantine) answeredAt(h content.Hash, now time.Time) (time.Time, bool) {
	if q.answered == nil {
		return time.Time{}, false
	}
	at, ok := q.answered.Get(h)
	return at, ok && now.Sub(at) < answeredFor
}

// Refuses reports whether a content is to be sent to no endpoint, and when to come back.
func (q *Quarantine) Refuses(h content.Hash, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.refused[h] {
		return 0, false
	}
	r := q.records[h]
	since := now.Sub(r.last)
	switch longest := holds[len(holds)-1]; {
	case since < r.hold():
		return r.hold() - since, true
	case now.Sub(r.tried) < trialFor:
		return trialFor - now.Sub(r.tried), true
	case since < longest && q.Tries != nil && !q.Tries(h):
		return elsewhere, true
	default:
		return 0, false
	}
}

// Sent notes that a content is sent to an endpoint: of one that is refused, as a trial.
func (q *Quarantine) Sent(h content.Hash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refused[h] {
		q.records[h].tried = now
		q.Log.Warn().Str("event", "content").Stringer("content", h).Msg("sent as a trial")
	}
}

// Hear takes what another box tells, or what stood in the store. It reports whether any
// of it was news. Where this box knows better, since it has had an answer, it says so.
func (q *Quarantine) Hear(told []Suspect, now time.Time) bool {
	q.mu.Lock()
	news := false
	var cleared []Suspect
	for _, s := range told {
		news = q.hear(s, now) || news
		if at, ok := q.answeredAt(s.Content, now); ok {
			cleared = append(cleared, q.clear(s.Content, at, now)...)
		}
	}
	if news {
		q.decide(now)
	}
	q.mu.Unlock()
	if len(cleared) > 0 && q.OnNews != nil {
		q.OnNews(cleared)
	}
	return news
}

func (q *Quarantine) hear(s Suspect, now time.Time) bool {
	r := q.record(s.Content)
	news := false
	if s.Answered > 0 {
		news = r.answer(now.Add(-s.Answered))
	}
	for _, e := range s.Ends {
		if e.Age < forgetAfter {
			news = r.add(e.Endpoint, now.Add(-e.Age)) || news
		}
	}
	return news
}

// Own returns what this box itself has lately seen.
func (q *Quarantine) Own(now time.Time) []Suspect {
	return q.told(now, func(_ content.Hash, r *record) bool { return now.Sub(r.own) < tellFor })
}

// Recent returns what any box has lately seen, as far as this one knows.
func (q *Quarantine) Recent(now time.Time) []Suspect {
	return q.told(now, func(_ content.Hash, r *record) bool {
		return now.Sub(r.last) < tellFor || now.Sub(r.answered) < tellFor
	})
}

// Verdicts returns what a relay tells its members: the contents that are refused, and
// those that were suspected and have lately been answered.
func (q *Quarantine) Verdicts(now time.Time) []Suspect {
	return q.told(now, func(h content.Hash, r *record) bool {
		return q.refused[h] || now.Sub(r.answered) < answeredFor
	})
}

// Refused returns the contents that are refused.
func (q *Quarantine) Refused(now time.Time) []Suspect {
	return q.told(now, func(h content.Hash, _ *record) bool { return q.refused[h] })
}

// told returns the records that a filter picks, those with the most ends first.
func (q *Quarantine) told(now time.Time, pick func(content.Hash, *record) bool) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Suspect
	for h, r := range q.records {
		if pick(h, r) {
			out = append(out, r.suspect(h, now))
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content))
	})
	return out[:min(len(out), maxTold)]
}

// record returns the record of a content, and makes room for it.
func (q *Quarantine) record(h content.Hash) *record {
	if r := q.records[h]; r != nil {
		return r
	}
	if q.records == nil {
		q.records = map[content.Hash]*record{}
	}
	if len(q.records) >= maxContents {
		q.evict()
	}
	r := &record{ends: map[uint64]time.Time{}}
	q.records[h] = r
	return r
}

// evict drops the content under which the fewest endpoints ended, the oldest of these.
func (q *Quarantine) evict() {
	var drop content.Hash
	var worst *record
	for h, r := range q.records {
		if worst == nil || len(r.ends) < len(worst.ends) || len(r.ends) == len(worst.ends) && r.last.Before(worst.last) {
			drop, worst = h, r
		}
	}
	delete(q.records, drop)
	delete(q.refused, drop)
}
