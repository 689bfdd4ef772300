// Package soak tests birchlinkd under faults. It runs boxes as separate processes against stand-ins of
// the platform, injects faults by a schedule that is drawn from a seed, and checks the guarantees from
// what callers and servers observe.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. A link fault sets the proxy of the link to the fault's Mode.
const (
	Kill             Kind = "kill"        // SIGKILL, then restart
	KillAll          Kind = "kill all"    // SIGKILL of all boxes at once, then restart
	Term             Kind = "term"        // SIGTERM, then restart: a graceful shutdown, which callers must not notice
	Hup              Kind = "hup"         // SIGHUP: a reload of the settings, which callers must not notice
	Pause            Kind = "pause"       // SIGSTOP, then SIGCONT
	StoreLink        Kind = "store link"  // one box's link to the store
	ServerLink       Kind = "server link" // the boxes' link to one endpoint
	StoreDown        Kind = "store down"
	StoreAnswersLost Kind = "store answers lost"
	Compact          Kind = "store history lost"
	Drain            Kind = "drain" // an endpoint announces in its record that it is draining; another replaces it
	Config           Kind = "configuration"
	Storm            Kind = "storm"     // a large configuration changes faster than boxes can take it
	DrainByAnswer    Kind = "leave"     // an endpoint reports only in its answers that it is draining; another replaces it
	RefuseCalls      Kind = "turn away" // an endpoint refuses every call and asks callers to back off
	ReportLimit      Kind = "limit"     // an endpoint reports the rate limit that it has for all boxes together
	Release          Kind = "release"   // half of the endpoints are replaced by ones of another software version
	ReportBrittle    Kind = "brittle"   // an endpoint reports the rate of refusals that it bears from all boxes together
	SilentServers    Kind = "silent"    // sound endpoints send nothing for a while, then what was due
	EndlessServer    Kind = "endless"   // an endpoint sends bytes without end
	PeerLink         Kind = "peer link" // the others' links to one box
	IrregularServer  Kind = "irregular" // an endpoint sends streams that break off, end early, or whose events do not follow each other
	Crash            Kind = "crash"     // an endpoint's process ends, and its connections with it; its record lapses later, and another replaces it
	Vacate           Kind = "vacate"    // as Drain, if runs can be moved; moves from the endpoint, or to others, go wrong
	Forget           Kind = "forget"    // as Vacate, after a time in which the endpoint's streams have no framing; it stops runs and knows nothing of them then
	LossyServer      Kind = "lossy"     // the boxes' link to one endpoint carries small pieces, some of which are late
	LossyPeers       Kind = "lossy peers"
	BoxServerLink    Kind = "box server link" // one box's link to Count endpoints
	Starve           Kind = "starve"          // a box gets a third of the processor time
	Appear           Kind = "second version"  // endpoints of another software version appear, while every second box is faulty
	Stop             Kind = "stop"            // as Term, among requests that callers send slowly
	UnframedServer   Kind = "unframed"        // answers of an endpoint end with their connections; it resets some, or its process ends
	Hush             Kind = "hush"            // half of the open connections to some boxes fall silent for good, and of theirs to the store
)

// Fault is one entry of a schedule. Target is the index of a box or server, depending on Kind; Mode is
// used by link faults, Crash, Appear and UnframedServer only, Count, the number of servers or boxes from Target on, by SilentServers Hush and
// BoxServerLink, Form by EndlessServer, Irregular by IrregularServer, UnframedServer and Forget, Move by Vacate and Forget, and Appears by Appear.
type Fault struct {
	At        time.Duration
	Duration  time.Duration
	Kind      Kind
	Target    int
	Mode      Mode
	Count     int
	Form      standin.Endless
	Irregular standin.Irregular
	Move      standin.MoveFault
	Appears   Appearance
}

