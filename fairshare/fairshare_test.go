package fairshare_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fairshare"
)

// Accounts that ask for less than their part get all of it, and the others divide the rest by
// weight. Guards against a division of the whole by weight, which leaves room unused.
func TestDivide(t *testing.T) {
	for _, c := range []struct {
		costs, weights []float64
		capacity       float64
		want           []float64
	}{
		{[]float64{1, 2, 3}, nil, 10, []float64{1, 2, 3}},
		{[]float64{1, 10, 10}, nil, 7, []float64{1, 3, 3}},
		{[]float64{10, 1, 10}, []float64{2, 1, 1}, 7, []float64{4, 1, 2}},
		{[]float64{4, 4}, nil, 0, []float64{0, 0}},
		{[]float64{0, 5}, nil, 2, []float64{0, 2}},
		{nil, nil, 3, []float64{}},
	} {
		ds := make([]fairshare.Demand, 0, len(c.costs))
		for i, x := range c.costs {
			d := fairshare.Demand{Account: fmt.Sprint(i), Cost: x}
			if c.weights != nil {
				d.Weight = c.weights[i]
			}
			ds = append(ds, d)
		}
		require.InDeltaSlice(t, c.want, fairshare.Divide(ds, c.capacity), 1e-9)
	}
}

// readAccounts reads the accounts of a replay: name, cost per second, and factor of the demand in
// the shortage.
func readAccounts(t *testing.T) (names []string, cost, factor []float64) {
	t.Helper()
	b, err := os.ReadFile("testdata/one-account-times-six.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		if strings.HasPrefix(l, "#") || strings.TrimSpace(l) == "" {
			continue
		}
		var n string
		var c, f float64
		_, err := fmt.Sscan(l, &n, &c, &f)
		require.NoError(t, err)
		names, cost, factor = append(names, n), append(cost, c), append(factor, f)
	}
	return names, cost, factor
}

// While one of 16 accounts sends six times its rate at a service that can take 1.1 times the usual
// load, the worst-served account gets within 0.05 of the mean of what it usually asks for. Guards
// against one account's burst being paid by the others: in proportion to their demand, each of them
// would get 0.65 of what it asks for.
func TestOneAccountTimesSix(t *testing.T) {
	names, cost, factor := readAccounts(t)
	capacity := 0.0
	ds := make([]fairshare.Demand, 0, len(names))
	for i := range names {
		capacity += 1.1 * cost[i]
		ds = append(ds, fairshare.Demand{Account: names[i], Cost: cost[i] * factor[i]})
	}
	total, mean, worst := 0.0, 0.0, 1.0
	for i, got := range fairshare.Divide(ds, capacity) {
		total += got
		served := min(got/cost[i], 1)
		mean += served / float64(len(names))
		worst = min(worst, served)
	}
	require.InDelta(t, capacity, total, 1e-9)
	require.Greater(t, worst, mean-0.05)
}

var began = time.Unix(1000, 0)

// fill adds cost per second to a meter until it has settled, and returns the time after it.
func fill(m *fairshare.Meter, costs map[string]float64) time.Time {
	now := began
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		for a, c := range costs {
			m.Add(a, c/100, now)
		}
	}
	return now
}

// The account over its share is found from the sums of all boxes, though not at this box. Guards
// against boxes that judge by their own requests.
func TestMeterUsesOtherBoxes(t *testing.T) {
	m := &fairshare.Meter{}
	now := fill(m, map[string]float64{"a": 2, "b": 1})
	require.InDelta(t, 2, m.Report(now)["a"], 0.02)
	m.SetOthers(map[string]float64{"a": 2, "b": 20, "c": 1}, now)
	m.Update(12, nil, now)
	require.InDelta(t, 1, m.Excess("a"), 0)
	require.InDelta(t, 3, m.Excess("b"), 0.05) // 21 where 12 - 4 - 1 are left
	require.InDelta(t, 1, m.Excess("c"), 0)
	m.Update(30, nil, now)
	require.InDelta(t, 1, m.Excess("b"), 0, "held back while there is room")
}

// A box that is cut off takes the others' load for equal parts. Guards against holding an account
// back for ever for what was known before the cut.
func TestMeterOfBoxCutOff(t *testing.T) {
	m := &fairshare.Meter{}
	m.SetOthers(map[string]float64{"a": 1, "b": 9}, began)
	m.Update(6, nil, began)
	require.Greater(t, m.Excess("b"), 1.5)
	later := began.Add(30 * time.Second)
	m.Update(6, nil, later)
	require.InDelta(t, m.Excess("a"), m.Excess("b"), 0.01)
	for _, d := range m.Demands(later) {
		require.InDelta(t, 5, d.Cost, 0.01)
	}
}

// Accounts that ask for nothing any more are forgotten. Guards against reports that grow.
func TestMeterForgets(t *testing.T) {
	m := &fairshare.Meter{}
	now := fill(m, map[string]float64{"a": 2})
	now = now.Add(40 * time.Second)
	m.Add("b", 1, now)
	require.NotContains(t, m.Report(now), "a")
}

func BenchmarkExcess(b *testing.B) {
	m := &fairshare.Meter{}
	m.SetOthers(map[string]float64{"a": 1, "b": 9}, began)
	m.Update(6, nil, began)
	b.ReportAllocs()
	for b.Loop() {
		m.Excess("b")
	}
}

func BenchmarkUpdate(b *testing.B) {
	m := &fairshare.Meter{}
	others := map[string]float64{}
	for i := range 1000 {
		others[fmt.Sprint(i)] = float64(i)
	}
	m.SetOthers(others, began)
	for b.Loop() {
		m.Update(1000, nil, began)
	}
}
