package placement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/placement"
)

func parse(tb require.TestingT, text string) *config.Document {
	d, ms := config.Parse(1, []byte(text))
	require.Empty(tb, ms)
	return d
}

// models returns a document with n models of one workload, two copies each.
func models(tb require.TestingT, n int, more string) *config.Document {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[model \"m%d\"]\nversions = 1\n", i)
	}
	return parse(tb, b.String()+more)
}

func engines(n int) []fleet.Endpoint {
	es := make([]fleet.Endpoint, n)
	for i := range es {
		es[i] = fleet.Endpoint{
			Box:  fleet.Box{Name: fmt.Sprintf("e%03d", i), DataCentre: "a", Role: fleet.EngineRole, Class: "new", State: fleet.Live, Reclaimable: i%3 > 0},
			Load: fleet.Load{Incarnation: "i", Slots: 8, TokensPerSecond: 50},
		}
	}
	return es
}

// apply loads and drops as the plan's orders say, and returns the loads.
func apply(es []fleet.Endpoint, p placement.Plan) int {
	loads := 0
	for _, a := range p.Assignments {
		i := slices.IndexFunc(es, func(e fleet.Endpoint) bool { return e.Name == a.Box })
		es[i].Loaded = a.Workloads
		loads += len(a.Load)
	}
	return loads
}

func copies(es []fleet.Endpoint, w string) int {
	n := 0
	for _, e := range es {
		if e.Usable() && e.Has(w) {
			n++
		}
	}
	return n
}

// From any start, plan after plan comes to rest: every workload has its copies,
// one of them on a box that is not reclaimable, and no plan lets the copies of
// a workload fall while others have yet to load.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := models(t, rapid.IntRange(1, 6).Draw(t, "models"), "")
		ws := d.Workloads()
		es := engines(rapid.IntRange(4, 12).Draw(t, "engines"))
		for i := range es {
			es[i].Loaded = rapid.SliceOfNDistinct(rapid.SampledFrom(ws), 0, min(len(ws), 4), rapid.ID[string]).Draw(t, "loaded")
		}
		in := placement.Input{DataCentre: "a", Document: d, MaxLoads: rapid.IntRange(1, 4).Draw(t, "loads"), Demand: map[string]float64{}}
		for _, w := range ws {
			in.Demand[w] = rapid.Float64Range(0, 40).Draw(t, "demand")
		}
		loads := 1
		for range 60 {
			in.Endpoints = es
			p := placement.Sticky{}.Plan(in)
			before := map[string]int{}
			for _, w := range ws {
				before[w] = copies(es, w)
			}
			loads = apply(es, p)
			require.LessOrEqual(t, loads, in.MaxLoads)
			for _, w := range ws {
				require.GreaterOrEqual(t, copies(es, w), min(before[w], 2), w)
			}
			if loads == 0 {
				break
			}
		}
		require.Zero(t, loads, "it does not come to rest")
		for _, w := range ws {
			require.GreaterOrEqual(t, copies(es, w), 2, w)
			require.True(t, slices.ContainsFunc(es, func(e fleet.Endpoint) bool { return !e.Reclaimable && e.Has(w) }), w)
		}
	})
}

// One box leaves: what the others have stays where it is.
func TestMovesOnlyLostWorkloads(t *testing.T) {
	d := models(t, 6, "")
	es := engines(9)
	in := placement.Input{DataCentre: "a", Document: d, MaxLoads: 100}
	for range 5 {
		in.Endpoints = es
		apply(es, placement.Sticky{}.Plan(in))
	}
	es[1].State = fleet.Leaving
	lost := len(es[1].Loaded)
	in.Endpoints = es
	moved := 0
	for _, a := range (placement.Sticky{}).Plan(in).Assignments {
		moved += len(a.Load)
	}
	require.LessOrEqual(t, moved, lost)
}

// Selectors that leave too little room are named.
func TestUnmetNamesSelector(t *testing.T) {
	d := models(t, 1, "[selector \"only old\"]\nworkloads = m0*\nrequire = class=old\n")
	p := placement.Sticky{}.Plan(placement.Input{DataCentre: "a", Document: d, Endpoints: engines(3), MaxLoads: 9})
	require.Len(t, p.Unmet, 1)
	require.Equal(t, "only old", p.Unmet[0].Selector)
	require.Equal(t, "m0@1", p.Unmet[0].Workload)
}

