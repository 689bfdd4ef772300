package gossip_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/stand/memstore"
)

// accountShares returns the sum of the boxes' shares of an account's rate, and the number of boxes
// with a share.
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

// Two relays of different data centres hold all shares of an account's rate, and no other box holds
// any. When one of the two stops, another takes over its share.
func TestTwoArbitersHoldAllShares(t *testing.T) {
	for _, dc := range []string{"dc0", "dc1"} {
		t.Run(dc, func(t *testing.T) {
			m := &memstore.Store{}
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

// sharesSettled reports whether two of the boxes hold all shares of bs. Each data centre has half of
// the account's rate, divided evenly among its four or three boxes.
func sharesSettled(bs []*box) func() bool {
	shares := map[string]float64{"dc0": 0.5 / 4, "dc1": 0.5 / 3}
	want := 0.0
	for _, b := range bs {
		want += shares[b.DataCentre]
	}
	return func() bool {
		sum, n := accountShares(bs)
		return n == 2 && math.Abs(sum-want) < 0.001
	}
}
