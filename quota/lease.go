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

	Even EvenLease // of rates that are divided evenly

	Lacks map[string]float64 // what the lessor's own buckets lack, by account
	Asked map[string]float64 // what boxes of its data centre ask it for, by account
}

// A lease holds for leaseFor after the lessee's stamp that its lessor has seen, and its
// lessor gives the same part to nobody else before leaseFor after it was last told: a
// round of half a second may be missed. A member of a relay is counted there for up to
// memberFor after it last told it.
const (
	leaseDuration = 2 * time.Second
	memberTimeout = 2500 * time.Millisecond
)

// homePart is the part that stays in a data centre. Its boxes go on with it when they
// are cut off, before the leases have moved on: with a tenth 69 of 402 requests were
// refused in the first two seconds of such a cut, and 9 in 1,000 on that whole day; with a
// half 4 in 1,000 on the day.
const homeShare = 0.5

// Pieces is a set of the pieces into which a lessor cuts its part of each shard: one for
// its data centre and one for each of the shard's arbiters.
type Pieces uint8

// perShard is how many arbiters a shard has: with two, an account under half of its
// rate does not notice the loss of one. The piece home comes before theirs.
const (
	homePiece        = 0
	arbitersPerShard = 2
	pieceCount       = 1 + arbitersPerShard
)

func (p Pieces) has(i int) bool { return p&(1<<i) != 0 }

func (p Pieces) with(i int) Pieces { return p | 1<<i }

// size is the part of the whole that the pieces are.
func (p Pieces) share() float64 {
	n := 0.0
	for i := range pieceCount {
		switch {
		case !p.has(i):
		case i == homePiece:
			n += homeShare
		default:
			n += (1 - homeShare) / arbitersPerShard
		}
	}
	return n
}

// lessor gives out the parts that a box speaks for. Its zero value has given none.
type lessor struct {
	shares      map[string]float64
	grants      [shardCount][pieceCount]grant
	suspendedAt time.Time // when a relay last counted this box
}

// promise is one piece that is leased. It is renewed while its holder is an arbiter.
type grant struct {
	holder  string
	until   time.Time
	renewed bool
}

// leave notes that a relay counts this box.
func (l *lessor) suspend(now time.Time) {
	l.shares, l.suspendedAt = nil, now
	for s := range l.grants {
		for i := range l.grants[s] {
			l.grants[s][i].renewed = false
		}
	}
}

// speaksFor returns for how many boxes this one may speak: without itself while a
// relay may count it still.
func (l *lessor) represented(counted int, now time.Time) int {
	if !l.suspendedAt.IsZero() && now.Sub(l.suspendedAt) < memberTimeout {
		counted--
	}
	return counted
}

// lease gives the pieces of all shards to their arbiters among some, and the piece home to
// one of those that homes returns for a shard. A piece that another may still spend is given
// to nobody. What a lessee was told of a part that has become smaller it still spends for up
// to leaseFor.
func (l *lessor) assign(among []Arbiter, homes func(shard int) []string, parts map[string]float64, now time.Time) {
	l.shares = parts
	for s := range shardCount {
		g := &l.grants[s]
		g[homePiece].renewOrMove(homes(s), now)
		to := boxNames(pickArbiters(among, s))
		if slices.Contains(to, g[1].holder) {
			g[1].renewOrMove(to, now)
		} else {
			g[1].renewOrMove(excluding(to, g[2].holder), now)
		}
		g[2].renewOrMove(excluding(to, g[1].holder), now)
	}
}

// without returns those but one, or all where there is no other.
func excluding(boxes []string, box string) []string {
	if len(boxes) == 1 {
		return boxes
	}
	return slices.DeleteFunc(slices.Clone(boxes), func(b string) bool { return b == box })
}

// move renews a piece whose holder is one of those that may have it. Else it goes to
// the first of them once its time is over.
func (p *grant) renewOrMove(to []string, now time.Time) {
	if !slices.Contains(to, p.holder) {
		p.renewed = false
		if now.Before(p.until) {
			return
		}
		p.holder = to[0]
	}
	p.renewed, p.until = true, now.Add(leaseDuration)
}

// pieces returns which pieces of each shard a box has, to be told now.
func (l *lessor) pieces(to string, now time.Time) []Pieces {
	out := make([]Pieces, shardCount)
	for s := range l.grants {
		for i := range l.grants[s] {
			if p := &l.grants[s][i]; p.holder == to && p.renewed {
				p.until = now.Add(leaseDuration)
				out[s] = out[s].with(i)
			}
		}
	}
	return out
}
