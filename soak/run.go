package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/platform/standin"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // time in which faults are injected, without settleTime
	Boxes    int
	Servers  int
	Callers  int
	Dir      string // directory for settings and logs
	Program  string // path of birchlinkd
	Out      io.Writer
	Only     []Kind // faults to inject; none means all

	// PassOverGivenUp counts streams that a box gives up at an endpoint that leaves, while fewer than minServers of their version are
	// sound elsewhere, and does not report them.
	PassOverGivenUp bool
	Moves           bool // servers can move runs, and boxes make use of it

	// FirstStart says whether boxes are told that the fleet starts for the first time.
	FirstStart FirstStart
}

// Time limits of the checks.
const (
	// settleTime is the time after the last fault within which every box must be ready.
	settleTime = 12 * time.Second

	// configApplyTime is how long a box without faults may take to apply a new configuration
	// version; hostMargin allows for scheduling delays on the host.
	configApplyTime = 2 * time.Second
	hostMargin      = time.Second

	// contactTime is how long after a fault of links between boxes these may lack newer configurations.
	contactTime = 3 * time.Second

	// recoveryTime is how long callers may still see the effects of a fault after its end.
	recoveryTime = 5 * time.Second
)

// run is the state of one soak run.
type run struct {
	Options
	fleet *Fleet
	began time.Time

	mu               sync.Mutex
	violations       []string
	refused          map[string]string      // status codes of refused requests by id; these must not run
	undisturbed      map[string]slowRequest // by id, those that nothing but another attempt may end
	outcomes         map[string]int         // number of calls by outcome
	streams          streamCounts
	pairs            map[string]pairCounts // by how callers take streams up
	configuredAt     time.Time             // when the current version was stored
	storeFaultyUntil time.Time             // the store may fail, or be recovering, until this time
	stalledUntil     time.Time             // boxes may be out of contact, until this time
}

