package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
)

var epoch = time.Unix(1_000_000, 0)

// refuse sends a request to the endpoint that the balancer chooses, which refuses it and asks for a
// back-off.
func refuse(t *testing.T, b *balance.Balancer, es []endpoint.Endpoint, backOff time.Duration, now time.Time) {
	t.Helper()
	c, ok := b.Choose(es, balance.Query{}, now)
	require.True(t, ok)
	n := b.Begin(c.Endpoint, c, now)
	n.BackOff(backOff, now)
	n.RecordRefusal(now)
	n.End(false, now)
}

// An endpoint that backs off is not chosen, even if it is the only one, until the period ends.
// Callers are told to retry at that time, or up to a fifth later.
func TestBackOff(t *testing.T) {
	b := &balance.Balancer{}
	es := endpoints(1)
	refuse(t, b, es, 3*time.Second, epoch)
	for _, d := range []time.Duration{0, time.Second, 3*time.Second - 1} {
		_, ok := b.Choose(es, balance.Query{}, epoch.Add(d))
		require.False(t, ok)
		require.Equal(t, 3*time.Second-d, b.RetryAfter(es, epoch.Add(d)))
		require.Equal(t, 1, b.Availability.CountBackingOff(epoch.Add(d)))
	}
	b.Rand = func() float64 { return 1 }
	require.Equal(t, 3600*time.Millisecond, b.RetryAfter(es, epoch))
	_, ok := b.Choose(es, balance.Query{}, epoch.Add(3*time.Second))
	require.True(t, ok)
	require.Zero(t, b.RetryAfter(es, epoch.Add(3*time.Second)))
	require.Zero(t, b.Availability.CountBackingOff(epoch.Add(3*time.Second)))
}

// RetryAfter is 0 if one endpoint accepts calls or none is known, else the shortest wait.
func TestRetryAfterSeveralEndpoints(t *testing.T) {
	b := &balance.Balancer{}
	es := endpoints(2)
	require.Zero(t, b.RetryAfter(nil, epoch))
	refuse(t, b, es, 3*time.Second, epoch)
	require.Zero(t, b.RetryAfter(es, epoch))
	refuse(t, b, es, time.Second, epoch)
	require.Equal(t, time.Second, b.RetryAfter(es, epoch))
}

// After the back-off period an endpoint gets one call at a time until it runs one. Progress of a
// call from before the period does not count.
func TestTrialAfterBackOff(t *testing.T) {
	b := &balance.Balancer{}
	es := endpoints(1)
	c, _ := b.Choose(es, balance.Query{}, epoch)
	before := b.Begin(c.Endpoint, c, epoch)
	refuse(t, b, es, time.Second, epoch)
	now := epoch.Add(2 * time.Second)
	before.RecordProgress(now)
	c, _ = b.Choose(es, balance.Query{}, now)
	require.False(t, c.Avoided)
	n := b.Begin(c.Endpoint, c, now)
	c, _ = b.Choose(es, balance.Query{}, now)
	require.True(t, c.Avoided)
	n.RecordProgress(now)
	c, _ = b.Choose(es, balance.Query{}, now)
	require.False(t, c.Avoided)
	n.End(false, now)
	before.End(false, now)
}

// One of four endpoints refuses every call at once without asking for a back-off. It gets few
// calls, and gets its share again once its refusals have decayed.
func TestRefusalsAttractNoCalls(t *testing.T) {
	b := &balance.Balancer{}
	es := endpoints(4)
	calls := func(from time.Time, n int, refuses bool) int {
		sent := 0
		var inFlight []*balance.Attempt // under way, each for 6 steps
		for i := range n {
			now := from.Add(time.Duration(i) * 10 * time.Millisecond)
			if len(inFlight) >= 6 {
				inFlight[0].RecordProgress(now)
				inFlight[0].RecordAnswer()
				inFlight[0].End(false, now)
				inFlight = inFlight[1:]
			}
			c, ok := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
			require.True(t, ok)
			x := b.Begin(c.Endpoint, c, now)
			bad := c.Endpoint.ID == "e0"
			if bad {
				sent++
			}
			if bad && refuses {
				x.RecordRefusal(now)
				x.End(true, now)
				continue
			}
			inFlight = append(inFlight, x)
		}
		return sent
	}
	require.LessOrEqual(t, calls(epoch, 500, true), 20)
	require.Greater(t, calls(epoch.Add(time.Minute), 500, false), 50)
}

// Endpoints refuse calls for a while, ask for back-off periods of random length, and serve again.
// No call may go to an endpoint within its period, and each must be usable afterwards.
func TestRandomBackOffs(t *testing.T) {
	const step, length = 2 * time.Millisecond, 20 * time.Second
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := &balance.Balancer{Rand: r.Float64}
		es := endpoints(1 + r.IntN(12))
		until := make([]time.Time, len(es))        // end of the back-off period
		refusesUntil := make([]time.Time, len(es)) // until then the endpoint refuses calls
		for now := epoch; now.Before(epoch.Add(length)); now = now.Add(step) {
			if i := r.IntN(len(es)); r.IntN(300) == 0 {
				refusesUntil[i] = now.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
			}
			c, ok := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
			if !ok {
				require.Positive(t, b.RetryAfter(es, now), "seed %d", seed)
				continue
			}
			i := indexOf(es, c.Endpoint.ID)
			require.False(t, now.Before(until[i]), "seed %d: an endpoint that backs off is used", seed)
			n := b.Begin(c.Endpoint, c, now)
			if now.Before(refusesUntil[i]) {
				backOff := time.Duration(r.IntN(3000)) * time.Millisecond
				n.BackOff(backOff, now)
				until[i] = now.Add(backOff)
				n.RecordRefusal(now)
			} else {
				n.RecordProgress(now.Add(step))
				n.RecordAnswer()
			}
			n.End(false, now.Add(step))
		}
		for i := range es {
			c, ok := b.Choose(es[i:i+1], balance.Query{}, later(until[i], epoch.Add(length)))
			require.True(t, ok, "seed %d: endpoint %d of %d is excluded", seed, i, len(es))
			require.False(t, c.Avoided, "seed %d: endpoint %d of %d is avoided", seed, i, len(es))
		}
	}
}

func indexOf(es []endpoint.Endpoint, id string) int {
	for i := range es {
		if es[i].ID == id {
			return i
		}
	}
	return -1
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
