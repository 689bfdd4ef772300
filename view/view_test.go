package view_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/view"
)

func boxes(n int) []fleet.Box {
	bs := make([]fleet.Box, n)
	for i := range bs {
		bs[i] = fleet.Box{Name: fmt.Sprintf("e%03d", i), DataCentre: "a", Role: fleet.EngineRole, State: fleet.Live, Class: "new"}
	}
	return bs
}

func facts(box string) []view.Facts {
	return []view.Facts{{Box: box, Incarnation: "i", Loaded: []string{"m@1"}, Slots: 8, TokensPerSecond: 50}}
}

// A notice overrides a box list that lags behind it, is reported once, and is
// dropped only after its deadline.
func TestNoticeOverridesStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New()
		var notified []string
		v.OnLeaving(func(b string, _ time.Time) { notified = append(notified, b) })
		v.SetBoxes(boxes(2))
		v.SetFacts(facts("e000"))
		n := map[string]time.Time{"e000": time.Now().Add(time.Minute)}
		require.Equal(t, 1, v.SetNotices(n, time.Now()))
		require.Zero(t, v.SetNotices(n, time.Now()))
		v.SetBoxes(boxes(2))
		require.Equal(t, fleet.Leaving, v.Endpoint("e000").State)
		require.False(t, v.Endpoint("e000").Usable())
		require.Equal(t, []string{"e000"}, notified)
		time.Sleep(2 * time.Minute)
		v.SetNotices(nil, time.Now())
		require.Empty(t, v.Notices())
	})
}

// The estimate is the last load row plus the requests that this box has sent since
// and minus those that it has ended.
func TestEstimateRequestsCorrectsReport(t *testing.T) {
	v := view.New()
	v.SetBoxes(boxes(1))
	v.SetFacts(facts("e000"))
	v.Endpoint("e000").InFlight.Add(2)
	v.SetRows([]view.Row{{ID: view.ID("e000"), Running: 5}})
	s := v.Endpoint("e000")
	require.Equal(t, 5, s.EstimateRequests(), "the row includes the requests sent before it")
	s.InFlight.Add(3)
	require.Equal(t, 8, s.EstimateRequests())
	s.InFlight.Add(-4)
	require.Equal(t, 4, s.EstimateRequests())
}

// SetRows returns the endpoints whose facts are missing; they aren't usable until the facts arrive.
func TestMissingFacts(t *testing.T) {
	v := view.New()
	v.SetBoxes(boxes(1))
	require.Equal(t, []uint32{view.ID("e000")}, v.SetRows([]view.Row{{ID: view.ID("e000")}}))
	require.False(t, v.Endpoint("e000").Usable())
	v.SetFacts(facts("e000"))
	require.True(t, v.Endpoint("e000").Usable())
}

// BenchmarkRows measures SetRows with the 6 load rows of one push.
func BenchmarkRows(b *testing.B) {
	for _, n := range []int{9, 37, 111, 333} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			v := view.New()
			bs := boxes(n)
			v.SetBoxes(bs)
			for _, x := range bs {
				v.SetFacts(facts(x.Name))
			}
			rs := make([]view.Row, 6)
			for i := range rs {
				rs[i] = view.Row{ID: view.ID(bs[i].Name), Running: 3}
			}
			b.ReportAllocs()
			for b.Loop() {
				v.SetRows(rs)
			}
		})
	}
}