// Run starts a fleet, injects the faults of the seed's schedule and returns the violations found. The
// error is about the setup of the run.
func Run(c context.Context, o Options) ([]string, error) {
	f, err := Start(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{
		Options: o, fleet: f, began: time.Now(), refused: map[string]string{}, undisturbed: map[string]slowRequest{}, outcomes: map[string]int{},
		pairs: map[string]pairCounts{}, configuredAt: time.Now(),
	}
	if err := r.awaitReady(c, settleTime); err != nil {
		return nil, err
	}
	r.began = time.Now()
	x, stop := context.WithCancel(c)
	var g sync.WaitGroup
	g.Go(func() { r.watchMemory(x) })
	for i := range o.Callers {
		g.Go(func() { r.runCaller(x, i) })
	}
	r.injectFaults(c)
	if err := r.awaitReady(c, settleTime); err != nil {
		r.reportViolation("after the last fault: %v", err)
	}
	r.checkNewest(c)
	stop()
	g.Wait()
	r.checkAudits()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkStreams()
	for how, p := range r.pairs {
		fmt.Fprintf(o.Out, "seed %d: %s %+v\n", o.Seed, how, p)
	}
	if f.engines != nil {
		fmt.Fprintf(o.Out, "seed %d: moves %s\n", o.Seed, f.engines.Counts())
	}
	fmt.Fprintf(o.Out, "seed %d: outcomes %v, %d broken\n", o.Seed, r.outcomes, len(r.violations))
	return r.violations, nil
}

// reportViolation records a violation with the time since the start of the run.
func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%6.2fs ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// injectFaults injects the faults of the schedule and waits for their end.
func (r *run) injectFaults(c context.Context) {
	var g sync.WaitGroup
	for _, f := range Schedule(r.Seed, r.Duration, r.Boxes, r.Servers) {
		if len(r.Only) > 0 && !slices.Contains(r.Only, f.Kind) {
			continue
		}
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

// inject injects one fault and returns when it has ended.
func (r *run) inject(f Fault) {
	end := time.Now().Add(f.Duration)
	switch f.Kind {
	case Kill:
		b := r.fleet.Boxes[f.Target]
		b.ExpectFaultsUntil(time.Now().Add(recoveryTime))
		b.Signal(syscall.SIGKILL)
	case KillAll:
		for _, b := range r.fleet.Boxes {
			b.ExpectFaultsUntil(time.Now().Add(recoveryTime))
			b.Signal(syscall.SIGKILL)
		}
	case Term:
		r.fleet.Boxes[f.Target].Signal(syscall.SIGTERM)
	case Stop:
		r.stopAmidSlow(f)
	case Hup:
		r.fleet.Boxes[f.Target].Signal(syscall.SIGHUP)
	case Pause:
		pause(r.fleet.Boxes[f.Target], end)
	case Starve:
		r.starve(r.fleet.Boxes[f.Target], end)
	case BoxServerLink:
		r.cutBox(f, end)
	case Appear, ServerLink, Drain, DrainByAnswer, Release, RefuseCalls, ReportLimit, ReportBrittle, SilentServers, EndlessServer, IrregularServer,
		UnframedServer, Crash, Vacate, Forget, LossyServer:
		r.injectServer(f, end)
	case Hush, PeerLink, LossyPeers:
		r.injectStall(f, end)
	case Config:
		r.putNextConfig()
	case Storm:
		r.growConfig()
		for _, b := range r.fleet.Boxes {
			b.storeProxy.Limit(stormLink)
		}
		for time.Now().Before(end) {
			r.putNextConfig()
			time.Sleep(stormGap)
		}
	default:
		r.markStoreFaulty(end)
		r.injectStore(f)
	}
}

// pause stops a box until a time.
func pause(b *Box, end time.Time) {
	b.ExpectFaultsUntil(end.Add(recoveryTime))
	b.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(end))
	b.Signal(syscall.SIGCONT)
}

// Times for which a box that starves runs and does not run, in turn.
const (
	starvedRun   = 10 * time.Millisecond
	starvedPause = 20 * time.Millisecond
)

// starve lets a box run for a third of the time.
func (r *run) starve(b *Box, end time.Time) {
	b.ExpectFaultsUntil(end.Add(recoveryTime))
	for time.Now().Before(end) {
		b.Signal(syscall.SIGSTOP)
		time.Sleep(starvedPause)
		b.Signal(syscall.SIGCONT)
		time.Sleep(starvedRun)
	}
}

// cutBox changes one box's links to some servers, which the other boxes reach as before.
func (r *run) cutBox(f Fault, end time.Time) {
	pid := r.fleet.Boxes[f.Target].pid()
	opened := OpenedBy(pid) // takes long beside load
	if !time.Now().Before(end) {
		return
	}
	for i := range f.Count {
		s := r.fleet.Server(i)
		s.expectLinkFault(f.Mode, end.Add(hostMargin))
		if f.Mode == Closed {
			s.closedLink.ExpectFaultsUntil(end)
		}
		s.proxy.SetFor(pid, opened, f.Mode)
		defer func() {
			s.proxy.SetFor(0, nil, Pass)
			s.lossy.ExpectFaultsUntil(time.Now())
		}()
	}
	time.Sleep(time.Until(end))
}

// injectStall injects a fault of the links between boxes that ends at a time.
func (r *run) injectStall(f Fault, end time.Time) {
	r.mu.Lock()
	if until := end.Add(contactTime); until.After(r.stalledUntil) {
		r.stalledUntil = until
	}
	r.mu.Unlock()
	if f.Kind != Hush {
		applyLinkFault(r.fleet.Boxes[f.Target].peerProxy, f)
		return
	}
	// If all fell silent, boxes would miss each other and look elsewhere.
	pick := func() bool { return rand.IntN(2) == 0 }
	for i := range f.Count {
		b := r.fleet.Boxes[(f.Target+i)%len(r.fleet.Boxes)]
		b.peerProxy.Hush(pick)
		b.storeProxy.Hush(pick)
	}
}

// injectServer injects a fault of servers that ends at a time.
func (r *run) injectServer(f Fault, end time.Time) {
	s := r.fleet.Server(f.Target)
	var err error
	switch f.Kind {
	case ServerLink, LossyServer:
		s.expectLinkFault(f.Mode, end)
		applyLinkFault(s.proxy, f)
	case Drain:
		err = r.fleet.Drain(f.Target)
	case Vacate, Forget:
		err = r.vacate(f)
	case Appear:
		err = r.appear(f)
	case Crash:
		r.fleet.Crash(s, f.Mode, f.Duration)
	case DrainByAnswer:
		err = r.fleet.DrainByAnswer(f.Target)
	case Release:
		err = r.fleet.Release(f.Duration)
	case SilentServers:
		r.silenceServers(f)
	case EndlessServer:
		s.endless.ExpectFaultsUntil(end)
		c, stop := context.WithDeadline(context.Background(), end)
		defer stop()
		s.SendEndless(c, f.Form)
		<-c.Done()
	case IrregularServer:
		s.SendIrregular(f.Irregular)
		time.Sleep(f.Duration)
		s.SendIrregular(standin.Irregular{})
	case UnframedServer:
		s.SendIrregular(f.Irregular)
		time.Sleep(f.Duration)
		if f.Mode != "" {
			r.fleet.Crash(s, f.Mode, crashLapse)
		}
		s.SendIrregular(standin.Irregular{})
	default:
		report(s, f)
	}
	if err != nil {
		r.reportViolation("a server could not be replaced or added: %v", err)
	}
}

// vacate has a server announce its end if runs can be moved, whose moves go wrong.
func (r *run) vacate(f Fault) error {
	if !r.Moves {
		return nil
	}
	s := r.fleet.Server(f.Target)
	if f.Kind == Forget {
		s.SendIrregular(f.Irregular)
		time.Sleep(f.Duration)
	}
	if f.Move != standin.ContinuationRefused {
		s.BreakMoves(f.Move)
		return r.fleet.Drain(f.Target)
	}
	s.BreakMoves(standin.NoMoveFault)
	for i := 1; i <= r.Servers/2; i++ {
		r.fleet.Server((f.Target + i) % r.Servers).BreakMoves(f.Move)
	}
	return r.fleet.Drain(f.Target)
}

// silenceServers has servers send nothing for the time of a fault.
func (r *run) silenceServers(f Fault) {
	for i := range f.Count {
		s := r.fleet.Server((f.Target + i) % r.Servers)
		s.busy.ExpectFaultsUntil(time.Now().Add(f.Duration))
		s.SetSilent(true)
		defer s.SetSilent(false)
	}
	time.Sleep(f.Duration)
}

// report has a server report something about itself for the time of a fault.
func report(s *Server, f Fault) {
	s.busy.ExpectFaultsUntil(time.Now().Add(2 * f.Duration)) // what boxes were told lasts as long again
	switch f.Kind {
	case RefuseCalls:
		s.RefuseRequests(f.Duration)
		defer s.RefuseRequests(0)
	case ReportLimit:
		s.ReportLimit(reportedLimit)
		defer s.ReportLimit("")
	default:
		s.ReportBrittle(reportedRefusals)
		defer s.ReportBrittle("")
	}
	time.Sleep(f.Duration)
}

// reportedLimit is the rate limit that an endpoint reports, in calls per second.
const reportedLimit = "1.5"

// reportedRefusals is the rate of refusals that an endpoint reports to bear, in calls per second.
const reportedRefusals = "2"

// injectStore injects a fault of the store or of a box's link to it.
func (r *run) injectStore(f Fault) {
	s := r.fleet.Store
	switch f.Kind {
	case StoreLink:
		applyLinkFault(r.fleet.Boxes[f.Target].storeProxy, f)
	case StoreDown:
		s.SetDown(true)
		time.Sleep(f.Duration)
		s.SetDown(false)
	case StoreAnswersLost:
		s.LoseAnswers(lostAnswers)
	case Compact:
		s.SetWatchesStalled(true)
		r.putNextConfig()
		s.Compact()
		s.SetWatchesStalled(false)
	}
}

// lostAnswers is the number of changes that the store applies without answering.
const lostAnswers = 3

// applyLinkFault sets a proxy to the fault's mode for the fault's duration.
func applyLinkFault(p *Proxy, f Fault) {
	p.Set(f.Mode)
	time.Sleep(f.Duration)
	p.Set(Pass)
}

// stormRoutes is the number of further routes of a configuration that changes in a storm, each stormGap. From the first storm
// on, the link of each box from the store has stormLink bytes per second.
const (
	stormRoutes = 1400
	stormGap    = 80 * time.Millisecond
	stormLink   = 10e6 / 8
)

// growConfig adds routes to the next configuration versions.
func (r *run) growConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.furtherRoutes = stormRoutes
}

// putNextConfig stores the next configuration version and notes the time.
func (r *run) putNextConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.PutNextConfig()
	r.configuredAt = time.Now()
}

