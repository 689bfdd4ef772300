package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
)

// Calls that waited for endpoints that fell silent together must not raise the time that is expected to the first event:
// endpoints that fall silent next would be found out later.
func TestSilenceRaisesNoExpectation(t *testing.T) {
	const usual, calls = 50 * time.Millisecond, 20
	es := endpoints(1)
	now := time.Unix(1000, 0)
	b := &balance.Balancer{}
	begin := func() *balance.Attempt {
		c, ok := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
		require.True(t, ok)
		return b.Begin(c.Endpoint, c, now)
	}
	stream := begin()
	for range 50 { // calls that take as long as usual, beside a stream
		a := begin()
		now = now.Add(usual)
		a.RecordProgress(now)
		a.RecordAnswer()
		a.End(false, now)
		stream.RecordProgress(now)
	}
	before, _ := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
	waiting := make([]*balance.Attempt, 0, calls)
	for range calls {
		waiting = append(waiting, begin())
		now = now.Add(usual)
	}
	now = now.Add(time.Second)
	for _, a := range waiting {
		a.RecordProgress(now)
		a.RecordAnswer()
		a.End(false, now)
	}
	stream.RecordProgress(now)
	after, _ := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
	require.InDelta(t, before.Expected, after.Expected, float64(usual)/2)
}

// An endpoint that is always as slow as that must not seem fast because its calls see silences.
func TestSlownessIsNoSilence(t *testing.T) {
	const usual = 2 * time.Second
	es := endpoints(1)
	now := time.Unix(1000, 0)
	b := &balance.Balancer{}
	for range 50 {
		c, ok := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
		require.True(t, ok)
		first, second := b.Begin(c.Endpoint, c, now), b.Begin(c.Endpoint, c, now)
		for _, a := range []*balance.Attempt{first, second} {
			now = now.Add(usual)
			a.RecordProgress(now)
			a.RecordAnswer()
		}
		first.End(false, now)
		second.End(false, now)
	}
	c, _ := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
	require.Greater(t, c.Expected, usual/2)
}

// Calls that leave a silent endpoint at the same time must not all go to the best one of the others if nothing has been heard from it,
// since it may be silent too.
func TestCallsThatLeaveSilenceSpread(t *testing.T) {
	es := endpoints(5)
	now := time.Unix(1000, 0)
	b := &balance.Balancer{}
	for i := range es {
		es[i].DataCentre, es[i].Slots = "dc0", 1000
		for range 30 { // the first is the fastest
			c, ok := b.Choose(es[i:i+1], balance.Query{DataCentre: "dc0"}, now)
			require.True(t, ok)
			a := b.Begin(c.Endpoint, c, now)
			now = now.Add(time.Duration(100+400*i) * time.Millisecond)
			a.RecordProgress(now)
			a.RecordAnswer()
			a.End(false, now)
		}
	}
	now = now.Add(time.Minute)
	choose := func(q balance.Query) string {
		c, ok := b.Choose(es, q, now)
		require.True(t, ok)
		b.Begin(c.Endpoint, c, now)
		now = now.Add(time.Millisecond)
		return c.Endpoint.ID
	}
	require.Equal(t, choose(balance.Query{DataCentre: "dc0"}), choose(balance.Query{DataCentre: "dc0"}), "calls prefer the fastest")
	chosen := map[string]bool{}
	for range len(es) - 1 {
		chosen[choose(balance.Query{DataCentre: "dc0", MaxSilence: 600 * time.Millisecond})] = true
	}
	require.Len(t, chosen, len(es)-1)
}
