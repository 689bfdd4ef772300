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

// leave takes the stream away from its endpoint as the reclaim plan says, or
// from this box.
func (r *run) leave(c context.Context) (end, recovery.Break) {
	if r.signal.peer.Address != "" {
		return r.handOver(c, r.signal.peer)
	}
	m := r.signal.move
	r.note("move", m.Reason)
	if m.Act == reclaim.Transfer {
		if e, b, ok := r.transfer(c, m.To); ok {
			return e, b
		}
		r.note("move", "the transfer failed, the rest is computed again")
	}
	e, b := r.stopWithin(c)
	if e != broken || b != recovery.Halted && b != recovery.NeverSeen {
		return e, b
	}
	r.prefer = m.To
	r.k.moved.Inc(1)
	return r.elsewhere(c, b)
}

// stopWithin stops the attempt, but not for longer than it takes to see that
// the endpoint does not answer.
func (r *run) stopWithin(c context.Context) (end, recovery.Break) {
	x, cancel := context.WithTimeout(c, settleIn)
	defer cancel()
	e, b := r.stop(x)
	if e == moving {
		return broken, recovery.Stalled
	}
	return e, b
}

// maxLandings is how many endpoints are tried for an exported cache.
const maxLandings = 3

// transfer moves the KV cache to another endpoint and goes on there. It reports
// false if nothing was exported; otherwise the attempt here has stopped.
func (r *run) transfer(c context.Context, to string) (end, recovery.Break, bool) {
	if r.target.slot == nil {
		return broken, 0, false
	}
	x, cancel := context.WithTimeout(c, settleIn)
	defer cancel()
	f, err := r.k.engines.Export(x, r.target.address, r.s.attempt(r.attempt, r.target.incarnation, 0))
	if err != nil {
		return broken, 0, false
	}
	e, b := r.rest(x)
	if e != broken || b != recovery.Halted && b != recovery.NeverSeen {
		return e, b, e == whole
	}
	e, b = r.land(c, f, to)
	return e, b, true
}

// land goes on at the first endpoint that takes the exported cache and the
// attempt: what this box knows of the planned one may be old.
func (r *run) land(c context.Context, f engine.Export, to string) (end, recovery.Break) {
	for _, d := range r.landings(to) {
		x, cancel := context.WithTimeout(c, settleIn)
		err := r.k.engines.Import(x, d.Address, f)
		cancel()
		if err != nil {
			r.note("move", d.Name+" did not import: "+err.Error())
			continue
		}
		r.kv = f.Handle
		r.aim(target{box: d.Name, incarnation: d.Incarnation, address: d.Address, slot: d})
		e, b := r.generate(c)
		if e != broken || b != recovery.Refused && b != recovery.Unreachable {
			r.k.transferred.Inc(1)
			return e, b
		}
		r.note("move", "refused the attempt")
	}
	// No endpoint runs the stream now, and the last that did confirmed its stop.
	return broken, recovery.Halted
}

// landings are the planned destination and others that may do as well.
func (r *run) landings(to string) []*view.EndpointState {
	d := r.k.follower.Current()
	var ss []*view.EndpointState
	for _, s := range r.k.view.Endpoints() {
		ok, _ := d.Allowed(r.s.Workload, s.Box)
		if !ok || s.DataCentre != r.k.dc || !s.Usable() || !s.Serves(r.s.Workload) || s.Name == r.target.box {
			continue
		}
		ss = append(ss, s)
	}
	slices.SortStableFunc(ss, func(a, b *view.EndpointState) int {
		return cmp.Or(first(a, to)-first(b, to), cmp.Compare(a.EstimateRequests(), b.EstimateRequests()))
	})
	return ss[:min(len(ss), maxLandings)]
}

// first orders the endpoint on a box before the others.
func first(s *view.EndpointState, box string) int {
	if s.Name == box {
		return 0
	}
	return 1
}

// aim makes an endpoint the target of the next attempt.
func (r *run) aim(t target) {
	r.target = t
	if t.slot != nil {
		r.place = engineAt{client: r.k.engines, address: t.address}
		return
	}
	r.place = peerAt{client: r.k.peers.Client, address: t.address, stream: r.s}
}

// planned is a stream as the reclaim plan sees it.
func planned(s *Stream, rate float64) reclaim.Stream {
	n := s.Len()
	computed := engine.PromptTokens(s.Prompt) + n
	return reclaim.Stream{
		ID: s.ID, Workload: s.Workload, Computed: computed, Left: s.MaxTokens - n,
		TokensPerSecond: rate, Bytes: int64(computed) * kvBytesPerToken,
	}
}

// kvBytesPerToken is what a token's KV cache takes in a transfer, by the
// engines' published figure.
const kvBytesPerToken = 100 << 10
