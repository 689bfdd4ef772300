package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/stand/memstore"
)

// zones of the deployment pamoja-live, with its boxes and servers of each service in each.
var zones = []struct {
	name  string
	boxes int
}{{"kariakoo-hall", 3}, {"msasani-hall", 2}, {"ubungo-hall", 1}}

const (
	llm  = "llm7f2" // names of the services on the wire
	api  = "api91c"
	key  = "i9n73hh2b9wu3fexd9dn"
	host = "ficu95.example"
)

// record writes record.txt, a line for each thing that happened.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	began time.Time
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// workSpan is the time in which a server works on a stream, from its first event on.
type workSpan struct {
	server     *serverProcess
	arrived    time.Time // when the server got the request
	began      time.Time
	first      string    // number of its first event
	ended      time.Time // zero while it works
	isComplete bool      // it came to its end
}

// fleet is a small deployment: stand-ins of the store and the cloud, boxes and servers.
type fleet struct {
	*record
	dir     string
	program string
	store   *memstore.Store
	cloud   *standin.Cloud
	storeAt string
	cloudAt string
	version int // of the configuration

	hasLinks bool // in front of servers

	mu       sync.Mutex
	runs     map[string][]*serverProcess // servers that ran a request, by its ID
	unframed map[string]bool             // requests whose answers had no framing
	arrivals map[string]time.Time        // of requests at servers, the newest, by the ID of the request and that of the server
	spans    map[string][]*workSpan      // work on streams, by the ID of the request, in the order of its beginnings
	servers  []*serverProcess
	boxes    []*box
}