// A refused kind of box is not asked for again at once; the next cheapest is.
// What is too slow for the target is never asked for.
func TestStartsCheapestSuitableBox(t *testing.T) {
	d := models(t, 1, "")
	in := placement.Input{
		DataCentre: "a", Document: d, Endpoints: engines(1), MaxLoads: 9, Demand: map[string]float64{"m0@1": 30},
		Classes: map[string]placement.Class{"new": {Slots: 8, TokensPerSecond: 50}, "old": {Slots: 8, TokensPerSecond: 10}},
		Prices: []cloud.Price{
			{DataCentre: "a", Class: "new", Reclaimable: true, PerHour: 1, Supply: 9},
			{DataCentre: "a", Class: "new", PerHour: 3, Supply: 9},
			{DataCentre: "a", Class: "old", Reclaimable: true, PerHour: 0.1, Supply: 9},
		},
	}
	spot := cloud.Start{DataCentre: "a", Class: "new", Reclaimable: true}
	kept := cloud.Start{DataCentre: "a", Class: "new"}
	p := placement.Sticky{}.Plan(in)
	require.Contains(t, p.Start, spot)
	require.Contains(t, p.Start, kept, "a part is carried without reclaimable boxes")
	in.Refused = []cloud.Start{spot}
	for _, s := range (placement.Sticky{}).Plan(in).Start {
		require.Equal(t, kept, s)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{3, 9, 37, 111} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := models(b, 40, "[selector \"s\"]\nworkloads = m*\nrequire = class=new|old\nprefer = supply=reclaimable\n")
			es := engines(n)
			in := placement.Input{DataCentre: "a", Document: d, Endpoints: es, MaxLoads: 9, Demand: map[string]float64{}}
			for _, w := range d.Workloads() {
				in.Demand[w] = 5
			}
			apply(es, placement.Sticky{}.Plan(in))
			b.ReportAllocs()
			for b.Loop() {
				placement.Sticky{}.Plan(in)
			}
		})
	}
}

// Without any demand a data centre keeps one box that no reclaim takes, however
// dear, and asks for one if it has none.
func TestKeepsOneOnDemandBox(t *testing.T) {
	spot := cloud.Start{DataCentre: "a", Class: "new", Reclaimable: true}
	in := placement.Input{
		DataCentre: "a", Document: models(t, 1, ""), MaxLoads: 9,
		Prices: []cloud.Price{
			{DataCentre: "a", Class: "new", Reclaimable: true, PerHour: 1, Supply: 9},
			{DataCentre: "a", Class: "new", PerHour: 3, Supply: 9},
		},
	}
	es := engines(3)
	for range 10 {
		in.Endpoints = es
		p := placement.Sticky{}.Plan(in)
		require.NotContains(t, p.Stop, es[0].Name)
		apply(es, p)
		require.True(t, es[0].Has("m0@1"))
	}
	in.Endpoints = es[1:]
	p := placement.Sticky{}.Plan(in)
	require.Contains(t, p.Start, cloud.Start{DataCentre: "a", Class: "new"})
	require.NotContains(t, p.Start, spot)
}

// The more boxes' cost counts against recomputed tokens, the less of the demand is
// carried by boxes that no reclaim takes.
func TestWeightsTradeOffCostAndRecompute(t *testing.T) {
	kept := func(cost, recompute float64) int {
		d := models(t, 1, "")
		d.Targets.CostWeight, d.Targets.RecomputeWeight = cost, recompute
		p := placement.Sticky{}.Plan(placement.Input{
			DataCentre: "a", Document: d, Endpoints: engines(1), MaxLoads: 9, Demand: map[string]float64{"m0@1": 60},
			Classes: map[string]placement.Class{"new": {Slots: 8, TokensPerSecond: 50}},
			Prices: []cloud.Price{
				{DataCentre: "a", Class: "new", Reclaimable: true, PerHour: 1, Supply: 99},
				{DataCentre: "a", Class: "new", PerHour: 3, Supply: 99},
			},
		})
		n := 0
		for _, s := range p.Start {
			if !s.Reclaimable {
				n++
			}
		}
		return n
	}
	require.Greater(t, kept(0.1, 0.5), kept(0.9, 0.5))
	require.Equal(t, kept(1, 0.1), kept(0, 0), "the least is carried whatever the weights")
}
