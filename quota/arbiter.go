package quota

import (
	"cmp"
	"slices"

	"birchlink.dev/birchlink/rendezvous"
)

// Arbiter is a box that others may ask.
type Arbiter struct {
	Box        string
	DataCentre string
	Address    string
	Leaving    bool // it answers, and leases are to go to others
}

// shards is into how many groups accounts are dealt, each with arbiters of its own:
// enough to spread them over the relays of nine data centres, and few enough to be
// told in one message.
const shardCount = 16

func shard(account string) int { return int(rendezvous.Key(account) % shardCount) }

// ranked orders boxes by rendezvous for a shard.
func rankByRendezvous(among []Arbiter, shard int) []Arbiter {
	s := slices.Clone(among)
	slices.SortFunc(s, func(a, b Arbiter) int {
		k := uint64(shard) + 1
		return cmp.Or(cmp.Compare(rendezvous.Weight(k, b.Box), rendezvous.Weight(k, a.Box)), cmp.Compare(a.Box, b.Box))
	})
	return s
}

// pick returns a shard's arbiters: the first by rendezvous, and the first of another
// data centre, if there is one.
func pickArbiters(among []Arbiter, shard int) []Arbiter {
	s := rankByRendezvous(among, shard)
	if len(s) <= arbitersPerShard {
		return s
	}
	second := slices.IndexFunc(s, func(a Arbiter) bool { return a.DataCentre != s[0].DataCentre })
	return []Arbiter{s[0], s[max(second, 1)]}
}

// pickHome returns the relay that keeps what stays in this data centre of a shard.
func pickHomeRelay(self Arbiter, among []Arbiter, shard int) Arbiter {
	near := slices.DeleteFunc(slices.Clone(among), func(a Arbiter) bool { return a.DataCentre != self.DataCentre })
	if len(near) == 0 {
		return self
	}
	return rankByRendezvous(near, shard)[0]
}

// staying returns those that do not leave.
func withoutLeaving(among []Arbiter) []Arbiter {
	return slices.DeleteFunc(slices.Clone(among), func(a Arbiter) bool { return a.Leaving })
}

// order returns whom a box asks for an account, in turn: the relay that keeps what stays
// in its data centre, the account's arbiters, and the other relays of the data centre,
// to which leases may have moved. Those that leave hold what was leased to them for a
// while.
func askOrder(self Arbiter, among []Arbiter, account string) []Arbiter {
	stay, sh := withoutLeaving(among), shard(account)
	var out []Arbiter
	add := func(as ...Arbiter) {
		for _, a := range as {
			if !containsBox(out, a.Box) {
				out = append(out, a)
			}
		}
	}
	if h := pickHomeRelay(self, stay, sh); containsBox(among, h.Box) {
		add(h)
	}
	far := pickArbiters(stay, sh)
	if asksSecondFirst(self) {
		slices.Reverse(far)
	}
	add(far...)
	for _, a := range among {
		if a.Leaving || a.DataCentre == self.DataCentre {
			add(a)
		}
	}
	return out
}

// swaps reports whether a box asks a shard's second arbiter first, as half of all boxes do.
func asksSecondFirst(self Arbiter) bool { return rendezvous.Key(self.Box)%arbitersPerShard == 1 }

func containsBox(among []Arbiter, box string) bool {
	return slices.ContainsFunc(among, func(a Arbiter) bool { return a.Box == box })
}

func boxNames(among []Arbiter) []string {
	out := make([]string, 0, len(among))
	for _, a := range among {
		out = append(out, a.Box)
	}
	return out
}
