package stream

import (
	"context"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/reclaim"
	"birchlink.dev/birchlink/recovery"
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

// transfer moves the KV cache to another endpoint and goes on there. It reports
// false if the cache did not get there; the attempt may be stopped then.
func (r *run) transfer(c context.Context, to string) (end, recovery.Break, bool) {
	d := r.k.view.Slot(to)
	if d == nil || !d.Usable() || r.target.slot == nil {
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
	if err := r.k.engines.Import(x, d.Address, f); err != nil {
		return broken, 0, false
	}
	r.k.transferred.Inc(1)
	r.kv = f.Handle
	r.aim(target{box: d.Name, incarnation: d.Incarnation, address: d.Address, slot: d})
	e, b = r.generate(c)
	return e, b, true
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
