package quota

import (
	"math"
	"time"

	"birchlink.dev/birchlink/catalog"
)

// initialBurstShare is the share of its burst with which an account that was not short
// starts after a restart of all boxes. This level is granted once at each box and again at
// the boxes to which its share is leased. The windows have room for both, since the account
// demanded less than its rate and nothing ran during the restart. Until boxes reach each
// other, each has only its own share of the level. With 2.2, accounts exceed their limits in 13 of 372
// simulated runs of TestLimitUnderRandomFaults.
const initialBurstShare = 0.9

// shortBelow is the share of its burst below which an account is short. The level of a
// short account is saved for a restart of all boxes.
const shortBelow = 0.6

// restoreMaxAge is the age of the process up to which saved levels are restored. When all
// boxes start at once, they have exchanged leases by then.
const restoreMaxAge = 3500 * time.Millisecond

// Before is the state that the boxes saved before this process started: the number of
// boxes, the levels of the accounts that were short, in units, and the division of the
// limits.
type Before struct {
	Boxes    int
	Short    map[string]float64
	Division Division
}

// initialLevel returns the level with which an account starts after a restart, in units.
func (q *Quota) initialLevel(b *bucket) float64 {
	if n, ok := q.saved.Short[b.account]; ok {
		return n
	}
	return initialBurstShare * b.burst
}

// Snapshot returns the state to save for processes that start later: the levels of the
// accounts that are short, given the deficits of all relays together, and a division
// computed from the current box counts and demand.
func (q *Quota) Snapshot(boxes int, accounts []catalog.Account, now time.Time) Before {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fillAll(now)
	deficits := q.deficits()
	p := Before{Boxes: boxes, Short: map[string]float64{}, Division: q.nextDivision(now)}
	for i := range accounts {
		a := &accounts[i]
		if a.Rate <= 0 {
			continue
		}
		_, burst := q.bucketLimit(a)
		level := burst - deficits[a.Name]
		for _, l := range q.received {
			level -= l.Lacks[a.Name]
		}
		if level < shortBelow*burst {
			p.Short[a.Name] = math.Round(level)
		}
	}
	return p
}

// nextDivision returns a new division, or the current one while only a part of the fleet
// is reachable.
func (q *Quota) nextDivision(now time.Time) Division {
	if d := q.divisions.newest(); d != nil && q.partitioned {
		return *d
	}
	return computeDivision(q.boxCounts(now), q.demandByDataCentre(now))
}

// boxCounts returns the number of boxes of each data centre: the peak of those reachable
// within retainFor and, until this process is as old as that, at least those of the
// current division.
func (q *Quota) boxCounts(now time.Time) map[string]int {
	n := q.boxHistory.peak()
	if d := q.divisions.newest(); d != nil && q.age(now) < retainFor {
		return maxCounts(n, d.Boxes)
	}
	return n
}

// demandByDataCentre returns the demand of each account by data centre, in units a second,
// as reported by the relays.
func (q *Quota) demandByDataCentre(now time.Time) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	add := func(dc string, demand map[string]float64) {
		for a, n := range demand {
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

// Restore sets the state that was saved before this process started. p.Boxes is zero at the
// first start of the fleet.
func (q *Quota) Restore(p Before) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.divisions.add(p.Division, q.Started)
	q.firstStart = p.Boxes == 0
	if p.Boxes > 0 && q.saved == nil {
		q.saved = &p
	}
}

// restoreLevels adds the initial levels to the buckets, in proportion to shares that are
// leased to this process for the first time. The tokens that these shares had accrued before
// the restart are lost, at this box or at the box to which the shares were leased.
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
		added := max(h.share(n, b.shard)-q.restored[h.lessor][n], 0)
		q.restored[h.lessor][n] += added
		b.level += added * q.initialLevel(b)
	}
}
