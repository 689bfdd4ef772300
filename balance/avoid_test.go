package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
)

// An endpoint that fell silent gets a single call at a time until it has sent something. Without calls it seems the
// least loaded one, and would get all calls until one of them has waited for too long.
func TestSilentEndpointGetsSingleCalls(t *testing.T) {
	es := endpoints(4)[:1]
	es = append(es, es[0])
	es[1].ID = "sound"
	now := time.Unix(1000, 0)
	b := &balance.Balancer{}
	choose := func() balance.Choice {
		c, ok := b.Choose(es, balance.Query{DataCentre: "dc0"}, now)
		require.True(t, ok)
		return c
	}
	busy := choose()
	for busy.Endpoint.ID != "sound" {
		b.Begin(busy.Endpoint, busy, now).End(false, now)
		b.Avoid(es[0], now)
		busy = choose()
	}
	for range 5 { // the other endpoint has more calls
		b.Begin(busy.Endpoint, busy, now).RecordProgress(now)
	}
	now = now.Add(time.Minute)
	trial := choose()
	require.Equal(t, es[0].ID, trial.Endpoint.ID)
	n := b.Begin(trial.Endpoint, trial, now)
	for range 3 {
		c := choose()
		require.Equal(t, "sound", c.Endpoint.ID)
		b.Begin(c.Endpoint, c, now).RecordProgress(now)
	}
	n.RecordProgress(now)
	require.Equal(t, es[0].ID, choose().Endpoint.ID)
}
