package soak_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/soak"
)

// The same seed gives the same schedule and another seed a different one. Faults overlap, and all
// start within the span.
func TestSchedule(t *testing.T) {
	a := soak.Schedule(7, time.Minute, 5, 6)
	require.Equal(t, a, soak.Schedule(7, time.Minute, 5, 6))
	require.NotEqual(t, a, soak.Schedule(8, time.Minute, 5, 6))
	require.Greater(t, len(a), 30)
	overlap := false
	for i, f := range a {
		require.Less(t, f.At, time.Minute)
		overlap = overlap || i > 0 && a[i-1].At+a[i-1].Duration > f.At
	}
	require.True(t, overlap)
}

// Further kinds of faults leave the faults of known seeds as they are.
func TestScheduleOfKnownSeed(t *testing.T) {
	b, err := os.ReadFile("testdata/seed-1.txt")
	require.NoError(t, err)
	var got strings.Builder
	for _, f := range soak.Schedule(1, 6*time.Second, 5, 6) {
		switch f.Kind {
		case soak.SilentServers, soak.EndlessServer, soak.Storm, soak.Hush, soak.PeerLink:
		default:
			fmt.Fprintln(&got, f)
		}
	}
	require.Equal(t, string(b), got.String())
}

// Storms come one after the other, and overlap with the other changes, signals and restarts.
func TestStorms(t *testing.T) {
	overlaps := map[soak.Kind]bool{}
	for seed := range uint64(20) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, 6) {
			if f.Kind == soak.Storm {
				require.GreaterOrEqual(t, f.At, end)
				end = f.At + f.Duration
			}
			overlaps[f.Kind] = overlaps[f.Kind] || f.At < end
		}
	}
	for _, k := range []soak.Kind{soak.Config, soak.Hup, soak.Term, soak.Kill, soak.KillAll, soak.Pause, soak.StoreLink, soak.Compact, soak.Drain} {
		require.True(t, overlaps[k], k)
	}
}

// One box up to all have their connections fall silent, also during storms, and all modes of links between boxes are drawn.
func TestStalls(t *testing.T) {
	const boxes = 5
	counts, modes, duringStorm := map[int]bool{}, map[soak.Mode]bool{}, false
	for seed := range uint64(20) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, boxes, 6) {
			switch f.Kind {
			case soak.Storm:
				end = f.At + f.Duration
			case soak.Hush:
				require.Less(t, f.Target, boxes)
				counts[f.Count], duringStorm = true, duringStorm || f.At < end
			case soak.PeerLink:
				modes[f.Mode] = true
			}
		}
	}
	require.Len(t, counts, boxes)
	require.Len(t, modes, 4)
	require.True(t, duringStorm)
}

// One server up to all fall silent, for 0.8 to 3 s and one silence after the other. All forms of endless bytes are drawn.
func TestSilencesAndEndlessServers(t *testing.T) {
	const servers = 6
	counts, forms := map[int]bool{}, map[standin.Endless]bool{}
	overlaps := map[soak.Kind]bool{}
	for seed := range uint64(20) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, servers) {
			switch f.Kind {
			case soak.SilentServers:
				require.GreaterOrEqual(t, f.At, end)
				require.GreaterOrEqual(t, f.Duration, 800*time.Millisecond)
				require.LessOrEqual(t, f.Duration, 3*time.Second)
				end, counts[f.Count] = f.At+f.Duration, true
			case soak.EndlessServer:
				forms[f.Form] = true
			default:
				overlaps[f.Kind] = overlaps[f.Kind] || f.At < end
			}
		}
	}
	require.Len(t, counts, servers)
	require.Len(t, forms, len(standin.EndlessForms))
	for _, k := range []soak.Kind{soak.Config, soak.Hup, soak.Term, soak.Kill, soak.Drain, soak.Release} {
		require.True(t, overlaps[k], k)
	}
}

// At each server, irregular streams come one after the other. All departures are drawn, streams without framing in a
// quarter of the faults, and several servers are irregular at a time.
func TestIrregularServers(t *testing.T) {
	const servers = 6
	first, resumed, targets := map[standin.Departure]bool{}, map[standin.Departure]bool{}, map[int]bool{}
	n, unframed, overlap := 0, 0, false
	for seed := range uint64(20) {
		ends, last := map[int]time.Duration{}, time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, servers) {
			if f.Kind != soak.IrregularServer {
				continue
			}
			require.GreaterOrEqual(t, f.At, ends[f.Target])
			ends[f.Target], overlap = f.At+f.Duration, overlap || f.At < last
			last = max(last, f.At+f.Duration)
			first[f.Irregular.First], resumed[f.Irregular.Resumed], targets[f.Target] = true, true, true
			n++
			if f.Irregular.Unframed {
				unframed++
			}
		}
	}
	require.Len(t, targets, servers)
	require.Len(t, resumed, len(standin.Departures))
	require.Len(t, first, len(standin.Departures)-1)
	require.NotContains(t, first, standin.Anew)
	require.InDelta(t, 0.25, float64(unframed)/float64(n), 0.05)
	require.True(t, overlap)
}

