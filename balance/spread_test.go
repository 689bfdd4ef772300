package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
)

// If every scan started at the same endpoint, boxes that know of no load would all choose the first
// by ID: with 985 boxes sending half a request a second each to 305 endpoints, 123 endpoints would
// get none and the busiest ten times the mean. Equal endpoints must be equally likely.
func TestChooseSpreadsOverEqualEndpoints(t *testing.T) {
	es := make([]endpoint.Endpoint, 305)
	for i := range es {
		es[i] = endpoint.Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Slots: 6, DataCentre: fmt.Sprint("dc", i%5)}
	}
	sent := map[string]int{}
	now := time.Now()
	for i := range 985 {
		b := &balance.Balancer{Rand: rand.New(rand.NewPCG(uint64(i), 0)).Float64}
		b.SetRemoteLoad(nil, 984, now)
		b.SetPeers(196, 0)
		for range 2 {
			c, ok := b.Choose(es, balance.Query{DataCentre: fmt.Sprint("dc", i%5)}, now)
			require.True(t, ok)
			sent[c.Endpoint.ID]++
		}
	}
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	require.Greater(t, len(sent), 280)
	require.LessOrEqual(t, most, 20, "the mean is 6.5")
}