func newFleet(r *record, dir, program string) (*fleet, error) {
	f := &fleet{
		record: r, dir: dir, program: program, store: &memstore.Store{}, cloud: &standin.Cloud{},
		runs: map[string][]*serverProcess{}, unframed: map[string]bool{},
		spans: map[string][]*workSpan{}, arrivals: map[string]time.Time{},
	}
	var err error
	if f.storeAt, err = serve(standin.StoreHandler(f.store)); err != nil {
		return nil, err
	}
	f.cloudAt, err = serve(f.cloud)
	return f, err
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// route is a route of the configuration, in the words of PROTOCOL.md.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"path_prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int    `json:"timeout_ms"`
	SLOMs     int    `json:"slo_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	GapMs     int    `json:"gap_target_ms,omitempty"`
}

// routes are those of pamoja-live.
var routes = []route{
	{Name: "recap", Prefix: "/stream-recap/", Kind: "stream", TimeoutMs: 8000, SLOMs: 1200, Priority: 1, Service: llm, Attempts: 2, Sticky: true, Resumable: true, GapMs: 500},
	{Name: "commentary", Prefix: "/stream-commentary/", Kind: "stream", TimeoutMs: 15000, SLOMs: 800, Priority: 2, Service: llm, Attempts: 2, Sticky: true, GapMs: 500},
	{Name: "alert", Prefix: "/alert/", Kind: "mutating", TimeoutMs: 600, SLOMs: 100, Priority: 2, Service: api, Attempts: 1},
	{Name: "tick", Prefix: "/tick/", Kind: "idempotent", TimeoutMs: 600, SLOMs: 100, Priority: 2, Service: api, Attempts: 2},
}

// putConfig writes the next version of the configuration.
func (f *fleet) putConfig() error {
	f.version += 3
	rs := append([]route{}, routes...)
	for i := range rs {
		rs[i].Host = host
	}
	engine := map[string]any{"slots": 128, "kv_capacity": 264479, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": false, "stride": 3, "handle_s": 5.0}
	b, err := json.Marshal(map[string]any{
		"version": f.version, "routes": rs,
		"services": []any{
			map[string]any{"name": llm, "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": api, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200}},
	})
	if err != nil {
		return err
	}
	f.store.Set("op/config", string(b))
	f.add("the operator writes configuration %d", f.version)
	return nil
}

// box is an entry box: a birchlinkd process.
type box struct {
	name, zone, callers, ready, settings, log string

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
}

// boxSettings is what the platform makes of deploy/box.ini for pamoja-live.
const boxSettings = `[box]
name = %s
data_centre = %s
%s
link_mbps = 1000.0
[listen]
callers = %s
ready = %s
peers = %s
metrics = %s
[peers]
seeds = %s
[store]
address = %s
[cloud]
address = %s
duties = usage,scale
[stop]
limit = 8s
[retries]
ratio = 0.2
window = 10s
slack = 52
[quota]
window = 8s
overage = 0.1
slack = 72000
reserve = yes
return_times = yes
[duties]
lease = 3000ms
report_window = 5s
report_due = 10s
[balance]
endpoint_speeds = yes
[reclaim]
move_requests = yes
[admission]
deadline_check = yes
[log]
level = info
`

// freeAddresses returns n addresses of an IP number with unused ports.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (f *fleet) startBoxes() error {
	var peers []string
	var all [][]string
	for _, z := range zones {
		for n := range z.boxes {
			p := os.Getpid()
			a, err := freeAddresses(fmt.Sprintf("127.%d.%d.%d", 60+p/250%100, p%250, len(all)+1), 4)
			if err != nil {
				return err
			}
			f.boxes = append(f.boxes, &box{name: fmt.Sprintf("front-%s-%d", z.name, n+1), zone: z.name, callers: a[0], ready: a[1]})
			all, peers = append(all, a), append(peers, a[2])
		}
	}
	for i, b := range f.boxes {
		a := all[i]
		b.settings, b.log = filepath.Join(f.dir, b.name+".ini"), filepath.Join(f.dir, b.name+".log")
		seeds := strings.Join(peers[:min(3, len(peers))], ",")
		for _, first := range []bool{true, false} {
			line, path := "", b.settings+".again"
			if first {
				line, path = "first_start = yes", b.settings
			}
			text := fmt.Sprintf(boxSettings, b.name, b.zone, line, a[0], a[1], a[2], a[3], seeds, f.storeAt, f.cloudAt)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				return err
			}
		}
		if err := f.startBox(b); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startBox(b *box) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	log, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	settings := b.settings
	if b.cmd != nil {
		settings += ".again"
	}
	c := exec.Command(f.program, "--platform", settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	b.cmd = c
	f.add("box %s starts, process %d", b.name, c.Process.Pid)
	go func() {
		_ = c.Wait()
		f.add("box %s ends, process %d: %v", b.name, c.Process.Pid, c.ProcessState)
		time.Sleep(100 * time.Millisecond)
		_ = f.startBox(b)
	}()
	return nil
}

// awaitReady waits until all boxes say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, b := range f.boxes {
		for {
			a, err := http.Get("http://" + b.ready + "/birchlink/readiness")
			if err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// serverProcess is a server: a process that is started again under the same ID whenever it ends, unless it left.
type serverProcess struct {
	serverOptions
	zone string

	mu    sync.Mutex
	cmd   *exec.Cmd
	link  *link         // in front of the server; nil for none
	held  *os.File      // the listening socket of a server with Held
	left  bool          // it is not started again
	pause time.Duration // before it is
	born  string        // when its process started, in Unix milliseconds
}

// heldPause is how long a server with Held is down after a crash. Connections that come meanwhile wait, as for a server whose service
// manager or master process holds its socket. Others start again at once.
const heldPause = time.Second

// addServer starts a server.
func (f *fleet) addServer(o serverOptions, zone string) (*serverProcess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.Address = l.Addr().String()
	s := &serverProcess{serverOptions: o, zone: zone}
	if o.Held {
		if s.held, err = l.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
		s.pause = heldPause
	}
	l.Close()
	if f.hasLinks {
		if s.link, err = newLink(s.Address); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, f.startServer(s)
}

func (f *fleet) startServer(s *serverProcess) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return nil
	}
	arg, err := json.Marshal(s.serverOptions)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(self, "server", string(arg))
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if s.held != nil {
		c.ExtraFiles = []*os.File{s.held}
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	s.cmd = c
	go f.follow(s, c, bufio.NewScanner(out))
	return nil
}

// follow reads what a server's process says until it ends, and starts it again.
func (f *fleet) follow(s *serverProcess, c *exec.Cmd, r *bufio.Scanner) {
	for r.Scan() {
		w := strings.Fields(r.Text())
		switch w[0] {
		case "listens":
			f.add("server %s of version %s listens, process %d, born %s", s.ID, s.Version, c.Process.Pid, w[1])
			s.mu.Lock()
			s.born = w[1]
			s.mu.Unlock()
			f.putServer(s, "ready")
		case "run":
			f.mu.Lock()
			f.runs[w[1]] = append(f.runs[w[1]], s)
			f.arrivals[w[1]+" "+s.ID] = time.Now()
			f.mu.Unlock()
			f.add("server %s (process %d) runs %s %s", s.ID, c.Process.Pid, w[1], w[2])
		case "begins":
			f.mu.Lock()
			f.spans[w[1]] = append(f.spans[w[1]], &workSpan{server: s, arrived: f.arrivals[w[1]+" "+s.ID], began: time.Now(), first: w[2]})
			f.mu.Unlock()
			f.add("server %s begins the stream of %s with event %s", s.ID, w[1], w[2])
		case "stops", "ends":
			f.endSpan(s, w[1], w[0] == "ends")
			f.add("server %s %s its work on %s", s.ID, w[0], w[1])
		case "unframed":
			f.mu.Lock()
			f.unframed[w[1]] = true
			f.add("server %s sends the answer to %s without a length", s.ID, w[1])
			f.mu.Unlock()
		}
	}
	_ = c.Wait()
	s.mu.Lock()
	left, pause := s.left, s.pause
	s.mu.Unlock()
	f.add("server %s ends, process %d: %v", s.ID, c.Process.Pid, c.ProcessState)
	if left {
		return
	}
	time.Sleep(pause)
	if err := f.startServer(s); err != nil {
		f.add("server %s does not start: %v", s.ID, err)
	}
}

// endSpan records the end of the work of a server on a stream.
func (f *fleet) endSpan(s *serverProcess, id string, isComplete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.spans[id] {
		if v.server == s && v.ended.IsZero() {
			v.ended, v.isComplete = time.Now(), isComplete
			return
		}
	}
}

// putServer writes a server's entry, as the server does at its start and when its state changes.
func (f *fleet) putServer(s *serverProcess, state string) {
	s.mu.Lock()
	born := s.born
	s.mu.Unlock()
	address := s.Address
	if s.link != nil {
		address = s.link.address()
	}
	b, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": address, "zone": s.zone, "version": s.Version, "slots": s.Slots, "state": state, "cold_left_ms": 0, "seq": 1,
		"born": json.Number(born),
	})
	f.store.Set("servers/"+s.ID, string(b))
}

func (s *serverProcess) signal(v syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.cmd.Process.Signal(v)
}

// close ends all processes that this one started.
func (f *fleet) close() {
	for _, b := range f.boxes {
		b.mu.Lock()
		b.closed = true
		if b.cmd != nil {
			_ = b.cmd.Process.Kill()
		}
		b.mu.Unlock()
	}
	f.mu.Lock()
	ss := f.servers
	f.mu.Unlock()
	for _, s := range ss {
		s.mu.Lock()
		s.left = true
		_ = s.cmd.Process.Kill()
		s.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
}
