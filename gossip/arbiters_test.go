package gossip_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/stand/memstore"
)

// parts returns which part of an account's rate each box has.
func accountShares(bs []*box) (sum float64, arbiters int) {
	for _, b := range bs {
		p := b.Quota.Ask(quota.Question{Account: "a", Size: 0.001, Urgent: true}, time.Now()).Part
		sum += p
		if p > 0.01 {
			arbiters++
		}
	}
	return sum, arbiters
}

// Two relays of different data centres have all of an account's rate, and no other box any
// of it. When one of the two goes, another takes its part.
func TestTwoArbitersHoldAllShares(t *testing.T) {
	for _, dc := range []string{"dc0", "dc1"} {
		t.Run(dc, func(t *testing.T) {
			m := &memstore.Memory{}
			m.Set("config", `{"Version":3,"Accounts":[{"Name":"a","Rate":1000,"Burst":1000}]}`)
			bs := startSevenBoxes(t, m)
			waitUntil(t, sharesSettled(bs))
			i := slices.IndexFunc(bs, func(b *box) bool {
				return b.DataCentre == dc && b.Quota.Ask(quota.Question{Account: "a", Urgent: true}, time.Now()).Part > 0.4
			})
			bs[i].stop()
			waitUntil(t, sharesSettled(slices.Delete(slices.Clone(bs), i, i+1)))
		})
	}
}

// settled reports whether two of some of seven boxes have all that these may have. Half of
// the account is each data centre's, and an equal part of that each of its boxes'.
func sharesSettled(bs []*box) func() bool {
	of := map[string]float64{"dc0": 0.5 / 4, "dc1": 0.5 / 3}
	want := 0.0
	for _, b := range bs {
		want += of[b.DataCentre]
	}
	return func() bool {
		sum, n := accountShares(bs)
		return n == 2 && math.Abs(sum-want) < 0.001
	}
}
