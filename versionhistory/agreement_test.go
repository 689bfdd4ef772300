package versionhistory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/versionhistory"
)

// requireAgreement fails if one box may begin streams at v2 for which another would take a different version.
func requireAgreement(t *testing.T, begins, takesUp *versionhistory.History, now time.Time) {
	t.Helper()
	if slices.Contains(begins.Unsettled("s", now), "v2") {
		return
	}
	names, complete := takesUp.All("s", now)
	require.False(t, complete && len(names) == 1 && names[0] != "v2",
		"a stream may begin at v2, and is taken up at %v, which are held to be all", names)
}

// A version that left, and was restored by a process that started later, is remembered there for longer than elsewhere. When it comes
// back it must settle again.
func TestRestoredVersionReturnsAfterOthersForgotIt(t *testing.T) {
	now := time.Now()
	var writer, x, r versionhistory.History
	for _, h := range []*versionhistory.History{&writer, &r} {
		h.Restore(nil, nil, true, now)
		h.Add("s", "v1", now)
		h.Add("s", "v2", now)
		h.Confirm(now)
	}
	confirm := func(d time.Duration, hs ...*versionhistory.History) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(500 * time.Millisecond)
			for _, h := range hs {
				h.Confirm(now)
			}
		}
	}
	confirm(10*time.Second, &writer, &r)
	writer.Remove("s", "v2", now)
	r.Remove("s", "v2", now)
	confirm(110*time.Second, &writer, &r)

	x.Add("s", "v1", now) // x starts
	x.Restore(first(writer.Snapshot(now)), second(writer.Snapshot(now)), true, now)
	x.Skip(false, now)
	x.Confirm(now)
	confirm(40*time.Second, &writer, &x, &r)

	now = now.Add(50 * time.Millisecond)
	x.Add("s", "v2", now) // and r hears of it 50 ms later
	requireAgreement(t, &x, &r, now)
}

func first[A, B any](a A, _ B) A  { return a }
func second[A, B any](_ A, b B) B { return b }

// The same without a restart: a box that saw the version leave later forgets it later.
func TestVersionReturnsBetweenForgetting(t *testing.T) {
	now := time.Now()
	var x, r versionhistory.History
	for _, h := range []*versionhistory.History{&x, &r} {
		h.Restore(nil, nil, true, now)
		h.Add("s", "v1", now)
		h.Add("s", "v2", now)
		h.Confirm(now)
		h.Confirm(now.Add(versionhistory.MaxAge))
	}
	now = now.Add(versionhistory.MaxAge)
	r.Remove("s", "v2", now)
	x.Remove("s", "v2", now.Add(time.Second)) // its view was a second older, or the removal was delayed
	now = now.Add(versionhistory.Window)
	r.Confirm(now)
	x.Confirm(now)
	x.Add("s", "v2", now)
	requireAgreement(t, &x, &r, now)
}

// What a process was told at its start says nothing of what came and went before its first view.
func TestGapBetweenRestoreAndFirstView(t *testing.T) {
	now := time.Now()
	var y, r versionhistory.History
	y.Restore(nil, nil, true, now)
	y.Add("s", "v1", now)
	y.Confirm(now)
	recent, settled := y.Snapshot(now)
	r.Restore(recent, settled, true, now) // r has read the snapshot, and stands still

	y.Add("s", "v2", now)
	now = now.Add(30 * time.Second)
	y.Confirm(now)
	require.Empty(t, y.Unsettled("s", now)) // streams begin at v2
	y.Remove("s", "v2", now)

	r.Add("s", "v1", now)
	r.Skip(false, now)
	r.Confirm(now)
	requireAgreement(t, &y, &r, now)
}

