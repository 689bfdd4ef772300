package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/router"
)

func targets(n int) []router.Target {
	ts := make([]router.Target, n)
	for i := range ts {
		b := fmt.Sprintf("box-%d", i)
		ts[i] = router.Target{Box: b, Hash: rendezvous.Hash(b), Slots: 8, TokensPerSecond: 50, Preference: 1}
	}
	return ts
}

func ExampleAffinity_Pick() {
	ts := []router.Target{
		{Box: "old", Slots: 8, TokensPerSecond: 25, Preference: 1},
		{Box: "new", Slots: 8, TokensPerSecond: 60, Preference: 1},
	}
	c := router.Affinity{LoadBound: 1.25}.Pick(ts, router.Query{AnswerTokens: 100})
	fmt.Println(ts[c.Index].Box, c.Reason)
	// Output: new least expected time
}

// The choice for a prefix is stable, and no target above the load bound is chosen.
func TestAffinityRespectsLoadBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts := targets(rapid.IntRange(1, 30).Draw(t, "targets"))
		busy, slots := 0, 0
		for i := range ts {
			ts[i].Busy = rapid.IntRange(0, 16).Draw(t, "busy")
			busy, slots = busy+ts[i].Busy, slots+ts[i].Slots
		}
		q := router.Query{Prefix: rapid.Uint64().Draw(t, "prefix"), PromptTokens: 500, AnswerTokens: 64, Urgent: rapid.Bool().Draw(t, "urgent")}
		a := router.Affinity{LoadBound: 1.25}
		c := a.Pick(ts, q)
		require.GreaterOrEqual(t, c.Index, 0)
		require.Equal(t, c, a.Pick(ts, q))
		limit := 1.25 * float64(busy+1) / float64(slots) * float64(ts[c.Index].Slots)
		require.Less(t, float64(ts[c.Index].Busy), limit+1)
	})
}

// An urgent request does not queue at a full box for its cached prefix.
func TestUrgentAvoidsFullTarget(t *testing.T) {
	ts := targets(2)
	q := router.Query{Prefix: 7, PromptTokens: 400, AnswerTokens: 64, Urgent: true}
	preferred := router.Affinity{LoadBound: 10}.Pick(ts, q).Index
	ts[preferred].Busy = 20
	require.NotEqual(t, preferred, router.Affinity{LoadBound: 10}.Pick(ts, q).Index)
}

func TestNoTarget(t *testing.T) {
	for _, n := range []string{"affinity", "least_loaded", "round_robin", "random"} {
		p, err := router.New(n, 1.25, 0)
		require.NoError(t, err)
		require.Negative(t, p.Pick(nil, router.Query{}).Index)
	}
	_, err := router.New("fastest", 1, 0)
	require.Error(t, err)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 9, 37, 111, 333} {
		for _, name := range []string{"affinity", "least_loaded"} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, n), func(b *testing.B) {
				p, err := router.New(name, 1.25, 0.2)
				require.NoError(b, err)
				ts := targets(n)
				q := router.Query{PromptTokens: 500, AnswerTokens: 128, Deadline: time.Minute}
				b.ReportAllocs()
				for b.Loop() {
					q.Prefix++
					p.Pick(ts, q)
				}
			})
		}
	}
}
