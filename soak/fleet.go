package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/stand/memstore"
)

// stopLimit is the graceful shutdown limit in the boxes' settings.
const stopLimit = 5 * time.Second

// serviceName is the only service of the configuration.
const serviceName = "api"

// versions are the software versions of servers, of which releases make one after the other that of new servers.
var versions = []string{"v1", "v2", "v3"}

// FirstStart says which processes of boxes are told that the whole fleet starts for the first time.
type FirstStart string

// Which processes are told so.
const (
	Never  FirstStart = "never"
	Once   FirstStart = "once" // the first ones
	Always FirstStart = "always"
)

// firstStarts has the setting of the first start of a box and that of later ones.
var firstStarts = map[FirstStart][2]string{Never: {"no", "no"}, Once: {"yes", "no"}, Always: {"yes", "yes"}}

// dataCentres are the data centres over which boxes and servers are spread.
var dataCentres = []string{"north", "south"}

// Box is one birchlinkd process. It is restarted whenever it exits.
type Box struct {
	Name          string
	CallerAddress string
	ReadyAddress  string

	settings   string
	restart    string // settings of the starts after the first one
	program    string
	logFile    *os.File
	storeProxy *Proxy
	peerProxy  *Proxy

	expectedFaults

	mu       sync.Mutex
	cmd      *exec.Cmd
	closed   bool
	stopping bool        // the process has ended or was sent SIGTERM
	termed   []time.Time // when processes of the box were first sent SIGTERM
}

// expectedFaults is the time until which callers may see failures.
type expectedFaults struct {
	mu    sync.Mutex
	until time.Time
}

// ExpectFaultsUntil allows callers to see failures until a time. An earlier time than the current one has no effect.
func (e *expectedFaults) ExpectFaultsUntil(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.until) {
		e.until = until
	}
}

// FaultySince reports whether callers may have seen failures after a time.
func (e *expectedFaults) FaultySince(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.until.After(since)
}

// Server is an endpoint behind a fault-injecting proxy.
type Server struct {
	*standin.Server
	lossy      expectedFaults // of its link, and its end
	severed    expectedFaults // the same, but for links that carry small pieces
	closedLink expectedFaults // a link to it has closed connections in order
	endless    expectedFaults // it sends bytes without end
	busy       expectedFaults // it is silent, refuses requests or says that it may
	leaving    expectedFaults // it has said when it ends, so that its runs are moved or resumed
	dataCentre string
	proxy      *Proxy
	httpServer *http.Server
}

// Fleet is a set of boxes and endpoints with the stand-in store and cloud API that they use.
type Fleet struct {
	Dir     string
	Program string
	Store   *memstore.Store
	Audit   *standin.Audit
	Cloud   *standin.Cloud
	Boxes   []*Box
	Servers []*Server

	serversMu sync.Mutex // guards the replacement of servers
	byID      map[string]*Server
	releases  int
	version   string // of the servers that start

	appeared   int // number of further versions that appeared
	firstStart FirstStart

	engines *standin.Engines // nil if servers can't move runs

	storeAddress  string
	cloudAddress  string
	lastServerID  int
	configVersion int
	furtherRoutes int // of the next configuration versions
	httpServers   []*http.Server
}

// serve serves h on a free loopback port and returns the server and its address.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// Start starts the stand-ins, and the servers and the boxes of a run.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Dir: o.Dir, Program: o.Program, Store: &memstore.Store{}, Audit: &standin.Audit{}, Cloud: &standin.Cloud{}, configVersion: 1, version: versions[0],
		byID: map[string]*Server{}, firstStart: o.FirstStart,
	}
	if o.Moves {
		f.engines = &standin.Engines{HandleTTL: handleTTL}
	}
	for _, p := range []struct {
		h  http.Handler
		to *string
	}{{standin.StoreHandler(f.Store), &f.storeAddress}, {f.Cloud, &f.cloudAddress}} {
		s, a, err := serve(p.h)
		if err != nil {
			return nil, err
		}
		f.httpServers = append(f.httpServers, s)
		*p.to = a
	}
	f.putConfig()
	for i := range o.Servers {
		s, err := f.newServer(dataCentres[i%len(dataCentres)])
		if err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	for i := range o.Boxes {
		b, err := f.newBox(i)
		if err != nil {
			return nil, err
		}
		f.Boxes = append(f.Boxes, b)
	}
	return f, nil
}

