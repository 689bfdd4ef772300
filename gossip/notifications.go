package gossip

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/wait"
)

const (
	// notificationDelay is how long notifications are batched before they are sent, so that each box
	// makes one call when many endpoints crash at once.
	notificationDelay = 10 * time.Millisecond

	// maxReportedCrashes is the number of crashed endpoints remembered as reported. If more crash within
	// a short time, some are reported twice.
	maxReportedCrashes = 1024
)

// notification is what boxes send between rounds, mainly about crashed and draining endpoints. A
// request that crashes endpoints is retried before the next round, and without notifications each box
// finds out by a failed call of its own: after 39 crashes there were 412 such calls within 17 s, and
// 71 requests then found no endpoint. A relay forwards what its members send, with Relay set.
type notification struct {
	Relay    bool
	Ended    []string // incarnations of crashed endpoints
	Leaving  []string // incarnations of endpoints that announced in an answer that they are draining
	Suspects []quarantine.Suspect
	Rates    []endpointlimit.Statement   // rate limits that endpoints set, lowered or removed
	Orders   rollout.Orders              // of rollouts; zero if unchanged
	Words    map[string]rollout.Progress // of rollouts that entered a new stage, by service
}

func (n *notification) isEmpty() bool {
	return len(n.Ended)+len(n.Leaving)+len(n.Suspects)+len(n.Rates)+len(n.Words) == 0 && n.Orders.Revision == 0
}

// BroadcastCrash notifies the other boxes that an endpoint has crashed.
func (g *Gossip) BroadcastCrash(incarnation string) {
	if g.markCrashReported(incarnation) {
		g.notify(notification{Ended: []string{incarnation}})
	}
}

// BroadcastDraining notifies the other boxes that an endpoint announced in an answer that it is
// draining.
func (g *Gossip) BroadcastDraining(incarnation string) {
	g.notify(notification{Leaving: []string{incarnation}})
}

// mergeDraining merges draining endpoints reported by another box, and returns those that are new.
func (g *Gossip) mergeDraining(l endpoint.DrainingSet) []string {
	fresh := g.state.Roster.Merge(l)
	for _, e := range fresh {
		g.log.Info().Str("event", "endpoint").Str("endpoint", e).Str("seen", "another box was told").Msg("leaves")
	}
	return fresh
}

// BroadcastRate notifies the other boxes of the request rate that an endpoint stated.
func (g *Gossip) BroadcastRate(w endpointlimit.Statement) {
	g.notify(notification{Rates: []endpointlimit.Statement{w}})
}

// mergeRates merges the endpoints' request rates reported by another box, and returns those that
// are new.
func (g *Gossip) mergeRates(statements []endpointlimit.Statement) []endpointlimit.Statement {
	fresh := g.Rates.Merge(statements, boottime.Now())
	for _, w := range fresh {
		g.log.Info().Str("event", "endpoint").Str("endpoint", w.Incarnation).Bool("limited", w.Limited).Float64("per_second", w.PerSecond).
			Dur("age", w.Age).Str("seen", "another box was told").Msg("takes a rate")
	}
	return fresh
}

// markCrashReported records the crash of an endpoint, and reports whether it is new.
func (g *Gossip) markCrashReported(incarnation string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reportedCrashes == nil {
		g.reportedCrashes, _ = simplelru.NewLRU[string, bool](maxReportedCrashes, nil) // fails only for a size below one
	}
	if g.reportedCrashes.Contains(incarnation) {
		return false
	}
	g.reportedCrashes.Add(incarnation, true)
	return true
}

// notify queues a notification of this box, or of a member of this relay, and sends the queue after
// notificationDelay.
func (g *Gossip) notify(n notification) {
	g.mu.Lock()
	wasEmpty := g.pending.isEmpty()
	g.pending.Ended = append(g.pending.Ended, n.Ended...)
	g.pending.Leaving = append(g.pending.Leaving, n.Leaving...)
	g.pending.Suspects = append(g.pending.Suspects, n.Suspects...)
	g.pending.Rates = append(g.pending.Rates, n.Rates...)
	g.pending.Words = rollout.MergeProgress(g.pending.Words, n.Words, 0)
	if n.Orders.Revision > g.pending.Orders.Revision {
		g.pending.Orders = n.Orders
	}
	g.mu.Unlock()
	if !wasEmpty {
		return
	}
	g.spawn(func() {
		wait.For(g.ctx, notificationDelay)
		g.mu.Lock()
		n := g.pending
		g.pending = notification{}
		g.mu.Unlock()
		g.forward(n)
	})
}

// forward sends a notification to the relay that represents this box or, from a relay, to all others.
func (g *Gossip) forward(n notification) {
	if g.holdsSlot() {
		n.Relay = true
		g.sendNotification(g.reachableRelays(), n)
		g.notifyMembers(n)
		return
	}
	g.mu.Lock()
	address := g.relayAddress
	g.mu.Unlock()
	if address != "" {
		g.sendNotification([]string{address}, n)
	}
}

// handleNotification handles a notification of a member or of another relay.
func (g *Gossip) handleNotification(_ context.Context, in notification) (bool, error) {
	suspected := g.Quarantine.Merge(in.Suspects, boottime.Now())
	fresh := notification{Leaving: g.mergeDraining(endpoint.DrainingSet{Incarnations: in.Leaving}), Rates: g.mergeRates(in.Rates)}
	for _, e := range in.Ended {
		if g.markCrashReported(e) {
			fresh.Ended = append(fresh.Ended, e)
			g.OnCrash(e)
		}
	}
	if suspected {
		fresh.Suspects = in.Suspects
	}
	if g.Rollouts.SetOrders(in.Orders) {
		fresh.Orders = in.Orders
	}
	fresh.Words = g.Rollouts.MergeReports(in.Words, boottime.Now())
	switch {
	case fresh.isEmpty() || !g.holdsSlot():
	case in.Relay:
		g.notifyMembers(fresh)
	default:
		g.notify(fresh)
	}
	return true, nil
}

// notifyMembers forwards a notification to the members of this relay. It replaces the suspects by the
// verdicts, and sends these only if they have changed.
func (g *Gossip) notifyMembers(n notification) {
	n.Relay, n.Suspects = true, nil
	verdicts := g.Quarantine.Verdicts(boottime.Now())
	sum := quarantine.Sum(verdicts)
	g.mu.Lock()
	if g.verdictSum != sum {
		n.Suspects = verdicts
	}
	g.verdictSum = sum
	g.mu.Unlock()
	if !n.isEmpty() {
		g.sendNotification(g.reachableMembers(), n)
	}
}

func (g *Gossip) sendNotification(to []string, n notification) {
	g.broadcast(g.ctx, to, "gossip.news", n)
}

// sendsTrials reports whether this box sends the trial requests with a refused content. Only one box
// does: the first by rendezvous hashing among the known relays.
func (g *Gossip) sendsTrials(h requesthash.Hash) bool {
	first, maxWeight := g.Box, uint64(0)
	for _, a := range g.arbiters() {
		if w := xxhash.Sum64String(h.String() + "/" + a.Box); w > maxWeight {
			first, maxWeight = a.Box, w
		}
	}
	return first == g.Box
}

// relaySuspects returns the contents suspected of crashing endpoints that a relay reports to other
// relays: recent ones in every round, and all refused ones every statsRounds.
func (g *Gossip) relaySuspects(now time.Time) []quarantine.Suspect {
	s := g.Quarantine.Recent(now)
	if g.includesStats() {
		s = append(s, g.Quarantine.Refused(now)...)
	}
	return s
}
