package quota

import (
	"cmp"
	"slices"

	"birchlink.dev/birchlink/rendezvous"
)

// Arbiter is a relay that other boxes ask to admit requests.
type Arbiter struct {
	Box        string
	DataCentre string
	Address    string
	Leaving    bool // still answers, but gets no new leases
}

// shardCount is the number of groups of accounts, each with its own arbiters. 16
// shards spread over the relays of nine data centres, and the pieces of all shards fit in
// one message.
const shardCount = 16

func shard(account string) int { return int(rendezvous.Hash(account) % shardCount) }

// rankByRendezvous sorts arbiters by their rendezvous weight for a shard, highest first.
func rankByRendezvous(arbiters []Arbiter, shard int) []Arbiter {
	s := slices.Clone(arbiters)
	slices.SortFunc(s, func(a, b Arbiter) int {
		k := uint64(shard) + 1
		return cmp.Or(cmp.Compare(rendezvous.Weight(k, b.Box), rendezvous.Weight(k, a.Box)), cmp.Compare(a.Box, b.Box))
	})
	return s
}

// pickArbiters returns a shard's arbiters: the highest-ranked one and the highest-ranked
// one of another data centre, or the second-ranked one if there is no other data centre.
func pickArbiters(arbiters []Arbiter, shard int) []Arbiter {
	s := rankByRendezvous(arbiters, shard)
	if len(s) <= arbitersPerShard {
		return s
	}
	second := slices.IndexFunc(s, func(a Arbiter) bool { return a.DataCentre != s[0].DataCentre })
	return []Arbiter{s[0], s[max(second, 1)]}
}

// pickHomeRelay returns the relay that holds the home piece of a shard in self's data
// centre, or self if there is none.
func pickHomeRelay(self Arbiter, arbiters []Arbiter, shard int) Arbiter {
	local := slices.DeleteFunc(slices.Clone(arbiters), func(a Arbiter) bool { return a.DataCentre != self.DataCentre })
	if len(local) == 0 {
		return self
	}
	return rankByRendezvous(local, shard)[0]
}

// withoutLeaving returns the arbiters that are not leaving.
func withoutLeaving(arbiters []Arbiter) []Arbiter {
	return slices.DeleteFunc(slices.Clone(arbiters), func(a Arbiter) bool { return a.Leaving })
}

// askOrder returns the arbiters that a box asks for an account, in order: the home relay
// of its data centre, the account's arbiters, and the other relays of the data centre,
// since leases may have moved to them. Leaving arbiters are included because they may
// spend their leases until the leases expire.
func askOrder(self Arbiter, arbiters []Arbiter, account string) []Arbiter {
	staying, sh := withoutLeaving(arbiters), shard(account)
	var out []Arbiter
	add := func(as ...Arbiter) {
		for _, a := range as {
			if !containsBox(out, a.Box) {
				out = append(out, a)
			}
		}
	}
	if h := pickHomeRelay(self, staying, sh); containsBox(arbiters, h.Box) {
		add(h)
	}
	picked := pickArbiters(staying, sh)
	if asksSecondFirst(self) {
		slices.Reverse(picked)
	}
	add(picked...)
	for _, a := range arbiters {
		if a.Leaving || a.DataCentre == self.DataCentre {
			add(a)
		}
	}
	return out
}

// asksSecondFirst reports whether a box asks a shard's second arbiter first. Half of all
// boxes do, to share the load between both.
func asksSecondFirst(self Arbiter) bool { return rendezvous.Hash(self.Box)%arbitersPerShard == 1 }

func containsBox(arbiters []Arbiter, box string) bool {
	return slices.ContainsFunc(arbiters, func(a Arbiter) bool { return a.Box == box })
}

func boxNames(arbiters []Arbiter) []string {
	out := make([]string, 0, len(arbiters))
	for _, a := range arbiters {
		out = append(out, a.Box)
	}
	return out
}