func (f *Fleet) newServer(dc string) (*Server, error) { return f.newServerOf(f.version, dc) }

func (f *Fleet) newServerOf(version, dc string) (*Server, error) {
	f.lastServerID++
	s := &Server{dataCentre: dc, Server: &standin.Server{
		ID: fmt.Sprintf("i-%d", f.lastServerID), Service: serviceName, Version: version, Slots: slots, Work: 5 * time.Millisecond, Events: streamEvents, Audit: f.Audit, MarkRuns: true,
	}}
	h, a, err := serve(s.Server)
	if err != nil {
		return nil, err
	}
	s.httpServer = h
	if s.proxy, err = NewProxy(a); err != nil {
		return nil, err
	}
	if f.engines != nil {
		f.engines.Add(s.Server, s.proxy.Address())
		s.StreamWork = longestPause
		s.Crash = func() { f.Crash(s, Reset, crashLapse) }
	}
	f.byID[s.ID] = s
	f.Store.Set(s.Record(s.proxy.Address(), dc, "ready"))
	return s, nil
}

// freeAddresses returns n addresses with different unused ports. The IP address must be one from which nothing connects before the
// addresses are used: ports of outgoing connections come from the same range.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a port: %w", err)
		}
		defer l.Close() // not before the others are found: the port would be found again
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// boxIP returns the IP address of a box. Other processes that play soaks at the same time have others.
func boxIP(box int) string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+p/250%250, p%250, 1+box)
}

func (f *Fleet) newBox(i int) (*Box, error) {
	addresses, err := freeAddresses(boxIP(i), 3)
	if err != nil {
		return nil, err
	}
	b := &Box{Name: fmt.Sprintf("box-%d", i), CallerAddress: addresses[0], ReadyAddress: addresses[1], program: f.Program}
	peers := addresses[2]
	if b.storeProxy, err = NewProxy(f.storeAddress); err != nil {
		return nil, err
	}
	if b.peerProxy, err = NewProxy(peers); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`name = %s
data_centre = %s
[listen]
callers = %s
ready = %s
peers = %s
[peers]
advertise = %s
[store]
address = %s
[cloud]
address = %s
duties = usage
[stop]
limit = %v
[retries]
slack = 100
[duties]
report_window = 2s
report_due = 6s
%s`, b.Name, dataCentres[i%len(dataCentres)], b.CallerAddress, b.ReadyAddress, peers, b.peerProxy.Address(), b.storeProxy.Address(), f.cloudAddress, stopLimit, f.moveSettings())
	b.settings = filepath.Join(f.Dir, b.Name+".ini")
	b.restart = filepath.Join(f.Dir, b.Name+"-restart.ini")
	for i, file := range []string{b.settings, b.restart} {
		if err := os.WriteFile(file, fmt.Appendf(nil, "[box]\nfirst_start = %s\n%s", firstStarts[f.firstStart][i], text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
	}
	if b.logFile, err = os.Create(filepath.Join(f.Dir, b.Name+".log")); err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	return b, b.start()
}

func (b *Box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	c := exec.Command(b.program, "--platform", b.settings)
	c.Stdout, c.Stderr = b.logFile, b.logFile
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", b.Name, err)
	}
	b.cmd, b.settings, b.stopping = c, b.restart, false
	go func() {
		_ = c.Wait()
		b.mu.Lock()
		b.stopping = true
		b.mu.Unlock()
		time.Sleep(restartPause)
		// A box that fails to restart fails the readiness check and its callers' checks.
		_ = b.start()
	}()
	return nil
}

