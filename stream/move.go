package stream

import (
	"cmp"
	"context"
	"slices"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/view"
)

// moveAway moves the stream off its endpoint as the reclaim plan says, or hands it over to a peer.
func (r *run) moveAway(c context.Context) (outcome, recovery.Interruption) {
	if r.pending.peer.Address != "" {
		return r.handOver(c, r.pending.peer)
	}
	m := r.pending.move
	r.logDecision("move", m.Reason)
	if m.Action == reclaim.Transfer {
		if e, b, ok := r.transfer(c, m.To); ok {
			return e, b
		}
		r.logDecision("move", "the transfer failed, the rest is computed again")
	}
	e, b := r.stopWithTimeout(c)
	if e != interrupted || b != recovery.Halted && b != recovery.NeverSeen {
		return e, b
	}
	r.counted--
	r.preferredBox = m.To
	r.k.replayed.Inc(1)
	return r.failOver(c, b)
}

// stopWithTimeout stops the attempt, and gives up after settleTimeout if the endpoint doesn't
// answer.
func (r *run) stopWithTimeout(c context.Context) (outcome, recovery.Interruption) {
	x, cancel := context.WithTimeout(c, settleTimeout)
	defer cancel()
	e, b := r.stopAttempt(x)
	if e == moveRequested && r.pending.peer.Address == "" {
		return interrupted, recovery.Stalled
	}
	return e, b
}

// maxImportTargets bounds the endpoints that an exported cache is offered to.
const maxImportTargets = 3

// transfer moves the stream's KV cache to another endpoint and continues there. The last result is
// false if the cache was not exported or the exporting attempt is not known to have stopped.
func (r *run) transfer(c context.Context, to string) (outcome, recovery.Interruption, bool) {
	if r.target.endpoint == nil {
		return interrupted, 0, false
	}
	x, cancel := context.WithTimeout(c, settleTimeout)
	defer cancel()
	f, err := r.k.engines.Export(x, r.target.address, r.s.attempt(r.attempt, r.target.incarnation, 0))
	if err != nil {
		return interrupted, 0, false
	}
	e, b := r.readRemaining(x)
	if e != interrupted || b != recovery.Halted && b != recovery.NeverSeen {
		return e, b, e == answerComplete
	}
	r.counted--
	e, b = r.importAndResume(c, f, to)
	return e, b, true
}

// importAndResume continues at the first endpoint that imports the cache and accepts the attempt.
// The planned endpoint may refuse, since this box's information on it may be stale.
func (r *run) importAndResume(c context.Context, f engine.Export, to string) (outcome, recovery.Interruption) {
	for _, d := range r.importTargets(to) {
		x, cancel := context.WithTimeout(c, settleTimeout)
		err := r.k.engines.Import(x, d.Address, f)
		cancel()
		if err != nil {
			r.logDecision("move", d.Name+" did not import: "+err.Error())
			continue
		}
		r.kvHandle = f.Handle
		r.setTarget(target{box: d.Name, incarnation: d.Incarnation, address: d.Address, endpoint: d})
		e, b := r.generate(c)
		if e != interrupted || b != recovery.Refused && b != recovery.Unreachable {
			r.k.transferred.Inc(1)
			return e, b
		}
		r.logDecision("move", "refused the attempt")
	}
	// The exporting endpoint has confirmed its stop, so no endpoint runs the stream now.
	return interrupted, recovery.Halted
}

// importTargets returns the planned destination followed by the least busy of the other endpoints
// that may run the workload.
func (r *run) importTargets(to string) []*view.EndpointState {
	d := r.k.follower.Current()
	var ss []*view.EndpointState
	for _, s := range r.k.view.Endpoints() {
		ok, _ := d.Allowed(r.s.Workload, s.Box)
		if !ok || !r.s.mayContinueAt(s.Box) || s.DataCentre != r.k.dc || !s.Usable() || !s.Serves(r.s.Workload) || s.Name == r.target.box {
			continue
		}
		ss = append(ss, s)
	}
	slices.SortStableFunc(ss, func(a, b *view.EndpointState) int {
		return cmp.Or(plannedFirst(a, to)-plannedFirst(b, to), cmp.Compare(a.EstimateRequests(), b.EstimateRequests()))
	})
	return ss[:min(len(ss), maxImportTargets)]
}

// plannedFirst is a sort key that puts the endpoint on the planned box first.
func plannedFirst(s *view.EndpointState, box string) int {
	if s.Name == box {
		return 0
	}
	return 1
}

// setTarget sets the endpoint, or the peer, of the next attempt.
func (r *run) setTarget(t target) {
	r.target = t
	if t.endpoint != nil {
		r.executor = engineExecutor{client: r.k.engines, address: t.address}
		return
	}
	r.executor = peerExecutor{client: r.k.peers.Client, address: t.address, stream: r.s}
}

// reclaimInput describes a stream to the planner of a reclaim.
func reclaimInput(s *Stream, rate float64) reclaim.Stream {
	n := s.Len()
	computed := engine.EstimatePromptTokens(s.Prompt) + n
	return reclaim.Stream{
		ID: s.ID, Workload: s.Workload, ComputedTokens: computed, RemainingTokens: s.MaxTokens - n,
		TokensPerSecond: rate, CacheBytes: int64(computed) * kvBytesPerToken,
	}
}

// kvBytesPerToken is the size of a token's KV cache in a transfer, as published for the engines.
const kvBytesPerToken = 100 << 10
