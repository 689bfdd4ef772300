package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/stand/memstore"
)

// stopLimit is the limit of a planned stop in the boxes' settings.
const stopLimit = 5 * time.Second

// service is the name of the one service.
const service = "api"

// zones are the data centres over which boxes and servers are spread.
var zones = []string{"north", "south"}

// Box is one process of birchlinkd, which is started again when it ends.
type Box struct {
	Name    string
	Callers string
	Ready   string

	settings string
	program  string
	log      *os.File
	store    *Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	harmed time.Time // until then what callers see may be due to a fault
}

// Server is an endpoint with its proxy.
type Server struct {
	*standin.Server
	zone  string
	proxy *Proxy
	http  *http.Server
}

// Fleet is all that runs.
type Fleet struct {
	Dir     string
	Program string
	Store   *memstore.Store
	Audit   *standin.Audit
	Cloud   *standin.Cloud
	Boxes   []*Box
	Servers []*Server

	address string // of the store
	cloud   string
	serial  int
	version int
	https   []*http.Server
}

func serve(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// Start begins the platform, the servers and the boxes.
func Start(dir, program string, boxes, servers int) (*Fleet, error) {
	f := &Fleet{Dir: dir, Program: program, Store: &memstore.Store{}, Audit: &standin.Audit{}, Cloud: &standin.Cloud{}, version: 1}
	for _, p := range []struct {
		h  http.Handler
		to *string
	}{{standin.StoreHandler(f.Store), &f.address}, {f.Cloud, &f.cloud}} {
		s, a, err := serve(p.h)
		if err != nil {
			return nil, err
		}
		f.https = append(f.https, s)
		*p.to = a
	}
	f.Store.Set(standin.ConfigKey, standin.Config(f.version, service))
	for i := range servers {
		s, err := f.newServer(zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	for i := range boxes {
		b, err := f.newBox(i)
		if err != nil {
			return nil, err
		}
		f.Boxes = append(f.Boxes, b)
	}
	return f, nil
}

func (f *Fleet) newServer(zone string) (*Server, error) {
	f.serial++
	s := &Server{zone: zone, Server: &standin.Server{
		ID: fmt.Sprintf("i-%d", f.serial), Service: service, Slots: 64, Work: 5 * time.Millisecond, Events: 12, Audit: f.Audit,
	}}
	h, a, err := serve(s.Server)
	if err != nil {
		return nil, err
	}
	s.http = h
	if s.proxy, err = NewProxy(a); err != nil {
		return nil, err
	}
	f.Store.Set(s.Record(s.proxy.Address(), zone, "ready"))
	return s, nil
}

// free returns a port that nobody listens on.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *Fleet) newBox(i int) (*Box, error) {
	b := &Box{Name: fmt.Sprintf("box-%d", i), program: f.Program}
	var peers string
	for _, a := range []*string{&b.Callers, &b.Ready, &peers} {
		var err error
		if *a, err = free(); err != nil {
			return nil, err
		}
	}
	var err error
	if b.store, err = NewProxy(f.address); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`[box]
name = %s
data_centre = %s
[listen]
callers = %s
ready = %s
peers = %s
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
`, b.Name, zones[i%len(zones)], b.Callers, b.Ready, peers, b.store.Address(), f.cloud, stopLimit)
	b.settings = filepath.Join(f.Dir, b.Name+".ini")
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if b.log, err = os.Create(filepath.Join(f.Dir, b.Name+".log")); err != nil {
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
	c.Stdout, c.Stderr = b.log, b.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", b.Name, err)
	}
	b.cmd = c
	go func() {
		_ = c.Wait()
		time.Sleep(restartPause)
		// A box that does not come back is found by its callers.
		_ = b.start()
	}()
	return nil
}

// restartPause is how long an ended process stays down.
const restartPause = 100 * time.Millisecond

// Signal sends a signal to the process.
func (b *Box) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil && b.cmd.Process != nil {
		_ = b.cmd.Process.Signal(s)
	}
}

// Harm notes that callers of this box may see a fault until a time.
func (b *Box) Harm(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.harmed) {
		b.harmed = until
	}
}

// Harmed reports whether a fault was under way at or after a time.
func (b *Box) Harmed(since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.harmed.After(since)
}

// Drain lets a server leave as announced, and a new one come.
func (f *Fleet) Drain(i int) error {
	return f.leave(i, func(s *Server) { f.Store.Set(s.Record(s.proxy.Address(), s.zone, "draining")) })
}

// Leave lets a server leave that says so in its answers alone, and a new one come.
func (f *Fleet) Leave(i int) error { return f.leave(i, func(s *Server) { s.ReportDraining() }) }

// leave lets a server announce that it leaves, and a new one take its place.
func (f *Fleet) leave(i int, announce func(*Server)) error {
	s := f.Servers[i]
	n, err := f.newServer(s.zone)
	if err != nil {
		return err
	}
	f.Servers[i] = n
	announce(s)
	time.AfterFunc(drainTime, func() {
		f.Store.Delete("servers/" + s.ID)
		_ = s.http.Close()
		s.proxy.Close()
	})
	return nil
}

// drainTime is how long a server that leaves goes on serving.
const drainTime = 4 * time.Second

// Configure puts the next version into the store.
func (f *Fleet) Configure() int {
	f.version++
	f.Store.Set(standin.ConfigKey, standin.Config(f.version, service))
	return f.version
}

// Close ends everything that was started.
func (f *Fleet) Close() {
	for _, b := range f.Boxes {
		b.mu.Lock()
		b.closed = true
		b.mu.Unlock()
		b.Signal(syscall.SIGCONT)
		b.Signal(syscall.SIGKILL)
		b.store.Close()
		_ = b.log.Close()
	}
	for _, s := range f.Servers {
		_ = s.http.Close()
		s.proxy.Close()
	}
	for _, h := range f.https {
		_ = h.Close()
	}
}
