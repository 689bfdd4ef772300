package forward

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/stoporder"
)

const (
	// The timeout of a copy is the time that the source has left, within these bounds. A copy takes
	// about 10 ms, but may wait for those of all other streams at the source, which take some 0.4 s.
	minCopyTimeout = 100 * time.Millisecond
	maxCopyTimeout = time.Second

	freeTimeout       = 500 * time.Millisecond
	maxCopyAnswerSize = 64 << 10
)

// copy asks the source to copy the memory of the run, which goes on.
func (m *move) copy(to endpoint.Endpoint) (call.Copy, error) {
	return m.s.r.f.copyRun(m.c, m.s.r.q.Call.ID, m.s.choice.Endpoint, to, m.ends, nil)
}

// stopAndCopy orders the source to stop the run of the request, and to copy its memory. The order is sent only if mayOrder returns true.
func (r *run) stopAndCopy(c context.Context, source, to endpoint.Endpoint, ends time.Time, mayOrder func() bool) (call.Copy, error) {
	l, number := &r.shared.stopOrders, 0
	a, err := r.f.copyRun(c, r.q.Call.ID, source, to, ends, func() bool {
		if mayOrder() {
			number = l.Send(source.ID)
		}
		return number > 0
	})
	answer := a.Result.String()
	if err != nil {
		answer = stoporder.Unanswered
	}
	if number > 0 {
		l.Answer(source.ID, number, answer)
		metrics.GetOrRegisterCounter("moves.orders."+answer, r.f.Metrics).Inc(1)
	}
	return a, err
}

// copyRun asks the source to copy the memory of a run. If shouldStop is not nil, the source is to stop the run first, and shouldStop is
// called directly before it is told so. If that returns false, nothing is sent.
func (f *Forwarder) copyRun(c context.Context, id string, source, to endpoint.Endpoint, ends time.Time, shouldStop func() bool) (call.Copy, error) {
	q, err := f.Moves.Copy(id, source, to, shouldStop != nil)
	if err != nil {
		return call.Copy{}, fmt.Errorf("copy to %s: %w", to.ID, err)
	}
	q.ShouldSend = shouldStop
	x, cancel := context.WithTimeout(c, min(max(boottime.Until(ends), minCopyTimeout), maxCopyTimeout))
	defer cancel()
	resp, err := f.Pool.Do(x, q)
	if err != nil {
		return call.Copy{}, fmt.Errorf("copy to %s: %w", to.ID, err)
	}
	defer resp.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyAnswerSize))
	if err != nil {
		return call.Copy{}, fmt.Errorf("read the answer of %s: %w", source.ID, err)
	}
	return f.Moves.DecodeCopy(resp.Status, b), nil
}

// free frees the memory of a handle at both ends. A failure costs nothing but the time until the
// handle expires. The call outlives the request, for which the box may be stopping.
func (f *Forwarder) free(c context.Context, source endpoint.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		x, cancel := context.WithTimeout(context.WithoutCancel(c), freeTimeout)
		defer cancel()
		resp, err := f.Pool.Do(x, f.Moves.Free(source, handle))
		if err != nil {
			return
		}
		resp.Discard()
		resp.Close()
	}()
}

// chooseTarget chooses the destination of a move among the serving endpoints of the source's version,
// or returns nil. The reclaimable endpoints of a data centre are often reclaimed together, so the others
// come first if the source is one.
func (r *run) chooseTarget(source endpoint.Endpoint, skip map[string]bool) *moveTarget {
	// The copy is read from the source, so its data centre counts and not this box's. The request
	// is let in first and has nothing to prefill.
	q := balance.Query{
		DataCentre: source.DataCentre, Skip: skip, UnlimitedOnly: true,
		Eligible: func(e *endpoint.Endpoint) bool {
			return isSameVersion(e, &source) && (!source.Reclaimable || !e.Reclaimable || e.DataCentre != source.DataCentre)
		},
	}
	ch, _, ok := r.f.find(r.q.Service.Name, q)
	if !ok && source.Reclaimable {
		q.Eligible = func(e *endpoint.Endpoint) bool { return isSameVersion(e, &source) }
		ch, _, ok = r.f.find(r.q.Service.Name, q)
	}
	if !ok {
		return nil
	}
	ch.TypicalFirstEvent = 0 // a continuation says nothing about the version's speed
	ch.Parts = r.newQuery().Parts
	return &moveTarget{choice: ch, attempt: r.f.Balancer.Begin(ch.Endpoint, ch, boottime.Now())}
}
