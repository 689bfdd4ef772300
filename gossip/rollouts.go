package gossip

import (
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/rollout"
)

// Ordered takes all orders of roll-outs as the store has them, and tells the others: a version's
// endpoints may start as soon as its order stands.
func (g *Gossip) Ordered(o rollout.Orders) {
	if g.Rollouts.SetOrders(o) {
		g.tellNews(news{Orders: o})
	}
}

// Decided tells the others at once how far a roll-out is: while a bad version is known to one box
// alone, all others go on sending it requests.
func (g *Gossip) Decided(words map[string]rollout.Progress) {
	g.Rollouts.UpdateProgress(words, boottime.Now())
	g.tellNews(news{Words: words})
}

// hearRollouts takes in what another box tells in a round.
func (g *Gossip) hearRollouts(o rollout.Orders, words map[string]rollout.Progress) {
	g.Rollouts.SetOrders(o)
	g.Rollouts.UpdateProgress(words, boottime.Now())
}
