package quota

import (
	"cmp"
	"slices"
	"time"
)

// lessee holds what this box may spend. Its zero value holds nothing.
type lessee struct {
	holds   []hold // by lessor, so that the same sums come out each time
	leaving bool   // this box stops
}

// hold is what one lessor has leased: pieces of its part of each account, by the
// account's shard.
type hold struct {
	from   string
	parts  map[string]float64
	pieces []Pieces
	until  time.Time
}

// of is the part of an account that the lease gives.
func (h hold) of(account string, shard int) float64 {
	return h.parts[account] * h.pieces[shard].size()
}

// without takes pieces out of the lease, and reports whether any are left.
func (h hold) without(pieces []Pieces) bool {
	left := false
	for s := range h.pieces {
		h.pieces[s] &^= pieces[s]
		left = left || h.pieces[s] != 0
	}
	return left
}

// take holds a lease in place of its lessor's last. A box that stops keeps pieces that the
// new one lacks for the time that they were leased for: until then their lessor gives them
// to nobody else, and nobody could spend them. Where three of six relays stop at once, an
// account at half of its rate has all its requests let in, and without that 54 or 85 in 100
// where all of its pieces were at those three (TestRelaysStop). All buckets must have been filled up to now, which drops what has ended.
func (l *lessee) take(h hold, now time.Time) {
	valid := len(h.pieces) == shards
	l.holds = slices.DeleteFunc(l.holds, func(o hold) bool {
		return !now.Before(o.until) || o.from == h.from && (!valid || !l.leaving || !o.without(h.pieces))
	})
	for i := range l.holds {
		if l.holds[i].from == h.from {
			l.holds[i].parts = h.parts // what the lessor speaks for may be less by now
		}
	}
	if !valid || !now.Before(h.until) {
		return
	}
	at, _ := slices.BinarySearchFunc(l.holds, h.from, func(o hold, from string) int { return cmp.Compare(o.from, from) })
	l.holds = slices.Insert(l.holds, at, h)
}

// drop gives up what a lessor has leased. All buckets must have been filled up to now.
func (l *lessee) drop(from string) {
	l.holds = slices.DeleteFunc(l.holds, func(o hold) bool { return o.from == from })
}

// given returns how many seconds' worth of its rate an account was given between two
// moments, and the part of the rate that it has at the second.
func (l *lessee) given(account string, shard int, since, now time.Time) (seconds, part float64) {
	for _, h := range l.holds {
		p := h.of(account, shard)
		end := now
		if h.until.Before(now) {
			end = h.until
		} else {
			part += p
		}
		seconds += p * max(end.Sub(since), 0).Seconds()
	}
	return seconds, part
}
