package quota

import (
	"slices"
	"time"
)

// Stamp is a moment on the steady clock of one process.
type Stamp struct {
	Incarnation string
	At          time.Duration // since the process started
}

// Lease is what one relay tells another: the parts of the accounts that it speaks for,
// and for each shard which pieces of them the other may spend.
type Lease struct {
	From       string
	DataCentre string
	Now        Stamp // of the lessor
	Seen       Stamp // of the lessee, as its lessor last heard it
	Parts      map[string]float64
	Pieces     []Pieces // by shard

	// Version is that of the lessor's division, and Division itself if the lessee's is
	// older.
	Version  uint64
	Division Division

	Even Even // of rates that are divided evenly

	Lacks map[string]float64 // what the lessor's own buckets lack, by account
	Asked map[string]float64 // what boxes of its data centre ask it for, by account
}

// A lease holds for leaseFor after the lessee's stamp that its lessor has seen, and its
// lessor gives the same part to nobody else before leaseFor after it was last told: a
// round of half a second may be missed. A member of a relay is counted there for up to
// memberFor after it last told it.
const (
	leaseFor  = 2 * time.Second
	memberFor = 2500 * time.Millisecond
)

// homePart is the part that stays in a data centre. Its boxes go on with it when they
// are cut off, before the leases have moved on: with a tenth 69 of 402 requests were
// refused in the first two seconds of such a cut, and 9 in 1,000 on that whole day; with a
// half 4 in 1,000 on the day.
const homePart = 0.5

// Pieces is a set of the pieces into which a lessor cuts its part of each shard: one for
// its data centre and one for each of the shard's arbiters.
type Pieces uint8

// perShard is how many arbiters a shard has: with two, an account under half of its
// rate does not notice the loss of one. The piece home comes before theirs.
const (
	home     = 0
	perShard = 2
	pieces   = 1 + perShard
)

func (p Pieces) has(i int) bool { return p&(1<<i) != 0 }

func (p Pieces) with(i int) Pieces { return p | 1<<i }

// size is the part of the whole that the pieces are.
func (p Pieces) size() float64 {
	n := 0.0
	for i := range pieces {
		switch {
		case !p.has(i):
		case i == home:
			n += homePart
		default:
			n += (1 - homePart) / perShard
		}
	}
	return n
}

// lessor gives out the parts that a box speaks for. Its zero value has given none.
type lessor struct {
	parts map[string]float64
	given [shards][pieces]promise
	left  time.Time // when a relay last counted this box
}

// promise is one piece that is leased. It is renewed while its holder is an arbiter.
type promise struct {
	to      string
	until   time.Time
	renewed bool
}

// leave notes that a relay counts this box.
func (l *lessor) leave(now time.Time) {
	l.parts, l.left = nil, now
	for s := range l.given {
		for i := range l.given[s] {
			l.given[s][i].renewed = false
		}
	}
}

// speaksFor returns for how many boxes this one may speak: without itself while a
// relay may count it still.
func (l *lessor) speaksFor(counted int, now time.Time) int {
	if !l.left.IsZero() && now.Sub(l.left) < memberFor {
		counted--
	}
	return counted
}

// lease gives the pieces of all shards to their arbiters among some, and the piece home to
// one of those that homes returns for a shard. A piece that another may still spend is given
// to nobody. What a lessee was told of a part that has become smaller it still spends for up
// to leaseFor.
func (l *lessor) lease(among []Arbiter, homes func(shard int) []string, parts map[string]float64, now time.Time) {
	l.parts = parts
	for s := range shards {
		g := &l.given[s]
		g[home].move(homes(s), now)
		to := names(pick(among, s))
		if slices.Contains(to, g[1].to) {
			g[1].move(to, now)
		} else {
			g[1].move(without(to, g[2].to), now)
		}
		g[2].move(without(to, g[1].to), now)
	}
}

// without returns those but one, or all where there is no other.
func without(boxes []string, box string) []string {
	if len(boxes) == 1 {
		return boxes
	}
	return slices.DeleteFunc(slices.Clone(boxes), func(b string) bool { return b == box })
}

// move renews a piece whose holder is one of those that may have it. Else it goes to
// the first of them once its time is over.
func (p *promise) move(to []string, now time.Time) {
	if !slices.Contains(to, p.to) {
		p.renewed = false
		if now.Before(p.until) {
			return
		}
		p.to = to[0]
	}
	p.renewed, p.until = true, now.Add(leaseFor)
}

// pieces returns which pieces of each shard a box has, to be told now.
func (l *lessor) pieces(to string, now time.Time) []Pieces {
	out := make([]Pieces, shards)
	for s := range l.given {
		for i := range l.given[s] {
			if p := &l.given[s][i]; p.to == to && p.renewed {
				p.until = now.Add(leaseFor)
				out[s] = out[s].with(i)
			}
		}
	}
	return out
}
