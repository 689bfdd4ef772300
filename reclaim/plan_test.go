package reclaim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/reclaim"
)

func ExamplePlan() {
	ss := []reclaim.Stream{
		{ID: "short", Workload: "m", ComputedTokens: 500, RemainingTokens: 10, TokensPerSecond: 50, CacheBytes: 50 << 20},
		{ID: "long", Workload: "m", ComputedTokens: 900, RemainingTokens: 900, TokensPerSecond: 50, CacheBytes: 90 << 20},
	}
	ds := []reclaim.Destination{{Box: "other", Workloads: []string{"m"}, FreeSlots: 1}}
	for _, m := range reclaim.Plan(ss, ds, reclaim.Limits{Notice: 10 * time.Second, Margin: time.Second, BytesPerSecond: 1 << 30}) {
		fmt.Println(m.ID, m.To, m.Reason)
	}
	// Output:
	// short  ends within the notice
	// long other moves with its cache
}

// Every stream has one move, no destination gets more streams than it has free slots, the transfers
// fit into the notice, and only replays compute tokens again.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 60).Draw(t, "streams")
		ss := make([]reclaim.Stream, 0, count)
		for i := range count {
			n := rapid.IntRange(1, 5000).Draw(t, "computed")
			ss = append(ss, reclaim.Stream{
				ID: fmt.Sprint(i), Workload: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "workload"), ComputedTokens: n,
				RemainingTokens: rapid.IntRange(0, 2000).Draw(t, "left"), TokensPerSecond: 50, CacheBytes: int64(n) << 17,
			})
		}
		free := map[string]int{}
		destinations := rapid.IntRange(0, 5).Draw(t, "destinations")
		ds := make([]reclaim.Destination, 0, destinations)
		for i := range destinations {
			d := reclaim.Destination{Box: fmt.Sprint("d", i), Workloads: []string{"m"}, FreeSlots: rapid.IntRange(0, 8).Draw(t, "free")}
			ds, free[d.Box] = append(ds, d), d.FreeSlots
		}
		l := reclaim.Limits{Notice: time.Duration(rapid.IntRange(1, 60).Draw(t, "notice")) * time.Second, BytesPerSecond: 1 << 30}
		l.Margin = l.Notice / 4
		ms := reclaim.Plan(ss, ds, l)
		require.Len(t, ms, len(ss))
		var bytes int64
		for _, m := range ms {
			if m.To != "" {
				free[m.To]--
				require.GreaterOrEqual(t, free[m.To], 0)
			}
			require.Equal(t, m.Action == reclaim.Replay, m.RecomputeTokens > 0)
			for _, s := range ss {
				if s.ID == m.ID && m.Action == reclaim.Transfer {
					bytes += s.CacheBytes
				}
			}
		}
		require.LessOrEqual(t, time.Duration(float64(bytes)/float64(l.BytesPerSecond)*float64(time.Second)), l.Notice-l.Margin)
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{8, 64, 512, 2048} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			ss := make([]reclaim.Stream, n)
			for i := range ss {
				ss[i] = reclaim.Stream{ID: fmt.Sprint(i), Workload: "m", ComputedTokens: i * 10, RemainingTokens: 500, TokensPerSecond: 50, CacheBytes: int64(i) << 20}
			}
			ds := make([]reclaim.Destination, 111)
			for i := range ds {
				ds[i] = reclaim.Destination{Box: fmt.Sprint(i), Workloads: []string{"m"}, FreeSlots: 8}
			}
			for b.Loop() {
				reclaim.Plan(ss, ds, reclaim.Limits{Notice: 30 * time.Second, BytesPerSecond: 1 << 30})
			}
		})
	}
}