// String returns a description of the fault on one line.
func (f Fault) String() string {
	switch f.Kind {
	case BoxServerLink:
		return fmt.Sprintf("%6.2fs %s %d %s to %d servers for %v", f.At.Seconds(), f.Kind, f.Target, f.Mode, f.Count, f.Duration)
	case SilentServers:
		return fmt.Sprintf("%6.2fs %s %d servers from %d on for %v", f.At.Seconds(), f.Kind, f.Count, f.Target, f.Duration)
	case Hush:
		return fmt.Sprintf("%6.2fs %s %d boxes from %d on", f.At.Seconds(), f.Kind, f.Count, f.Target)
	case Appear:
		v := f.Appears
		return fmt.Sprintf("%6.2fs %s after %v %s (%v, %v), boxes from %d on %s for %v", f.At.Seconds(), f.Kind, v.After, v.Course, v.Life, v.Gap, f.Target, f.Mode, f.Duration)
	case Vacate:
		return fmt.Sprintf("%6.2fs %s %d %s", f.At.Seconds(), f.Kind, f.Target, cmp.Or(f.Move, "soundly"))
	case Forget:
		framing := "framed"
		if f.Irregular.Unframed {
			framing = "unframed"
		}
		return fmt.Sprintf("%6.2fs %s %d %s for %v, then %s", f.At.Seconds(), f.Kind, f.Target, framing, f.Duration, f.Move)
	case Stop:
		return fmt.Sprintf("%6.2fs %s %d", f.At.Seconds(), f.Kind, f.Target)
	case UnframedServer:
		protocol := "HTTP/1.1"
		if f.Irregular.HTTP10 {
			protocol = "HTTP/1.0"
		}
		return fmt.Sprintf("%6.2fs %s %d as %s, some %s, then %s after %v", f.At.Seconds(), f.Kind, f.Target, protocol, f.Irregular.First, cmp.Or(f.Mode, Pass), f.Duration)
	case EndlessServer:
		return fmt.Sprintf("%6.2fs %s %d %s for %v", f.At.Seconds(), f.Kind, f.Target, f.Form, f.Duration)
	case IrregularServer:
		framing := "framed"
		if f.Irregular.Unframed {
			framing = "unframed"
		}
		v := f.Irregular
		return fmt.Sprintf("%6.2fs %s %d %s, first %s, resumed %s for %v", f.At.Seconds(), f.Kind, f.Target, framing, v.First, v.Resumed, f.Duration)
	}
	return fmt.Sprintf("%6.2fs %s %d %s for %v", f.At.Seconds(), f.Kind, f.Target, f.Mode, f.Duration)
}

// Times of a schedule. The mean gap between faults is shorter than most faults, so that faults overlap.
// No fault starts during faultFreeStart.
const (
	meanFaultGap     = 700 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	faultFreeStart   = 2 * time.Second
)

// meanReportGap is the mean time between the reports of endpoints about themselves.
const meanReportGap = 2 * time.Second

// Schedule draws the faults of a run and the reports of endpoints about themselves, ordered by time.
// The same arguments give the same schedule.
func Schedule(seed uint64, span time.Duration, boxes, servers int) []Fault {
	out := append(drawFaults(seed, span, boxes, servers), drawReports(seed, 2, span, servers, DrainByAnswer, RefuseCalls, ReportLimit)...)
	out = append(out, drawReports(seed, 3, span, servers, ReportBrittle)...)
	out = append(out, drawReports(seed, 4, span, servers, Release)...)
	out = append(out, drawPowerLosses(seed, span)...)
	out = append(out, drawSilences(seed, span, servers)...)
	out = append(out, drawEndless(seed, span, servers)...)
	out = append(out, drawStorms(seed, span)...)
	out = append(out, drawStalls(seed, span, boxes)...)
	out = append(out, drawIrregular(seed, span, servers)...)
	out = append(out, drawCrashes(seed, span, servers)...)
	out = append(out, drawMoves(seed, span, servers)...)
	out = append(out, drawLossyLinks(seed, span, boxes, servers)...)
	out = append(out, drawBoxLinks(seed, span, boxes, servers)...)
	out = append(out, drawAppearances(seed, span)...)
	out = append(out, drawStops(seed, span, boxes)...)
	out = append(out, drawUnframed(seed, span, servers)...)
	out = append(out, drawForgets(seed, span, servers)...)
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// drawReports draws reports of endpoints about themselves. Each stream of random numbers is drawn for itself, so that
// a further kind leaves the schedules of known seeds as they are.
func drawReports(seed, stream uint64, span time.Duration, servers int, kinds ...Kind) []Fault {
	r := rand.New(rand.NewPCG(seed, stream))
	var out []Fault
	for at := faultFreeStart; at < span; at += time.Duration(r.Int64N(int64(2 * meanReportGap))) {
		out = append(out, Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(servers),
		})
	}
	return out
}

