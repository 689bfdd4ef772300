package gossip

import (
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/rollout"
)

// BroadcastOrders sets all rollout orders as read from the store and notifies the other boxes. The
// endpoints of a version may start as soon as its order is stored.
func (g *Gossip) BroadcastOrders(o rollout.Orders) {
	if g.Rollouts.SetOrders(o) {
		g.notify(notification{Orders: o})
	}
}

// BroadcastProgress notifies the other boxes immediately of the progress of rollouts. Until they know
// that a version is bad, they keep sending it requests.
func (g *Gossip) BroadcastProgress(progress map[string]rollout.Progress) {
	g.Rollouts.MergeReports(progress, boottime.Now())
	g.notify(notification{Words: progress})
}

// mergeRollouts merges the rollout orders and progress that another box reports in a round.
func (g *Gossip) mergeRollouts(o rollout.Orders, progress map[string]rollout.Progress) {
	g.Rollouts.SetOrders(o)
	g.Rollouts.MergeReports(progress, boottime.Now())
}
