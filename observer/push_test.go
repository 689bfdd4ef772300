package observer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/view"
)

// samplePush returns a push with a number of rows and accounts, as a busy box sends it.
func samplePush(rows, accounts int) Push {
	p := Push{From: "kariakoo-hall-entry-39", HorizonAge: time.Second, Digest: 1 << 60, Demand: admission.Demand{Accounts: map[string]float32{}}}
	for i := range rows {
		p.Rows = append(p.Rows, view.Row{ID: 1<<31 + uint32(i), Running: 200, Waiting: 300})
	}
	for i := range accounts {
		p.Demand.Accounts[fmt.Sprintf("account-%d", i)] = 1.5
	}
	return p
}

// The traffic of pushes that a box sends and receives stays within the budget for any number of boxes
// and rows.
func TestPushIntervalKeepsBudget(t *testing.T) {
	for _, boxes := range []int{2, 6, 39, 100} {
		for _, rows := range []int{0, 3, 6, 50} {
			p := samplePush(rows, 24)
			b, err := msgpack.Marshal(p)
			require.NoError(t, err)
			traffic := float64(2*(boxes-1)*(len(b)+pushOverheadBytes)) / pushInterval(p, boxes-1).Seconds()
			require.LessOrEqual(t, traffic, float64(pushBytesPerSecond)+1, "%d boxes, %d rows", boxes, rows)
		}
	}
}

// BenchmarkPush reports the size of a push and the time between pushes that follows from it.
func BenchmarkPush(b *testing.B) {
	for _, n := range []struct{ boxes, rows, accounts int }{{6, 3, 5}, {39, 6, 0}, {39, 6, 24}} {
		b.Run(fmt.Sprintf("boxes=%d/rows=%d/accounts=%d", n.boxes, n.rows, n.accounts), func(b *testing.B) {
			p := samplePush(n.rows, n.accounts)
			var v []byte
			for b.Loop() {
				v, _ = msgpack.Marshal(p)
			}
			b.ReportMetric(float64(len(v)), "bytes/push")
			b.ReportMetric(pushInterval(p, n.boxes-1).Seconds(), "s-between")
		})
	}
}
