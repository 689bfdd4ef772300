package gossip_test

import (
	"testing"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/stand/memstore"
)

// The order of a rollout and its progress reach all boxes, also one that starts later, and so does the
// boxes' evidence.
func TestRolloutsReachAllBoxes(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	bs := startSevenBoxes(t, m)
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return b.othersTotal().Boxes == 6 }) == 7 })
	o := rollout.Order{Service: "s", Version: "v2", Duration: time.Minute, Revision: 5}
	stage := func(b *box) rollout.Stage {
		v, s := b.Rollouts.Stage("s", boottime.Now())
		if v != "v2" {
			return -1
		}
		return s
	}
	relay := bs[0]
	for _, b := range bs {
		if b.IsRelay() {
			relay = b
		}
	}
	relay.BroadcastOrders(rollout.Orders{Revision: 6, List: []rollout.Order{o}})
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return stage(b) == rollout.Closed }) == 7 })
	b := anyMember(bs)
	b.Rollouts.RecordAnswer("s", "r", "v2", true, false)
	bs[0].Rollouts.RecordAnswer("s", "r", "v1", false, true)
	waitUntil(t, func() bool {
		e := rollout.AddEvidence(b.Rollouts.LocalEvidence(), b.othersTotal().Evidence)["s"].Routes["r"]
		f := rollout.AddEvidence(relay.Rollouts.LocalEvidence(), relay.othersTotal().Evidence)["s"].Routes["r"]
		return e.New.Failed == 1 && f.New.Failed == 1 && f.Old.Slow == 1
	})
	b.BroadcastProgress(map[string]rollout.Progress{"s": {Order: o, Stage: rollout.Reverted, Fence: 1, Count: 1}})
	waitUntil(t, func() bool { return countBoxes(bs, func(b *box) bool { return stage(b) == rollout.Reverted }) == 7 })
	late := startBox(t, m, "late", "dc1")
	waitUntil(t, func() bool { return stage(late) == rollout.Closed })
}
