package quota

import (
	"math"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// startPart is the part of a burst with which an account that was not short begins
// anew when its boxes do, once at each box and once more where its part is leased to: its
// windows have room for that, since it asked for less than its rate and nothing ran
// meanwhile. Until boxes have heard each other each has only its own part of it. With 2.2
// at once accounts go over their limits in 13 of 372 courses of TestAnyCourse.
const startPart = 0.9

// shortPart is the part of its burst below which an account is short, so that its
// level is written down for a restart of all boxes.
const shortPart = 0.6

// seedFor is the age up to which a process may begin with what accounts had left
// before: when all start at once, that is when they have heard each other.
const seedFor = 3500 * time.Millisecond

// Before is what the boxes knew together before this process started: how many they
// were, what was left of the accounts that were short, and how limits were divided.
type Before struct {
	Boxes    int
	Short    map[string]float64
	Division Division
}

// left returns what an account begins with.
func (q *Quota) left(b *bucket) float64 {
	if n, ok := q.before.Short[b.account]; ok {
		return n
	}
	return startPart * b.burst
}

// Before returns what processes that start anew need to know: the accounts that are
// short, by what all relays lack together, and a division by what is known now.
func (q *Quota) Before(boxes int, accounts []catalog.Account, now time.Time) Before {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	lack := q.lack()
	p := Before{Boxes: boxes, Short: map[string]float64{}, Division: q.divide(now)}
	for i := range accounts {
		a := &accounts[i]
		if a.Rate <= 0 {
			continue
		}
		_, burst := q.limit(a)
		left := burst - lack[a.Name]
		for _, l := range q.heard {
			left -= l.Lacks[a.Name]
		}
		if left < shortPart*burst {
			p.Short[a.Name] = math.Round(left)
		}
	}
	return p
}

// divide returns a new division, by what is known now; the last one while only a part
// of the fleet is heard.
func (q *Quota) divide(now time.Time) Division {
	if d := q.divisions.newest(); d != nil && q.apart {
		return *d
	}
	return divide(q.counts(now), q.demands(now))
}

// counts returns how many boxes each data centre has: those that were heard within
// thereFor, and before this process has run for so long those of the last division.
func (q *Quota) counts(now time.Time) map[string]int {
	n := q.boxes.most()
	if d := q.divisions.newest(); d != nil && q.age(now) < thereFor {
		return most(n, d.Boxes)
	}
	return n
}

// demands returns what accounts are asked for by data centre, as the relays tell.
func (q *Quota) demands(now time.Time) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	add := func(dc string, asked map[string]float64) {
		for a, n := range asked {
			if out[a] == nil {
				out[a] = map[string]float64{}
			}
			out[a][dc] += n
		}
	}
	add(q.Self.DataCentre, q.asked(now))
	for _, l := range q.heard {
		add(l.DataCentre, l.Asked)
	}
	return out
}

// Expect tells a process that has started what was before; nothing, if this is the first start.
func (q *Quota) Expect(p Before) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.take(p.Division, q.Started)
	q.first = p.Boxes == 0
	if p.Boxes > 0 && q.before == nil {
		q.before = &p
	}
}

// seed lets buckets begin with what was left before, as far as parts are leased to this
// young process for the first time: what was held of them is lost, here or where they
// were leased to before.
func (q *Quota) seed(h hold, now time.Time) {
	if q.before == nil || q.age(now) > seedFor || len(h.pieces) != shards {
		return
	}
	if q.seeds == nil {
		q.seeds = map[string]map[string]float64{}
	}
	if q.seeds[h.from] == nil {
		q.seeds[h.from] = map[string]float64{}
	}
	for n, b := range q.buckets {
		more := max(h.of(n, b.shard)-q.seeds[h.from][n], 0)
		q.seeds[h.from][n] += more
		b.level += more * q.left(b)
	}
}
