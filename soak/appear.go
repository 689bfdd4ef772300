package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// Modes of a fault Appear: what every second box meets while another version appears. Calm is none of them.
const (
	Calm      Mode = "calm"
	Paused    Mode = "paused"     // again and again
	Worn      Mode = "worn"       // as Paused and LateStore
	CutOff    Mode = "cut off"    // boxes get nothing from each other, and every second one nothing from the store
	LateStore Mode = "late store" // as CutOff, but the store's answers are late
	Apart     Mode = "apart"      // a data centre gets nothing from the other one and from the store, and new connections between boxes carry nothing
	Restarted Mode = "restarted"
	Starved   Mode = "starved" // all boxes
)

var appearModes = []Mode{Calm, Paused, Worn, CutOff, LateStore, Apart, Restarted, Starved}

// Course is what follows after another version has appeared.
type Course string

// The courses. OneVersion is for comparison: no other version appears.
const (
	Stays      Course = "stays"
	Goes       Course = "goes"
	Returns    Course = "returns" // it goes and appears again, while the remaining boxes meet the same
	Third      Course = "third"   // as Returns, but it stays and yet another one appears
	OneVersion Course = "one version"
)

var courses = []Course{Stays, Goes, Returns, Third, OneVersion}

// Appearance is when other versions appear, counted from the time at which boxes begin to be faulty.
type Appearance struct {
	Course Course
	After  time.Duration
	Life   time.Duration // of a version that goes
	Gap    time.Duration // until boxes are faulty again
}

// Times of second versions. Before the first one, boxes have known for appearStart that there is one version.
const (
	appearStart   = 6 * time.Second
	meanAppearGap = 8 * time.Second
	maxLife       = 6 * time.Second
	maxAppearLag  = 700 * time.Millisecond
	minAway       = 600 * time.Millisecond // of boxes
	maxAway       = 5 * time.Second
	maxApart      = 9 * time.Second
)

// drawAppearances draws the moments at which a second version appears.
func drawAppearances(seed uint64, span time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 15))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(r.Int64N(int64(to-from))) }
	var out []Fault
	for at := appearStart; at < span; at += between(meanAppearGap/2, 3*meanAppearGap/2) {
		f := Fault{
			At: at, Duration: between(minAway, maxAway), Kind: Appear, Target: r.IntN(2), Mode: appearModes[r.IntN(len(appearModes))],
			Appears: Appearance{
				Course: courses[r.IntN(len(courses))], After: between(0, maxAppearLag), Life: between(minFaultDuration, maxLife),
				Gap: between(minFaultDuration, maxFaultDuration),
			},
		}
		if f.Mode == Apart || f.Mode == Starved {
			f.Duration = between(maxFaultDuration, maxApart)
		}
		out = append(out, f)
	}
	return out
}

// Streams begin one after the other each pairGap, and until lastPairs after boxes were faulty. Of a version there are two endpoints, of which
// the second one appears endpointGap later.
const (
	pairGap     = 5 * time.Millisecond
	lastPairs   = 4 * time.Second
	endpointGap = 300 * time.Millisecond
)

// appear has other versions appear as a fault says, while callers leave their streams and take them up at other boxes.
func (r *run) appear(f Fault) error {
	var pairs, bout sync.WaitGroup
	done := make(chan struct{})
	pairs.Go(func() { r.startPairs(&pairs, done, fmt.Sprintf("p-%d-%d", r.Seed, f.At.Milliseconds())) })
	defer pairs.Wait()
	defer close(done)
	twice := f.Appears.Course == Returns || f.Appears.Course == Third
	for n := range 2 {
		bout.Go(func() { r.disturb(f, f.Target+n) })
		time.Sleep(f.Appears.After)
		err := r.bringVersion(f, n)
		bout.Wait()
		if err != nil {
			return err
		}
		if !twice {
			break
		}
		time.Sleep(f.Appears.Gap)
	}
	time.Sleep(lastPairs)
	return nil
}

// bringVersion starts servers of another version, the n-th of a course, and ends them if it goes.
func (r *run) bringVersion(f Fault, n int) error {
	v := f.Appears
	if v.Course == OneVersion {
		return nil
	}
	same := n > 0 && v.Course == Returns
	var ss []*Server
	for i := range minServers {
		s, err := r.fleet.Appear(i, same)
		if err != nil {
			return err
		}
		ss, same = append(ss, s), true
		time.Sleep(endpointGap)
	}
	if v.Course != Goes && (v.Course != Returns || n > 0) {
		return nil
	}
	time.Sleep(v.Life)
	for _, s := range ss {
		r.fleet.Leave(s)
	}
	return nil
}

