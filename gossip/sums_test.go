package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/estimate"
)

// drawn returns what a box with some calls under way tells.
func randomStatus(chance *rand.Rand, name, dc string, calls, endpoints int) Status {
	s := emptyStatus(name, dc, name)
	s.Boxes, s.Failing = 1, map[string]balance.CallCounts{}
	for range calls {
		id := fmt.Sprint("i-", chance.IntN(endpoints))
		l := s.Load[id]
		s.Load[id] = balance.Load{Running: l.Running + 1, Tokens: l.Tokens + chance.IntN(9000)}
		if chance.IntN(20) == 0 {
			s.Failing[id] = balance.CallCounts{Total: 2, Failed: 1}
		}
	}
	s.Demand["s"] = map[string]demand.Stats{dc: {Tokens: float64(calls), Running: 1}}
	s.Speeds["s"] = estimate.Stats{Moments: [5]float64{float64(calls)}, Classes: map[int]estimate.Class{calls: {Count: 1}}}
	return s
}

// relayOf returns a relay that has heard some members, and other relays that speak for as many.
func newTestRelay(members, relays, endpoints int) *Gossip {
	chance := rand.New(rand.NewPCG(1, 0))
	g := New(zerolog.Nop())
	g.Box, g.DataCentre, g.Address = "relay", "dc0", "relay"
	g.slots["0"] = relaySlot{dataCentre: "dc0", key: "0", box: g.Box, address: g.Address}
	g.LocalStatus = func() Status { return randomStatus(chance, g.Box, g.DataCentre, 1, endpoints) }
	now := boottime.Now()
	for i := range members {
		s := randomStatus(chance, fmt.Sprint("member", i), "dc0", 1+i%3, endpoints)
		g.members[s.Box] = receivedStatus{Status: s, receivedAt: now}
	}
	for i := range relays {
		s := randomStatus(chance, fmt.Sprint("other", i), fmt.Sprint("dc", i%5), 2*members, endpoints)
		s.Boxes = members
		g.otherRelays[s.Box] = receivedStatus{Status: s, receivedAt: now}
	}
	return g
}

// What a relay told each of its members was summed up for each of them. It is summed up once and
// a member's own part taken out, and what a member is told is the same.
func TestReplyExcludesMember(t *testing.T) {
	g := newTestRelay(20, 3, 50)
	self := g.LocalStatus()
	g.LocalStatus = func() Status { return self }
	for n, h := range g.members {
		want := emptyStatus(g.Box, g.DataCentre, g.Address)
		want.addFailing(nil)
		want.add(g.ownStatus())
		for m, o := range g.members {
			if m != n {
				want.add(o.Status)
			}
		}
		for _, o := range g.otherRelays {
			want.add(o.Status)
		}
		var w MemberReply
		g.fillReply(&w, h.Status)
		require.Equal(t, want.Boxes, w.Others.Boxes)
		require.Equal(t, want.Load, w.Others.Load)
		require.Equal(t, want.Failing, w.Others.Failing)
		require.InDelta(t, want.Demand["s"]["dc0"].Tokens, w.Others.Demand["s"]["dc0"].Tokens, 1e-6)
		require.Equal(t, want.Speeds["s"].Moments, w.Others.Speeds["s"].Moments)
		require.Equal(t, want.Speeds["s"].Classes, w.Others.Speeds["s"].Classes)
	}
}

// A member is told the load of the endpoints that it works with, and of all before it has named
// them to this relay.
func TestReplyCoversUsedEndpoints(t *testing.T) {
	g := newTestRelay(20, 3, 500)
	s := g.members["member1"].Status
	s.Load = nil
	s.Works = newEndpointSet([]string{"i-1", "i-2", "i-3"})
	g.members[s.Box] = receivedStatus{Status: s, receivedAt: boottime.Now()}
	var w MemberReply
	g.fillReply(&w, s)
	require.NotEmpty(t, w.Others.Load)
	for id := range w.Others.Load {
		require.Contains(t, s.Works.IDs, id)
	}
	require.Equal(t, s.Works.Sum, w.Works)
	again := s
	again.Works.IDs = nil
	again.keepEndpointSet(s)
	require.Equal(t, s.Works, again.Works)
	again.Works.IDs = nil
	again.keepEndpointSet(Status{})
	g.members[s.Box] = receivedStatus{Status: again, receivedAt: boottime.Now()}
	g.fillReply(&w, again)
	require.Greater(t, len(w.Others.Load), 3)
	require.Zero(t, w.Works, "so that the member names them in its next round")
}

// Loads are told without the names of their fields; a box that tells them with these is understood.
func TestLoadFromOlderVersion(t *testing.T) {
	type older struct{ Running, Tokens int }
	b, err := msgpack.Marshal(map[string]older{"x": {2, 30}})
	require.NoError(t, err)
	var l map[string]balance.Load
	require.NoError(t, msgpack.Unmarshal(b, &l))
	require.Equal(t, balance.Load{Running: 2, Tokens: 30}, l["x"])
	b, err = msgpack.Marshal(l)
	require.NoError(t, err)
	var o map[string]older
	require.NoError(t, msgpack.Unmarshal(b, &o))
	require.Equal(t, older{2, 30}, o["x"])
}

// BenchmarkAnswer makes and encodes what a relay answers a member of 30, 100 and 500, where ten
// relays speak for as many with three calls under way each. Before sums were shared and kept to
// what a member works with: 0.33, 1.4 and 7.6 ms, 22, 71 and 225 KB; since, 0.16, 0.19 and 0.40 ms,
// 3.1, 3.6 and 7.0 KB.
func BenchmarkAnswer(b *testing.B) {
	for _, members := range []int{30, 100, 500} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			g := newTestRelay(members, 9, 10*members)
			s := g.members["member1"].Status
			ids := make([]string, 128)
			for i := range ids {
				ids[i] = fmt.Sprint("i-", i)
			}
			s.Works, s.Speeds = newEndpointSet(ids), nil
			g.members[s.Box] = receivedStatus{Status: s, receivedAt: boottime.Now()}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				var w MemberReply
				g.fillReply(&w, s)
				w.Peers = Peers{Sum: w.Peers.Sum} // the member has the lists
				out, err := msgpack.Marshal(w)
				require.NoError(b, err)
				size = len(out)
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}
