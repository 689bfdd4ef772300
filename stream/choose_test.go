package stream

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/router"
	"birchlink.dev/birchlink/view"
)

// parseDocument returns a configuration of ten models, each with a selector that has requirements
// and preferences.
func parseDocument(tb testing.TB) *config.Document {
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, "[model \"m%d\"]\nversions = 1, 2\n[selector \"s%d\"]\nworkloads = m%d*\nrequire = class=new|old\nprefer = generation=g2, supply=reclaimable\n", i, i, i)
	}
	d, ms := config.Parse(1, []byte(b.String()))
	require.Empty(tb, ms)
	return d
}

func makeEndpoints(n int) []*view.EndpointState {
	ss := make([]*view.EndpointState, n)
	for i := range ss {
		e := fleet.Endpoint{
			Box:  fleet.Box{Name: fmt.Sprintf("box-%d", i), DataCentre: "a", Role: fleet.EngineRole, Class: "new", State: fleet.Live},
			Load: fleet.Load{Incarnation: "i", Loaded: []string{"m1@1", "m1@2", "m2@1", "m2@2"}, Slots: 8, TokensPerSecond: 50},
		}
		ss[i] = &view.EndpointState{Endpoint: e, Hash: rendezvous.Hash(e.Name), InFlight: new(atomic.Int64)}
	}
	return ss
}

// The candidates are the endpoints that are live, loaded, allowed, in the box's own data centre, not
// to be avoided and not backing off.
func TestGather(t *testing.T) {
	d, ms := config.Parse(1, []byte("[model \"m\"]\nversions = 1\n[selector \"s\"]\nworkloads = m*\nrequire = class=new\n"))
	require.Empty(t, ms)
	ss := makeEndpoints(7)
	for i := range ss {
		ss[i].Loaded = []string{"m@1"}
	}
	ss[1].State = fleet.Leaving
	ss[2].Loaded = nil
	ss[3].Class = "old"
	ss[4].DataCentre = "b"
	ss[6].Incarnation = ""
	var c candidates
	x := &endpointIndex{snapshot: &view.Snapshot{Endpoints: ss}, document: d, dc: "a"}
	var backOffs backoff.BackOffs
	c.gather(x.eligible("m@1"), newStream(Request{}), "", map[string]bool{"box-5": true}, quarantine.Verdict{}, &backOffs)
	require.Len(t, c.targets, 1)
	require.Equal(t, "box-0", c.targets[0].Box)
	backOffs.Extend(ss[0].ProcessID(), time.Minute, boottime.Now())
	c.gather(x.eligible("m@1"), newStream(Request{}), "", nil, quarantine.Verdict{}, &backOffs)
	require.Len(t, c.targets, 1)
	require.Equal(t, "box-5", c.targets[0].Box)
}

// A stream that has begun must go on only at engines of the software version that began it, also at a box of another data
// centre or one that takes it over.
func TestStreamStaysAtItsSoftware(t *testing.T) {
	d, ms := config.Parse(1, []byte("[model \"m\"]\nversions = 1\n"))
	require.Empty(t, ms)
	ss := makeEndpoints(3)
	for i, v := range []string{"a", "b", ""} {
		ss[i].Loaded, ss[i].Labels = []string{"m@1"}, map[string]string{fleet.SoftwareLabel: v}
	}
	x := &endpointIndex{snapshot: &view.Snapshot{Endpoints: ss}, document: d, dc: "a"}
	boxes := func(s *Stream) (names []string) {
		var c candidates
		c.gather(x.eligible("m@1"), s, "", nil, quarantine.Verdict{}, &backoff.BackOffs{})
		for _, v := range c.targets {
			names = append(names, v.Box)
		}
		return names
	}
	s := newStream(Request{})
	require.Equal(t, []string{"box-0", "box-1", "box-2"}, boxes(s))
	s.addToken("t", "b")
	s.addToken("u", "a") // not the first
	require.Equal(t, []string{"box-1"}, boxes(s))
	remote := newStream(s.Request)
	remote.tokens = []string{"t", "u"}
	require.Equal(t, []string{"box-1"}, boxes(remote))
	unlabelled := newStream(Request{})
	unlabelled.addToken("t", "")
	require.Equal(t, []string{"box-2"}, boxes(unlabelled))
}

// BenchmarkRoute measures a routing decision without its log line: gathering the candidates and
// choosing one.
func BenchmarkRoute(b *testing.B) {
	d := parseDocument(b)
	for _, n := range []int{9, 37, 111, 333} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			x := &endpointIndex{snapshot: &view.Snapshot{Endpoints: makeEndpoints(n)}, document: d, dc: "a"}
			var c candidates
			p := router.Affinity{LoadBound: 1.25, RecomputeWeight: 0.2}
			st := newStream(Request{})
			b.ReportAllocs()
			for b.Loop() {
				c.gather(x.eligible("m1@2"), st, "", nil, quarantine.Verdict{}, &backoff.BackOffs{})
				p.Pick(c.targets, router.Query{Prefix: 7, PromptTokens: 500, AnswerTokens: 128})
			}
		})
	}
}