// disturb has boxes meet what the mode of a fault says, every second one if not all, for its duration.
func (r *run) disturb(f Fault, first int) {
	var g sync.WaitGroup
	defer g.Wait()
	near := [2]map[ConnPair]bool{{}, {}} // connections of the boxes of each data centre
	if f.Mode == Apart {
		for i, b := range r.fleet.Boxes {
			maps.Copy(near[i%2], OpenedBy(b.pid()))
		}
	}
	end := time.Now().Add(f.Duration)
	for i, b := range r.fleet.Boxes {
		hit := (i+first)%2 == 0
		if f.Mode == Calm || !hit && (f.Mode == Paused || f.Mode == Restarted) {
			continue
		}
		b.ExpectFaultsUntil(end.Add(recoveryTime))
		switch f.Mode {
		case Starved:
			g.Go(func() { r.starve(b, end) })
			continue
		case Restarted:
			b.Signal(syscall.SIGKILL)
			continue
		case Apart:
			b.peerProxy.SetExcept(near[i%2], Silence)
			defer b.peerProxy.SetFor(0, nil, Pass)
		case Worn, CutOff, LateStore:
			b.peerProxy.Set(Silence)
			defer b.peerProxy.Set(Pass)
		}
		if m := storeModes[f.Mode]; hit && m != "" {
			b.storeProxy.Set(m)
			defer b.storeProxy.Set(Pass)
		}
		if hit && (f.Mode == Paused || f.Mode == Worn) {
			g.Go(func() { pauseOften(b, end) })
		}
	}
	time.Sleep(time.Until(end))
}

// storeModes has the modes of the links to the store.
var storeModes = map[Mode]Mode{Worn: Late, CutOff: Silence, LateStore: Late, Apart: Silence}

// Times for which a box that is paused often does not run, and runs.
const (
	minPause  = 600 * time.Millisecond
	pauseStep = 100 * time.Millisecond
	pauseGap  = 300 * time.Millisecond
)

// pauseOften pauses a box for 0.6 to 0.9 s again and again.
func pauseOften(b *Box, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		b.Signal(syscall.SIGSTOP)
		time.Sleep(minPause + time.Duration(n%4)*pauseStep)
		b.Signal(syscall.SIGCONT)
		time.Sleep(pauseGap)
	}
}

// pairCounts counts pairs of attempts: those that asked for a stream, those whose stream began and was taken up after its first event, those of
// which it began at a version that appeared, and those of which it went on, some at another version.
type pairCounts struct{ asked, takenUp, atOther, wentOn, wrong int }

// startPairs starts pairs of attempts at neighbouring boxes, which name the first attempt and do not in turn.
func (r *run) startPairs(g *sync.WaitGroup, done <-chan struct{}, id string) {
	h := newCaller(slots)
	n, began := len(r.fleet.Boxes), time.Now()
	for i := 0; ; i++ {
		s := &standin.Stream{Unnamed: i/n%2 == 0}
		g.Go(func() { r.pair(h, s, r.fleet.Boxes[i%n], r.fleet.Boxes[(i+1)%n], fmt.Sprint(id, "-", i)) })
		select {
		case <-done:
			return
		case <-time.After(time.Until(began.Add(time.Duration(i) * pairGap))):
		}
	}
}

// pair begins a stream at one box, leaves it after one event, and takes it up at another box at once.
func (r *run) pair(h *http.Client, s *standin.Stream, first, second *Box, id string) {
	began, how, path := time.Now(), "named", streamPaths[0]
	if s.Unnamed {
		how = "not named"
	}
	r.streamAttempt(h, first, s, path, id+"-0", callTimeout, 1)
	isBegun, wentOn := s.Events > 0, false
	if left := callTimeout - time.Since(began); isBegun && left > 0 {
		r.streamAttempt(h, second, s, path, id+"-1", left, streamEvents+1)
		wentOn = s.Events > 1
	}
	r.checkVersions(s, id, began)
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pairs[how]
	isOther := isBegun && s.Versions[0] != versions[0]
	for to, ok := range map[*int]bool{&p.asked: true, &p.takenUp: isBegun, &p.atOther: isOther, &p.wentOn: wentOn, &p.wrong: len(s.Versions) > 1} {
		if ok {
			*to++
		}
	}
	r.pairs[how] = p
}
