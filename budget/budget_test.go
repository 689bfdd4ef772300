package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/budget"
)

var terms = budget.Terms{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}

func Example() {
	b := budget.New(budget.Terms{Ratio: 1, Slack: 0, Window: time.Second})
	now := time.Unix(0, 0)
	b.Request("s", now)
	b.Request("s", now)
	fmt.Println(b.Spend("s", now), b.Spend("s", now))
	// Output: true false
}

// All boxes together, each of which would repeat every request, stay within the
// terms in every window.
func TestBoxesTogether(t *testing.T) {
	const boxes = 8
	bs := make([]*budget.Budget, 0, boxes)
	for range boxes {
		b := budget.New(terms)
		b.Boxes(boxes)
		bs = append(bs, b)
	}
	const sends = 6000
	requests := make([]time.Time, 0, sends)
	repeats := make([]time.Time, 0, sends)
	now := time.Unix(1000, 0)
	for n := range sends {
		now = now.Add(10 * time.Millisecond)
		b := bs[n%boxes]
		b.Request("s", now)
		requests = append(requests, now)
		if b.Spend("s", now) {
			repeats = append(repeats, now)
		}
	}
	require.NotEmpty(t, repeats)
	for _, end := range requests {
		n, m := within(requests, end), within(repeats, end)
		require.LessOrEqual(t, float64(m), terms.Ratio*float64(n)+terms.Slack)
	}
}

func within(ts []time.Time, end time.Time) int {
	n := 0
	for _, x := range ts {
		if !x.After(end) && end.Sub(x) < terms.Window {
			n++
		}
	}
	return n
}

// A service that was idle for long has no repeats saved up beyond its slack.
func TestNothingIsSavedUp(t *testing.T) {
	b := budget.New(terms)
	now := time.Unix(1000, 0)
	for range 1000 {
		b.Request("s", now)
	}
	now = now.Add(time.Hour)
	n := 0
	for b.Spend("s", now) {
		n++
	}
	require.LessOrEqual(t, float64(n), terms.Slack)
}