// meanPowerGap is the mean time between the moments at which all boxes are killed.
const meanPowerGap = 8 * time.Second

// drawPowerLosses draws the moments at which all boxes are killed.
func drawPowerLosses(seed uint64, span time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 5))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanPowerGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		out = append(out, Fault{At: at, Kind: KillAll})
	}
	return out
}

// Times of silences, one after the other, and of bytes without end.
const (
	meanSilenceGap     = 500 * time.Millisecond
	minSilence         = 800 * time.Millisecond
	maxSilence         = 3 * time.Second
	meanEndlessGap     = 1500 * time.Millisecond
	maxEndlessDuration = time.Second
)

// drawSilences draws silences of one server up to all of them. A silence begins after the end of the one before it.
func drawSilences(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 6))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanSilenceGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{
			At: at, Duration: minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence))), Kind: SilentServers,
			Target: r.IntN(servers), Count: 1 + r.IntN(servers),
		}
		out = append(out, f)
		at += f.Duration
	}
	return out
}

// drawEndless draws the moments at which a server sends bytes without end.
func drawEndless(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 7))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanEndlessGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		out = append(out, Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxEndlessDuration-minFaultDuration))), Kind: EndlessServer,
			Target: r.IntN(servers), Form: standin.EndlessForms[r.IntN(len(standin.EndlessForms))],
		})
	}
	return out
}

// Times of storms of changes, one after the other.
const (
	meanStormGap  = 3 * time.Second
	stormDuration = 2 * time.Second
)

// drawStorms draws the moments at which a large configuration begins to change in quick succession.
func drawStorms(seed uint64, span time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 8))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanStormGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += stormDuration + gap() {
		out = append(out, Fault{At: at, Duration: stormDuration, Kind: Storm})
	}
	return out
}

// meanStallGap is the mean time between two faults of the links between boxes. Boxes are checked contactTime after the end of one.
const meanStallGap = 4 * time.Second

// drawStalls draws faults of the links between boxes, one after the other.
func drawStalls(seed uint64, span time.Duration, boxes int) []Fault {
	r := rand.New(rand.NewPCG(seed, 9))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanStallGap))) }
	modes := []Mode{Delay, Reset, Silence, OneWay}
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{At: at, Kind: Hush, Target: r.IntN(boxes), Count: 1 + r.IntN(boxes)}
		if r.IntN(3) == 0 {
			f = Fault{
				At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))), Kind: PeerLink,
				Target: f.Target, Mode: modes[r.IntN(len(modes))],
			}
		}
		out = append(out, f)
		at += f.Duration
	}
	return out
}

// Times of irregular streams, one after the other at each server.
const (
	meanIrregularGap     = 300 * time.Millisecond
	maxIrregularDuration = 2 * time.Second
)

// drawIrregular draws the moments at which a server sends irregular streams.
func drawIrregular(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 10))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanIrregularGap))) }
	// Callers could not tell a first run with other events from one of another request.
	first := slices.DeleteFunc(slices.Clone(standin.Departures), func(d standin.Departure) bool { return d == standin.Anew })
	ends := make([]time.Duration, servers)
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxIrregularDuration-minFaultDuration))), Kind: IrregularServer,
			Target: r.IntN(servers), Irregular: standin.Irregular{
				Unframed: r.IntN(4) == 0, First: first[r.IntN(len(first))], Resumed: standin.Departures[r.IntN(len(standin.Departures))],
			},
		}
		if at >= ends[f.Target] {
			out = append(out, f)
			ends[f.Target] = at + f.Duration
		}
	}
	return out
}

// Mean times between crashes of servers, between announced ends of servers from which runs are moved, and between faults of links.
const (
	meanCrashGap  = time.Second
	meanVacateGap = 600 * time.Millisecond

	maxUnframedBefore = 1500 * time.Millisecond // before a server forgets runs
	meanLossyGap      = 1500 * time.Millisecond
)

// drawCrashes draws the moments at which a server crashes. Its record lapses after Duration.
func drawCrashes(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 11))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanCrashGap))) }
	modes := []Mode{Closed, Reset}
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		out = append(out, Fault{
			At: at, Duration: time.Duration(r.Int64N(int64(maxFaultDuration))), Kind: Crash, Target: r.IntN(servers), Mode: modes[r.IntN(len(modes))],
		})
	}
	return out
}