// Servers crash with their connections closed and reset. All faults of moves are drawn, and moves without one. Links of servers and of
// boxes carry small pieces. One box's links to some servers fail, and boxes starve. All overlap with other faults.
func TestCrashesMovesAndLossyLinks(t *testing.T) {
	modes, moves, overlaps := map[soak.Mode]bool{}, map[standin.MoveFault]bool{}, map[[2]soak.Kind]bool{}
	kinds := []soak.Kind{soak.Crash, soak.Vacate, soak.LossyServer, soak.LossyPeers, soak.BoxServerLink, soak.Starve}
	for seed := range uint64(40) {
		faults := soak.Schedule(seed, time.Minute, 5, 6)
		for i, f := range faults {
			switch f.Kind {
			case soak.Crash:
				modes[f.Mode] = true
			case soak.Vacate:
				moves[f.Move] = true
			}
			for _, o := range faults[:i] {
				if o.At+o.Duration > f.At {
					overlaps[[2]soak.Kind{f.Kind, o.Kind}] = true
				}
			}
		}
	}
	require.Equal(t, map[soak.Mode]bool{soak.Closed: true, soak.Reset: true}, modes)
	require.Len(t, moves, len(standin.MoveFaults)+1)
	for _, k := range kinds {
		for _, o := range []soak.Kind{soak.Pause, soak.ServerLink, soak.StoreDown, soak.Release, soak.SilentServers, soak.IrregularServer} {
			require.True(t, overlaps[[2]soak.Kind{k, o}], "%s after %s", k, o)
		}
	}
}

// Servers forget runs that they stop, with each answer to the order, after streams of each framing, while boxes stop and others leave.
func TestForgets(t *testing.T) {
	answers, framings, overlaps := map[standin.MoveFault]bool{}, map[[2]bool]bool{}, map[soak.Kind]bool{}
	for seed := range uint64(20) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, 6) {
			overlaps[f.Kind] = overlaps[f.Kind] || f.At < end
			if f.Kind == soak.Forget {
				v := f.Irregular
				require.True(t, v.First == v.Resumed && !v.Answers)
				answers[f.Move], framings[[2]bool{v.Unframed, v.HTTP10}], end = true, true, f.At+f.Duration
			}
		}
	}
	require.Len(t, answers, len(standin.ForgetFaults))
	require.Len(t, framings, 3)
	for _, k := range []soak.Kind{soak.Forget, soak.Stop, soak.Term, soak.Kill, soak.Drain, soak.Vacate, soak.Crash, soak.UnframedServer, soak.ServerLink} {
		require.True(t, overlaps[k], k)
	}
}

// Boxes are told to stop among slow requests, also while others stop or start. Servers send unframed answers in both protocol versions, and
// then live on, or end with their connections closed or reset.
func TestStopsAndUnframedServers(t *testing.T) {
	stops, ends, overlaps := map[int]bool{}, map[string]bool{}, map[soak.Kind]bool{}
	for seed := range uint64(20) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, 6) {
			overlaps[f.Kind] = overlaps[f.Kind] || f.At < end
			switch f.Kind {
			case soak.Stop:
				stops[f.Target], end = true, f.At+5*time.Second
			case soak.UnframedServer:
				v := f.Irregular
				require.True(t, v.Unframed && v.Answers && v.Resumed == standin.Regular)
				ends[fmt.Sprint(v.HTTP10, v.First, f.Mode)] = true
			}
		}
	}
	require.Len(t, stops, 5)
	require.Len(t, ends, 8)
	for _, k := range []soak.Kind{soak.Stop, soak.Term, soak.Kill, soak.Hup, soak.Config, soak.UnframedServer, soak.SilentServers, soak.Drain, soak.Vacate, soak.BoxServerLink} {
		require.True(t, overlaps[k], k)
	}
}

// Another version appears only when boxes have known one for a while. Every second box meets each mode, with each course and alone, and other faults
// overlap.
func TestAppearances(t *testing.T) {
	modes, courses, targets, overlaps := map[soak.Mode]bool{}, map[soak.Course]bool{}, map[int]bool{}, map[soak.Kind]bool{}
	for seed := range uint64(40) {
		end := time.Duration(0)
		for _, f := range soak.Schedule(seed, time.Minute, 5, 6) {
			overlaps[f.Kind] = overlaps[f.Kind] || f.At < end
			if f.Kind != soak.Appear {
				continue
			}
			require.GreaterOrEqual(t, f.At, 6*time.Second)
			require.GreaterOrEqual(t, f.Duration, 600*time.Millisecond)
			require.Less(t, f.Duration, 9*time.Second)
			end = f.At + f.Duration
			modes[f.Mode], courses[f.Appears.Course], targets[f.Target] = true, true, true
		}
	}
	require.Len(t, modes, 8)
	require.Len(t, courses, 5)
	require.Len(t, targets, 2)
	for _, k := range []soak.Kind{soak.Config, soak.Hup, soak.Term, soak.Kill, soak.Drain, soak.Release, soak.Vacate} {
		require.True(t, overlaps[k], k)
	}
}
