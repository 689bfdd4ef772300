package quota

import (
	"cmp"
	"slices"
	"time"
)

// lessee holds what this box may spend. Its zero value holds nothing.
type lessee struct {
	leases  []heldLease // by lessor, so that the same sums come out each time
	leaving bool        // this box stops
}

// hold is what one lessor has leased: pieces of its part of each account, by the
// account's shard.
type heldLease struct {
	lessor string
	shares map[string]float64
	pieces []Pieces
	until  time.Time
}

// of is the part of an account that the lease gives.
func (h heldLease) share(account string, shard int) float64 {
	return h.shares[account] * h.pieces[shard].share()
}

// without takes pieces out of the lease, and reports whether any are left.
func (h heldLease) removePieces(pieces []Pieces) bool {
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
func (l *lessee) replace(h heldLease, now time.Time) {
	valid := len(h.pieces) == shardCount
	l.leases = slices.DeleteFunc(l.leases, func(o heldLease) bool {
		return !now.Before(o.until) || o.lessor == h.lessor && (!valid || !l.leaving || !o.removePieces(h.pieces))
	})
	for i := range l.leases {
		if l.leases[i].lessor == h.lessor {
			l.leases[i].shares = h.shares // what the lessor speaks for may be less by now
		}
	}
	if !valid || !now.Before(h.until) {
		return
	}
	at, _ := slices.BinarySearchFunc(l.leases, h.lessor, func(o heldLease, from string) int { return cmp.Compare(o.lessor, from) })
	l.leases = slices.Insert(l.leases, at, h)
}

// drop gives up what a lessor has leased. All buckets must have been filled up to now.
func (l *lessee) drop(from string) {
	l.leases = slices.DeleteFunc(l.leases, func(o heldLease) bool { return o.lessor == from })
}

// given returns how many seconds' worth of its rate an account was given between two
// moments, and the part of the rate that it has at the second.
func (l *lessee) granted(account string, shard int, since, now time.Time) (seconds, part float64) {
	for _, h := range l.leases {
		p := h.share(account, shard)
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