// drawMoves draws the moments at which a server announces its end, and what goes wrong with moves.
func drawMoves(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 12))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanVacateGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{At: at, Kind: Vacate, Target: r.IntN(servers), Move: standin.MoveFaults[r.IntN(len(standin.MoveFaults))]}
		if r.IntN(4) == 0 {
			f.Move = standin.NoMoveFault
		}
		out = append(out, f)
	}
	return out
}

// drawForgets draws the moments from which a server sends its streams, mostly without framing, for a while, before it announces its end and
// forgets the runs that it stops.
func drawForgets(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 18))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanVacateGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxUnframedBefore-minFaultDuration))), Kind: Forget, Target: r.IntN(servers),
			Move: standin.ForgetFaults[r.IntN(len(standin.ForgetFaults))],
		}
		if r.IntN(4) > 0 {
			f.Irregular = standin.Irregular{Unframed: true, HTTP10: r.IntN(2) == 0, First: standin.Regular, Resumed: standin.Regular}
		}
		out = append(out, f)
	}
	return out
}

// drawLossyLinks draws faults of links that carry small pieces.
func drawLossyLinks(seed uint64, span time.Duration, boxes, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 13))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanLossyGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))), Kind: LossyServer, Mode: Pieces}
		f.Target = r.IntN(servers)
		if r.IntN(3) == 0 {
			f.Kind, f.Target = LossyPeers, r.IntN(boxes)
		}
		out = append(out, f)
	}
	return out
}

// drawBoxLinks draws faults of one box's links to some servers, which others reach, and times in which a box starves.
func drawBoxLinks(seed uint64, span time.Duration, boxes, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 14))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanLossyGap))) }
	modes := []Mode{Reset, Closed, Silence, OneWay, Pieces}
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))), Kind: BoxServerLink,
			Target: r.IntN(boxes), Mode: modes[r.IntN(len(modes))], Count: 1 + r.IntN(servers),
		}
		if r.IntN(3) == 0 {
			f.Kind, f.Mode, f.Count = Starve, "", 0
		}
		out = append(out, f)
	}
	return out
}

// Mean times between stops among slow requests, and between faults of servers whose answers end with their connections.
const (
	meanStopGap     = 1500 * time.Millisecond
	meanUnframedGap = 700 * time.Millisecond
)

// drawStops draws the moments from which slow requests come to a box that is told to stop.
func drawStops(seed uint64, span time.Duration, boxes int) []Fault {
	r := rand.New(rand.NewPCG(seed, 16))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanStopGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		out = append(out, Fault{At: at, Kind: Stop, Target: r.IntN(boxes)})
	}
	return out
}

// drawUnframed draws the moments from which the answers of a server end with their connections. In a third of the faults its process ends
// after that, in a third it resets some.
func drawUnframed(seed uint64, span time.Duration, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 17))
	gap := func() time.Duration { return time.Duration(r.Int64N(int64(2 * meanUnframedGap))) }
	var out []Fault
	for at := faultFreeStart + gap(); at < span; at += gap() {
		f := Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))), Kind: UnframedServer,
			Target: r.IntN(servers), Irregular: standin.Irregular{Unframed: true, HTTP10: r.IntN(2) == 0, Answers: true, First: standin.Regular, Resumed: standin.Regular},
		}
		switch r.IntN(6) {
		case 0, 1:
			f.Irregular.First = standin.Reset
		case 2:
			f.Mode = Closed
		case 3:
			f.Mode = Reset
		}
		out = append(out, f)
	}
	return out
}

// drawFaults draws the faults of boxes, links, store, servers and configuration.
func drawFaults(seed uint64, span time.Duration, boxes, servers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := []Kind{
		Kill, Term, Term, Hup, Pause, StoreLink, StoreLink, ServerLink, ServerLink, StoreDown, StoreAnswersLost, Compact, Drain, Config, Config,
	}
	modes := []Mode{Delay, Reset, Silence, OneWay}
	var out []Fault
	for at := faultFreeStart; at < span; at += time.Duration(r.Int64N(int64(2 * meanFaultGap))) {
		f := Fault{
			At: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Kind: kinds[r.IntN(len(kinds))], Mode: modes[r.IntN(len(modes))],
		}
		f.Target = r.IntN(boxes)
		if f.Kind == ServerLink || f.Kind == Drain {
			f.Target = r.IntN(servers)
		}
		out = append(out, f)
	}
	return out
}