// restartPause is the time between the exit of a box's process and its restart.
const restartPause = 100 * time.Millisecond

// pid returns the ID of the box's process, or 0 before it was started.
func (b *Box) pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	return b.cmd.Process.Pid
}

// Signal sends s to the box's process, if it was started.
func (b *Box) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == syscall.SIGTERM && !b.stopping {
		b.stopping = true
		b.termed = append(b.termed, time.Now())
	}
	if b.cmd != nil && b.cmd.Process != nil {
		_ = b.cmd.Process.Signal(s)
	}
}

// sinceStop describes a time by the last SIGTERM to the box.
func (b *Box) sinceStop(at time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.termed) == 0 {
		return "before a SIGTERM"
	}
	return fmt.Sprintf("%.2fs after the SIGTERM", at.Sub(b.termed[len(b.termed)-1]).Seconds())
}

// lateShare is the last part of the graceful shutdown in which a box may cut requests at which servers work, and lateAfter the time after its
// start from which requests may not be cut.
const (
	lateShare = stopLimit / 6
	lateAfter = 3 * time.Second
)

// MayCut reports whether the box may cut a request, wholly sent and cut at these times, at which a server works since the box has been told to
// stop.
func (b *Box) MayCut(sent, cut time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.termed, func(t time.Time) bool {
		return !sent.After(t.Add(lateAfter)) && !cut.Before(t.Add(stopLimit-lateShare)) && cut.Before(t.Add(stopLimit+hostMargin))
	})
}

// expectLinkFault records that a link to the server has a fault until a time.
func (s *Server) expectLinkFault(m Mode, until time.Time) {
	s.lossy.ExpectFaultsUntil(until)
	if m != Pieces {
		s.severed.ExpectFaultsUntil(until)
	}
}

// Drain marks a server as draining in its record and starts a replacement.
func (f *Fleet) Drain(i int) error {
	if f.engines == nil {
		return f.replaceServer(i, drainTime, func(s *Server) { f.Store.Set(s.Record(s.proxy.Address(), s.dataCentre, "draining")) })
	}
	return f.replaceServer(i, leaveTime+leaveSlack, func(s *Server) {
		s.leaving.ExpectFaultsUntil(time.Now().Add(time.Hour))
		f.Store.Set(s.LeavingRecord(s.proxy.Address(), s.dataCentre, leaveTime))
	})
}

// DrainByAnswer makes a server report in its answers, but not in its record, that it is draining, and
// starts a replacement.
func (f *Fleet) DrainByAnswer(i int) error {
	return f.replaceServer(i, drainTime, func(s *Server) { s.ReportDraining() })
}

// replaceServer starts a replacement for a server, calls announce for the old one and stops it after
// a time. It does nothing if there are no longer that many servers.
func (f *Fleet) replaceServer(i int, after time.Duration, announce func(*Server)) error {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if i >= len(f.Servers) {
		return nil
	}
	s := f.Servers[i]
	n, err := f.newServer(s.dataCentre)
	if err != nil {
		return err
	}
	f.Servers[i] = n
	announce(s)
	time.AfterFunc(after, func() { f.end(s, Reset, 0) })
	return nil
}

// Crash ends the process of a server, whose connections are reset or closed by the kernel. Its record lapses later, and another server replaces
// it unless one has.
func (f *Fleet) Crash(s *Server, m Mode, lapse time.Duration) {
	f.end(s, m, lapse)
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	for i := range f.Servers {
		if f.Servers[i] != s {
			continue
		}
		// Without a port there is no replacement, which callers notice.
		if n, err := f.newServer(s.dataCentre); err == nil {
			f.Servers[i] = n
		}
	}
}