// markStoreFaulty marks the store as faulty until recoveryTime after end.
func (r *run) markStoreFaulty(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end = end.Add(recoveryTime); end.After(r.storeFaultyUntil) {
		r.storeFaultyUntil = end
	}
}

// currentVersion returns the configuration version in the store, when it was stored, and whether the
// store is free of faults and has recovered from earlier ones.
func (r *run) currentVersion() (version int, since time.Time, reliable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.fleet.configVersion, r.configuredAt, now.After(r.storeFaultyUntil) && now.After(r.stalledUntil)
}

// awaitReady waits until every box reports that it is ready, at most for limit.
func (r *run) awaitReady(c context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, b := range r.fleet.Boxes {
		for !isReady(b) {
			if time.Now().After(end) || c.Err() != nil {
				return fmt.Errorf("%s is not ready within %v", b.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// checkNewest checks that every box serves the route that only the newest configuration version has, at the latest settleTime after
// the last fault.
func (r *run) checkNewest(c context.Context) {
	end := time.Now().Add(settleTime)
	version, _, _ := r.currentVersion()
	for i, b := range r.fleet.Boxes {
		for n := 0; ; n++ {
			status, err := probeStatus(readyClient, b, version, fmt.Sprintf("newest-%d-%d-%d", r.Seed, i, n))
			if err == nil && status != http.StatusNotFound {
				break
			}
			if time.Now().After(end) || c.Err() != nil {
				r.reportViolation("after the last fault: %s does not know version %d within %v", b.Name, version, settleTime)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// readyClient has a timeout because a paused box accepts connections without answering.
var readyClient = httpstatus.NewClient(http.DefaultTransport, time.Second)

func isReady(b *Box) bool {
	a, err := readyClient.Get("http://" + b.ReadyAddress + standin.ReadyPath)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// checkBodies checks that no body of a slow request was altered, and that one was cut only because its attempt was given up for another one, or
// by a fault.
func (r *run) checkBodies() {
	for id, body := range r.fleet.Audit.Altered() {
		r.violations = append(r.violations, fmt.Sprintf("%s reached a server with the body %.80q", id, body))
	}
	for id, part := range r.fleet.Audit.Cut() {
		r.outcomes["slow: body cut"]++
		if q, ok := r.undisturbed[id]; ok && (runsOnce(q.path) || r.fleet.Audit.Runs(id) < 2) {
			r.violations = append(r.violations, fmt.Sprintf("%s (%v) was cut at a sound server after %q, not for another attempt", id, q, part))
		}
	}
}

// checkAudits checks that no refused request ran, no body was altered or cut and no run was at two servers, and adds the violations that the cloud stand-in
// recorded.
func (r *run) checkAudits() {
	for id, status := range r.refused {
		if n := r.fleet.Audit.Runs(id); n > 0 {
			r.violations = append(r.violations, fmt.Sprintf("%s was answered %s and ran %d times", id, status, n))
		}
	}
	r.checkBodies()
	r.violations = append(r.violations, r.fleet.Cloud.Violations()...)
	if r.fleet.engines == nil {
		return
	}
	for _, o := range r.fleet.engines.Overlaps() {
		if s := r.fleet.byID[o.Server]; !s.lossy.FaultySince(o.At.Add(-hostMargin)) {
			r.violations = append(r.violations, fmt.Sprintf("%6.2fs %s", o.At.Sub(r.began).Seconds(), o.Text))
		}
	}
}
