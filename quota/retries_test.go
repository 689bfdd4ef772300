package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/budget"
)

// retryTerms are what all boxes together may repeat.
var retryBudget = budget.Terms{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}

// failAll sends requests a second for a time, all of which fail and are repeated as often as the
// boxes' budgets allow. It returns the requests and the repeats.
func (f *fleet) sendFailing(d time.Duration, perSecond float64) (requests, repeats int) {
	for range int(d / tick) {
		f.step()
		for n := perSecond * tick.Seconds(); n > 0 && f.rng.Float64() < n; n-- {
			i := f.rng.IntN(len(f.nodes))
			if f.nodes[i].dead {
				continue
			}
			requests++
			f.nodes[i].retries.Request("s", f.now)
			for range 3 {
				if f.nodes[i].retries.Spend("s", f.now) {
					repeats++
				}
			}
		}
	}
	return requests, repeats
}

// Each box divided the slack of the retries by the boxes that it heard at the moment, and took all of
// it if it heard none. Nine boxes that are cut off from each other repeated 199 times in 10 s what
// 76 may be, and 80 boxes 480 times what 84 may be.
// They divide it by how many boxes there may be.
func TestRetryBudgetPartitioned(t *testing.T) {
	for _, n := range []int{9, largeFleet} {
		for name, apart := range map[string]func(f *fleet){
			"started": func(f *fleet) { f.restartAll(nil) },
			"cut": func(f *fleet) {
				for i, x := range f.nodes {
					x.partition = i % f.dataCentres
				}
			},
			"alone": func(f *fleet) {
				for i, x := range f.nodes {
					x.partition = i
				}
			},
		} {
			t.Run(fmt.Sprint(n, "/", name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(n, 3, 1)
				f.idle(10 * time.Second)
				apart(f)
				requests, repeats := f.sendFailing(10*time.Second, 15)
				require.LessOrEqual(t, float64(repeats), retryBudget.Ratio*float64(requests)+retryBudget.Slack)
			})
		}
	}
}

// While all boxes hear each other, they have what the terms leave them.
func TestRetryBudgetUsed(t *testing.T) {
	f := newFleet(9, 3, 1)
	f.idle(30 * time.Second)
	for _, n := range f.nodes {
		require.Equal(t, 9, n.MaxBoxes())
	}
	_, repeats := f.sendFailing(10*time.Second, 15)
	require.Greater(t, repeats, 30)
}