// end ends the process of a server. Its record is deleted after a time.
func (f *Fleet) end(s *Server, m Mode, lapse time.Duration) {
	s.lossy.ExpectFaultsUntil(time.Now().Add(time.Hour)) // it does not return
	s.severed.ExpectFaultsUntil(time.Now().Add(time.Hour))
	if f.engines != nil {
		f.engines.End(s.Server)
	}
	s.proxy.End(m)
	_ = s.httpServer.Close()
	time.AfterFunc(lapse, func() { f.Store.Delete("servers/" + s.ID) })
}

// Server returns a server by its index, under which its replacement follows it.
func (f *Fleet) Server(i int) *Server {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	return f.Servers[i]
}

// Serving returns the number of servers of a version that have not announced their end.
func (f *Fleet) Serving(version string) int {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	n := 0
	for _, s := range f.Servers {
		if s.Version == version {
			n++
		}
	}
	return n
}

// Release makes another version that of new servers, and replaces every other server within a time.
func (f *Fleet) Release(within time.Duration) error {
	f.serversMu.Lock()
	f.releases++
	f.version = versions[f.releases%len(versions)]
	first, n := f.releases%2, len(f.Servers)
	f.serversMu.Unlock()
	for i := first; i < n; i += 2 {
		if err := f.Drain(i); err != nil {
			return err
		}
		time.Sleep(within / time.Duration(n))
	}
	return nil
}

// Appear starts a further server, of the version that appeared last or of another one.
func (f *Fleet) Appear(i int, same bool) (*Server, error) {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if !same {
		f.appeared++
	}
	s, err := f.newServerOf(fmt.Sprintf("v%d", len(versions)+f.appeared), dataCentres[i%len(dataCentres)])
	if err == nil {
		f.Servers = append(f.Servers, s)
	}
	return s, err
}

// Leave ends a server without a replacement.
func (f *Fleet) Leave(s *Server) {
	f.serversMu.Lock()
	f.Servers = slices.DeleteFunc(f.Servers, func(o *Server) bool { return o == s })
	f.serversMu.Unlock()
	f.end(s, Reset, 0)
}

// drainTime is how long a draining server continues to serve. If runs can be moved, it says that leaveTime is left and serves for
// leaveSlack longer.
const (
	drainTime  = 4 * time.Second
	leaveTime  = 700 * time.Millisecond
	leaveSlack = 150 * time.Millisecond
)

// Servers that can move runs have slots, keep the memory of runs for handleTTL, and pause up to longestPause between events. The records
// of those that crash during a move lapse after crashLapse.
const (
	slots        = 64
	handleTTL    = 3 * time.Second
	longestPause = 40 * time.Millisecond
	crashLapse   = time.Second
)

// moveSettings returns the settings of boxes that move runs.
func (f *Fleet) moveSettings() string {
	if f.engines == nil {
		return ""
	}
	return "[reclaim]\nmove_requests = yes\n"
}

// putConfig stores the configuration.
func (f *Fleet) putConfig() {
	var e *standin.EngineConfig
	if f.engines != nil {
		e = &standin.EngineConfig{Slots: slots, Moves: true, HandleS: handleTTL.Seconds(), Stride: 1}
	}
	f.Store.Set(standin.ConfigKey, standin.LargeConfig(f.configVersion, serviceName, f.furtherRoutes, e))
}

// PutNextConfig stores the next configuration version and returns its number.
func (f *Fleet) PutNextConfig() int {
	f.configVersion++
	f.putConfig()
	return f.configVersion
}

// Close stops the boxes, the servers and the stand-ins.
func (f *Fleet) Close() {
	for _, b := range f.Boxes {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		b.Signal(syscall.SIGCONT)
		b.Signal(syscall.SIGKILL)
		b.storeProxy.Close()
		b.peerProxy.Close()
		_ = b.logFile.Close()
	}
	for _, s := range f.Servers {
		_ = s.httpServer.Close()
		s.proxy.Close()
	}
	for _, h := range f.httpServers {
		_ = h.Close()
	}
}
