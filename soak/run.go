package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// Options sets a run up.
type Options struct {
	Seed    uint64
	For     time.Duration // of faults; settling comes on top
	Boxes   int
	Servers int
	Callers int
	Dir     string // for settings and logs
	Program string // birchlinkd
	Out     io.Writer
}

// The times of a judgement.
const (
	// settle is how long after the last fault every box must be ready and serve.
	settle = 12 * time.Second

	// applied is how long after a new version the old one's own route may be served
	// by a box that nothing has happened to; margin is for the machine.
	applied = 2 * time.Second
	margin  = time.Second

	// recovered is how long after a fault a box may still show it.
	recovered = 5 * time.Second
)

// run is one soak under way.
type run struct {
	Options
	fleet *Fleet
	began time.Time

	mu      sync.Mutex
	faults  []string
	refused map[string]string // requests that were said not to have run
	calls   map[string]int    // by outcome
	config  time.Time         // when the version in force was put
	store   time.Time         // until then the store is or was not sound
}

// Run plays a seed and returns what was broken.
func Run(c context.Context, o Options) ([]string, error) {
	f, err := Start(o.Dir, o.Program, o.Boxes, o.Servers)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{Options: o, fleet: f, began: time.Now(), refused: map[string]string{}, calls: map[string]int{}, config: time.Now()}
	if err := r.allReady(c, settle); err != nil {
		return nil, err
	}
	r.began = time.Now()
	x, stop := context.WithCancel(c)
	var g sync.WaitGroup
	for i := range o.Callers {
		g.Go(func() { r.caller(x, i) })
	}
	r.play(c)
	if err := r.allReady(c, settle); err != nil {
		r.fault("after the last fault: %v", err)
	}
	stop()
	g.Wait()
	r.judge()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(o.Out, "seed %d: outcomes %v, %d broken\n", o.Seed, r.calls, len(r.faults))
	return r.faults, nil
}

func (r *run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%6.2fs ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// play injects the schedule's faults.
func (r *run) play(c context.Context) {
	var g sync.WaitGroup
	for _, f := range Schedule(r.Seed, r.For, r.Boxes, r.Servers) {
		select {
		case <-time.After(time.Until(r.began.Add(f.At))):
		case <-c.Done():
			return
		}
		fmt.Fprintln(r.Out, f)
		g.Go(func() { r.inject(f) })
	}
	g.Wait()
}

func (r *run) inject(f Fault) {
	end := time.Now().Add(f.For)
	switch f.Kind {
	case Kill:
		b := r.fleet.Boxes[f.Target]
		b.Harm(time.Now().Add(recovered))
		b.Signal(syscall.SIGKILL)
	case Term:
		r.fleet.Boxes[f.Target].Signal(syscall.SIGTERM)
	case Hup:
		r.fleet.Boxes[f.Target].Signal(syscall.SIGHUP)
	case Pause:
		b := r.fleet.Boxes[f.Target]
		b.Harm(end.Add(recovered))
		b.Signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		b.Signal(syscall.SIGCONT)
	case ServerLink:
		hold(r.fleet.Servers[f.Target].proxy, f)
	case Drain:
		if err := r.fleet.Drain(f.Target); err != nil {
			r.fault("a server could not be replaced: %v", err)
		}
	case Leave:
		if err := r.fleet.Leave(f.Target); err != nil {
			r.fault("a server could not be replaced: %v", err)
		}
	case TurnAway:
		s := r.fleet.Servers[f.Target]
		s.RefuseRequests(f.For)
		time.Sleep(f.For)
		s.RefuseRequests(0)
	case SayLimit:
		s := r.fleet.Servers[f.Target]
		s.ReportLimit(limitSaid)
		time.Sleep(f.For)
		s.ReportLimit("")
	case Config:
		r.configure()
	default:
		r.storeTrouble(end)
		r.injectStore(f)
	}
}

// limitSaid is the rate that an endpoint names, in calls a second.
const limitSaid = "1.5"

// injectStore makes the store, or a box's way to it, misbehave.
func (r *run) injectStore(f Fault) {
	s := r.fleet.Store
	switch f.Kind {
	case StoreLink:
		hold(r.fleet.Boxes[f.Target].store, f)
	case StoreDown:
		s.SetDown(true)
		time.Sleep(f.For)
		s.SetDown(false)
	case StoreLost:
		s.LoseAnswers(lostAnswers)
	case Compact:
		s.SetWatchesStalled(true)
		r.configure()
		s.Compact()
		s.SetWatchesStalled(false)
	}
}

// lostAnswers is how many changes the store does without an answer.
const lostAnswers = 3

// hold keeps a proxy in a fault's mode for its time.
func hold(p *Proxy, f Fault) {
	p.Set(f.Mode)
	time.Sleep(f.For)
	p.Set(Pass)
}

func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.Configure()
	r.config = time.Now()
}

func (r *run) storeTrouble(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end = end.Add(recovered); end.After(r.store) {
		r.store = end
	}
}

// current returns the version in the store, since when, and whether the store was
// sound for long enough to judge by it.
func (r *run) current() (version int, since time.Time, sound bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.version, r.config, time.Now().After(r.store)
}

// allReady waits until every box says that it is ready.
func (r *run) allReady(c context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, b := range r.fleet.Boxes {
		for !ready(b) {
			if time.Now().After(end) || c.Err() != nil {
				return fmt.Errorf("%s is not ready within %v", b.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// probe asks boxes with a time limit, so that one that is paused holds nobody up.
var probe = &http.Client{Timeout: time.Second}

func ready(b *Box) bool {
	a, err := probe.Get("http://" + b.Ready + standin.ReadyPath)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// judge compares what callers were told with what the servers saw.
func (r *run) judge() {
	for id, why := range r.refused {
		if n := r.fleet.Audit.Runs(id); n > 0 {
			r.faults = append(r.faults, fmt.Sprintf("%s was answered %s and ran %d times", id, why, n))
		}
	}
	r.faults = append(r.faults, r.fleet.Cloud.Violations()...)
}