// A snapshot that is read, or whose answer is read, after a gap is as old as before it.
func TestOldSnapshotRestoredAfterGap(t *testing.T) {
	now := time.Now()
	var y, r versionhistory.History
	for _, h := range []*versionhistory.History{&y, &r} {
		h.Restore(nil, nil, true, now)
		h.Add("s", "v1", now)
		h.Confirm(now)
	}
	recent, settled := r.Snapshot(now) // r wrote it last
	y.Add("s", "v2", now)
	now = now.Add(3 * time.Second)
	y.Confirm(now)
	y.Remove("s", "v2", now)
	r.Skip(false, now)
	r.Confirm(now)
	_, complete := r.All("s", now)
	require.False(t, complete)
	r.Restore(recent, settled, true, now) // as package gossip does after a write that failed
	requireAgreement(t, &y, &r, now)
}

// A process that reads the snapshot of one that doesn't know all knows no more than that.
func TestSnapshotOfIncompleteWriter(t *testing.T) {
	now := time.Now()
	var w, r versionhistory.History
	w.Restore(nil, nil, true, now)
	w.Add("s", "v1", now)
	w.Confirm(now)
	now = now.Add(time.Minute)
	w.Skip(false, now)
	w.Confirm(now)
	_, complete := w.All("s", now)
	require.False(t, complete)
	recent, settled := w.Snapshot(now)
	r.Restore(recent, settled, w.IsUnbroken(), now)
	r.Add("s", "v1", now)
	r.Skip(false, now)
	r.Confirm(now)
	_, complete = r.All("s", now)
	require.False(t, complete)
}

// A box that has heard nothing for as long as others remember versions must not begin streams at what it knows.
func TestBoxCutOffForLongBeginsStreams(t *testing.T) {
	now := time.Now()
	var x, r versionhistory.History
	for _, h := range []*versionhistory.History{&x, &r} {
		h.Restore(nil, nil, true, now)
		h.Add("s", "v1", now)
		h.Add("s", "v2", now)
		h.Confirm(now)
		h.Confirm(now.Add(versionhistory.MaxAge))
	}
	now = now.Add(versionhistory.MaxAge)
	r.Remove("s", "v2", now) // its endpoints are cut off with x, and their records lapse
	now = now.Add(versionhistory.Window)
	r.Confirm(now)
	requireAgreement(t, &x, &r, now)
}

// The only version needs no time to settle only as long as no other appears before others know it.
func TestOnlyVersionReplacedAtOnce(t *testing.T) {
	now := time.Now()
	var x, r versionhistory.History
	x.Restore(nil, nil, true, now)
	r.Restore(nil, nil, true, now)
	x.Confirm(now)
	r.Confirm(now)
	x.Add("s", "v2", now.Add(100*time.Millisecond))
	now = now.Add(200 * time.Millisecond)
	require.Empty(t, x.Unsettled("s", now)) // a stream begins
	now = now.Add(time.Second)              // the endpoint starts again with v1
	x.Add("s", "v1", now)
	x.Remove("s", "v2", now)
	now = now.Add(500 * time.Millisecond)
	r.Add("s", "v1", now) // r reads the newest records 1.7 s after the last time
	r.Skip(false, now)
	r.Confirm(now)
	names, complete := r.All("s", now)
	require.False(t, complete && !slices.Contains(names, "v2"), "the stream at v2 is taken up at %v", names)
}

// A version that comes and goes is not known everywhere, although a box that sees it now and then takes it for settled.
func TestVersionThatComesAndGoesSettles(t *testing.T) {
	now := time.Now()
	var x, r versionhistory.History
	for _, h := range []*versionhistory.History{&x, &r} {
		h.Restore(nil, nil, true, now)
		h.Add("s", "v1", now)
		h.Skip(false, now)
		h.Confirm(now)
	}
	// The endpoint of v2 is there from 0.1 s to 1 s and from 1.95 s on. Both boxes read the newest records only.
	began := now
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	x.Add("s", "v2", at(0.2))
	x.Skip(false, at(0.2))
	x.Confirm(at(0.2))
	r.Skip(false, at(1.9))
	r.Confirm(at(1.9))
	x.Skip(false, at(2.2))
	x.Confirm(at(2.2))
	requireAgreement(t, &x, &r, at(2.3))
}
