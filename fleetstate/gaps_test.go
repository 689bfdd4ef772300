package fleetstate_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/versionhistory"
	"birchlink.dev/birchlink/wait"
)

// knowsOne returns a box that knows one version, and that there is no other.
func knowsOne(t *testing.T) *fleetstate.Service {
	s := fleetstate.New(versionSource, nil, zerolog.Nop())
	s.Merge(fleetstate.Records{Items: []store.Item{{Key: "e/one", Value: []byte("v1"), Revision: 6}}, Whole: true, To: 6})
	s.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
	s.ConfirmView(0, 6, 0)
	_, complete := all(s)
	require.True(t, complete)
	return s
}

// A confirmation of a time before the newest records were applied must not hide that some are missing.
func TestOldConfirmationsHideGaps(t *testing.T) {
	lossy := fleetstate.Records{From: 6, To: 8} // revision 7 added an endpoint of v2, and 8 removed it
	for name, c := range map[string]struct {
		gap, age time.Duration
	}{
		"a relay whose own view is older than the gap":    {time.Minute, time.Minute + 100*time.Millisecond},
		"a relay whose own view is as old as the gap":     {time.Minute, time.Minute - 100*time.Millisecond},
		"a relay whose view is not old, and a gap of 4 s": {4 * time.Second, versionhistory.MaxAge},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := knowsOne(t)
				time.Sleep(c.gap)
				r.Merge(lossy)
				r.ConfirmView(0, 8, c.age)
				time.Sleep(500 * time.Millisecond)
				r.ConfirmView(0, 8, 0)
				names, complete := all(r)
				require.False(t, complete, "holds that %v are all", names)
			})
		})
	}
	t.Run("a confirmation that waited for the records", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := knowsOne(t)
			time.Sleep(100 * time.Millisecond)
			r.ConfirmView(0, 8, 0) // the records are announced, and r is cut off
			time.Sleep(time.Minute)
			r.Merge(fleetstate.Records{From: 6, To: 20})
			r.ConfirmView(0, 21, 0) // those of revision 21 are under way
			r.Merge(fleetstate.Records{From: 20, To: 21, Events: true})
			r.ConfirmView(0, 21, 0)
			names, complete := all(r)
			require.False(t, complete, "holds that %v are all", names)
		})
	})
}

// The same with both boxes: one that watches the store begins streams at v2, another takes them up at v1.
func TestGapOfFourSecondsIsHidden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, r := knowsOne(t), knowsOne(t)
		time.Sleep(100 * time.Millisecond)
		x.Merge(fleetstate.Records{From: 6, To: 7, Events: true, Items: []store.Item{{Key: "e/two", Value: []byte("v2"), Revision: 7}}})
		for range 4 {
			time.Sleep(700 * time.Millisecond)
			x.ConfirmView(0, 7, 0)
		}
		require.Empty(t, x.Roster.Versions.Unsettled("s", boottime.Now())) // a stream begins at v2
		time.Sleep(500 * time.Millisecond)
		x.ConfirmView(0, 7, 0)
		records := x.ChangesSince(6)
		require.False(t, records.Events)
		// The endpoint of v2 ends. A relay has that from a push, and its view was confirmed 1.5 s ago.
		r.Merge(fleetstate.Records{From: 6, To: 8, Items: []store.Item{{Key: "e/two", Revision: 8, Deleted: true}}})
		r.ConfirmView(0, 8, 1500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		r.ConfirmView(0, 8, 0)
		names, complete := all(r)
		require.False(t, complete && len(names) == 1, "the stream is taken up at %v", names)
	})
}

// A box that has just started and read nothing must not confirm the view of another.
func TestStartingBoxConfirmsViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := knowsOne(t)
		time.Sleep(10 * time.Second)
		_, complete := all(r)
		require.False(t, complete)
		relay := fleetstate.New(versionSource, nil, zerolog.Nop())
		time.Sleep(300 * time.Millisecond)
		version, _ := relay.RawConfig()
		r.ConfirmView(version, relay.Revision(), relay.ReportedAge()) // as package gossip does with its answer
		names, complete := all(r)
		require.False(t, complete, "holds that %v are all, by the word of a box that has read nothing", names)
	})
}

