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

// models returns a document with n models of one workload and two copies each, followed
// by the lines of more.
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

// apply sets what the engines have loaded to the plan's assignments and returns the
// number of loads.
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
		if e.Usable() && e.Serves(w) {
			n++
		}
	}
	return n
}

// From any initial state, repeated plans converge: every workload has its copies, one of
// them on a box that is not reclaimable. On the way, no plan unloads one of the last two
// copies of a workload before its replacement is loaded.
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
		require.Zero(t, loads, "plans do not converge")
		for _, w := range ws {
			require.GreaterOrEqual(t, copies(es, w), 2, w)
			require.True(t, slices.ContainsFunc(es, func(e fleet.Endpoint) bool { return !e.Reclaimable && e.Serves(w) }), w)
		}
	})
}

// When a box drains, only the workloads that it had are loaded elsewhere.
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

// A selector that leaves too few engines for a workload is named in the plan.
func TestUnmetNamesSelector(t *testing.T) {
	d := models(t, 1, "[selector \"only old\"]\nworkloads = m0*\nrequire = class=old\n")
	p := placement.Sticky{}.Plan(placement.Input{DataCentre: "a", Document: d, Endpoints: engines(3), MaxLoads: 9})
	require.Len(t, p.Unmet, 1)
	require.Equal(t, "only old", p.Unmet[0].Selector)
	require.Equal(t, "m0@1", p.Unmet[0].Workload)
}

// A kind of box that was refused recently is not started; the next cheapest is. A class
// that is too slow for the target between tokens is never started.
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
	reclaimable := cloud.Start{DataCentre: "a", Class: "new", Reclaimable: true}
	onDemand := cloud.Start{DataCentre: "a", Class: "new"}
	p := placement.Sticky{}.Plan(in)
	require.Contains(t, p.Start, reclaimable)
	require.Contains(t, p.Start, onDemand, "a share is carried without reclaimable boxes")
	in.Refused = []cloud.Start{reclaimable}
	for _, s := range (placement.Sticky{}).Plan(in).Start {
		require.Equal(t, onDemand, s)
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

// Without demand, a data centre keeps one box that is not reclaimable, whatever its price,
// and starts one if it has none.
func TestKeepsOneOnDemandBox(t *testing.T) {
	reclaimable := cloud.Start{DataCentre: "a", Class: "new", Reclaimable: true}
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
		require.True(t, es[0].Serves("m0@1"))
	}
	in.Endpoints = es[1:]
	p := placement.Sticky{}.Plan(in)
	require.Contains(t, p.Start, cloud.Start{DataCentre: "a", Class: "new"})
	require.NotContains(t, p.Start, reclaimable)
}

// The more weight cost has against recomputed tokens, the smaller is the share of the
// demand on boxes that are not reclaimable.
func TestWeightsTradeOffCostAndRecompute(t *testing.T) {
	onDemandStarts := func(cost, recompute float64) int {
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
	require.Greater(t, onDemandStarts(0.1, 0.5), onDemandStarts(0.9, 0.5))
	require.Equal(t, onDemandStarts(1, 0.1), onDemandStarts(0, 0), "the minimum share is carried whatever the weights")
}
