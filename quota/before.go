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
const initialBurstShare = 0.9

// shortPart is the part of its burst below which an account is short, so that its
// level is written down for a restart of all boxes.
const shortBelow = 0.6

// seedFor is the age up to which a process may begin with what accounts had left
// before: when all start at once, that is when they have heard each other.
const restoreMaxAge = 3500 * time.Millisecond

// Before is what the boxes knew together before this process started: how many they
// were, what was left of the accounts that were short, and how limits were divided.
type Before struct {
	Boxes    int
	Short    map[string]float64
	Division Division
}

// left returns what an account begins with.
func (q *Quota) initialLevel(b *bucket) float64 {
	if n, ok := q.saved.Short[b.account]; ok {
		return n
	}
	return initialBurstShare * b.burst
}

// Before returns what processes that start anew need to know: the accounts that are
// short, by what all relays lack together, and a division by what is known now.
func (q *Quota) Snapshot(boxes int, accounts []catalog.Account, now time.Time) Before {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	lack := q.deficits()
	p := Before{Boxes: boxes, Short: map[string]float64{}, Division: q.nextDivision(now)}
	for i := range accounts {
		a := &accounts[i]
		if a.Rate <= 0 {
			continue
		}
		_, burst := q.bucketLimit(a)
		left := burst - lack[a.Name]
		for _, l := range q.received {
			left -= l.Lacks[a.Name]
		}
		if left < shortBelow*burst {
			p.Short[a.Name] = math.Round(left)
		}
	}
	return p
}

// divide returns a new division, by what is known now; the last one while only a part
// of the fleet is heard.
func (q *Quota) nextDivision(now time.Time) Division {
	if d := q.divisions.newest(); d != nil && q.partitioned {
		return *d
	}
	return computeDivision(q.boxCounts(now), q.demandByDataCentre(now))
}

// counts returns how many boxes each data centre has: those that were heard within
// thereFor, and before this process has run for so long those of the last division.
func (q *Quota) boxCounts(now time.Time) map[string]int {
	n := q.boxHistory.peak()
	if d := q.divisions.newest(); d != nil && q.age(now) < retainFor {
		return maxCounts(n, d.Boxes)
	}
	return n
}

// demands returns what accounts are asked for by data centre, as the relays tell.
func (q *Quota) demandByDataCentre(now time.Time) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	add := func(dc string, asked map[string]float64) {
		for a, n := range asked {
			if out[a] == nil {
				out[a] = map[string]float64{}
			}
			out[a][dc] += n
		}
	}
	add(q.Self.DataCentre, q.localDemand(now))
	for _, l := range q.received {
		add(l.DataCentre, l.Asked)
	}
	return out
}

// Expect tells a process that has started what was before; nothing, if this is the first start.
func (q *Quota) Restore(p Before) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.add(p.Division, q.Started)
	q.firstStart = p.Boxes == 0
	if p.Boxes > 0 && q.saved == nil {
		q.saved = &p
	}
}

// seed lets buckets begin with what was left before, as far as parts are leased to this
// young process for the first time: what was held of them is lost, here or where they
// were leased to before.
func (q *Quota) restoreLevels(h heldLease, now time.Time) {
	if q.saved == nil || q.age(now) > restoreMaxAge || len(h.pieces) != shardCount {
		return
	}
	if q.restored == nil {
		q.restored = map[string]map[string]float64{}
	}
	if q.restored[h.lessor] == nil {
		q.restored[h.lessor] = map[string]float64{}
	}
	for n, b := range q.buckets {
		more := max(h.share(n, b.shard)-q.restored[h.lessor][n], 0)
		q.restored[h.lessor][n] += more
		b.level += more * q.initialLevel(b)
	}
}