// An endpoint whose removal is delayed must not make its version settled.
func TestDelayedRemovalSettlesVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.Set("config", `{"Version":3}`)
		m.Set("e/one", "v1")
		x := startBoxOf(t, m, versionSource)
		defer x.stop()
		x.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
		wait.For(t.Context(), 10*time.Second)
		m.SetDown(true) // for this box
		wait.For(t.Context(), 5*time.Second)
		at := x.Revision()
		x.Merge(fleetstate.Records{From: at, To: at + 1, Events: true, Items: []store.Item{{Key: "e/two", Value: []byte("v2"), Revision: at + 1}}})
		wait.For(t.Context(), 300*time.Millisecond)
		x.Merge(fleetstate.Records{From: at + 1, To: at + 2, Events: true, Items: []store.Item{{Key: "e/two", Revision: at + 2, Deleted: true}}})
		wait.For(t.Context(), versionhistory.MaxAge-200*time.Millisecond)
		x.ConfirmView(3, at+2, 0) // a box that read the newest records after more than 0.3 s never hears of v2
		require.Equal(t, []string{"v2"}, x.Roster.Versions.Unsettled("s", boottime.Now()))
	})
}

// After an outage of the store a fleet with one version only should take streams up as before.
func TestOutageLeavesVersionsUnknown(t *testing.T) {
	for _, n := range []int{4, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memstore.Store{}
				m.Set("config", `{"Version":3}`)
				for i := range n {
					m.Set(fmt.Sprint("e/", i), "v1")
				}
				watcher, member := startBoxOf(t, m, versionSource), fleetstate.New(versionSource, nil, zerolog.Nop())
				defer watcher.stop()
				member.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
				watcher.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
				watcher.OnRecords(func(r fleetstate.Records) { // as package gossip pushes changes of up to 50 records
					if len(r.Items) <= 50 {
						member.Merge(r)
					}
				})
				round := func() { // as package gossip does
					if at := member.Revision(); at < watcher.Revision() {
						member.Merge(watcher.ChangesSince(at))
					}
					member.ConfirmView(3, watcher.Revision(), watcher.RecordsAge())
				}
				for range 20 {
					wait.For(t.Context(), 500*time.Millisecond)
					round()
				}
				_, complete := all(member)
				require.True(t, complete)
				m.SetDown(true)
				wait.For(t.Context(), 6*time.Second)
				for i := range n { // the leases have lapsed, and the endpoints write their records again
					m.Delete(fmt.Sprint("e/", i))
					m.Set(fmt.Sprint("e/", i), "v1")
				}
				m.SetDown(false)
				for s := range 130 {
					wait.For(t.Context(), 500*time.Millisecond)
					round()
					wait.For(t.Context(), 500*time.Millisecond)
					round()
					_, w := all(watcher.Service)
					_, mm := all(member)
					if s == 5 || s == 119 || s == 123 {
						t.Logf("%d s after the outage: complete at the watcher %v, at a member %v", s+1, w, mm)
					}
					if s == 5 {
						defer func() { require.True(t, w && mm, "6 s after the outage") }()
					}
				}
			})
		})
	}
}

// Nor may one that has just started pass on a view as younger than it was told.
func TestStartingBoxPassesYoungViewOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		relay := fleetstate.New(versionSource, nil, zerolog.Nop())
		time.Sleep(100 * time.Millisecond)
		relay.Merge(fleetstate.Records{Items: []store.Item{{Key: "e/one", Value: []byte("v1"), Revision: 6}}, Whole: true, To: 6})
		relay.ConfirmView(0, 6, 10*time.Second)
		require.GreaterOrEqual(t, relay.ReportedAge(), 10*time.Second)
	})
}
