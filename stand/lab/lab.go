// Package lab starts the real processes of a small fleet on loopback, and
// stops, kills, freezes and cuts them. It serves trials and tests only.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/operator"
	"birchlink.dev/birchlink/stand/faults"
)

// The keys of every lab.
const (
	OperatorKey = "operators-of-the-lab"
	secret      = "peers-of-the-lab-0123"
)

// startLimit is how long a process may take to answer.
const startLimit = 20 * time.Second

// Process is one running process. Callers, Peers and Admin are set for entry
// boxes, Address for stand-ins.
type Process struct {
	Name       string
	Role       string
	DataCentre string
	Address    string
	Peers      string
	Admin      string
	Log        string

	ip     string
	args   []string
	cmd    *exec.Cmd
	link   *link
	exited chan struct{}
	code   int
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

func (p *Process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Code returns how the process ended.
func (p *Process) Code() int { return p.code }

// Lab is a fleet of processes.
type Lab struct {
	Bin     string
	Dir     string
	Options Options

	mu    sync.Mutex
	procs map[string]*Process
	order []string
	net   int
	next  int
}

// Options says what fleet to start.
type Options struct {
	DataCentres []string
	Entries     int
	Engines     []EngineKind
	Services    []string
	Config      string
	TokenEvery  time.Duration
	BoxListLag  time.Duration
	StopNotice  time.Duration
	StopLimit   time.Duration
	Policy      string
}

// EngineKind is one engine of each data centre.
type EngineKind struct {
	Class       string
	Reclaimable bool
	Stopped     bool
	Slots       int
	NoFence     bool
	Loaded      []string
	Slower      int
}

// New returns a lab without processes. Bin holds the programs, dir takes the
// settings and logs.
func New(bin, dir string, o Options) *Lab {
	const nets = 200 // and a few more for a large lab
	return &Lab{Bin: bin, Dir: dir, Options: o, procs: map[string]*Process{}, net: 20 + rand.IntN(nets)}
}

// Get returns a process by name.
func (l *Lab) Get(name string) (*Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.procs[name]
	if !ok {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// All returns the processes with a role, in the order they started; all for "".
func (l *Lab) All(role string) []*Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ps []*Process
	for _, n := range l.order {
		if p := l.procs[n]; role == "" || p.Role == role {
			ps = append(ps, p)
		}
	}
	return ps
}

// address asks the system for a free port on an IP number of its own for each
// process, so that no other connection of the machine can take it meanwhile.
func (l *Lab) address(ip string) (string, error) {
	c, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find a port: %w", err)
	}
	defer c.Close()
	return c.Addr().String(), nil
}

func (l *Lab) ip() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	const perNet = 250
	return fmt.Sprintf("127.%d.%d.%d", l.net+l.next/perNet, os.Getpid()%perNet+1, l.next%perNet+1)
}

// start runs a program and waits until it answers.
func (l *Lab) start(p *Process, probe string) error {
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	p.cmd = exec.Command(filepath.Join(l.Bin, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		p.code = c.ProcessState.ExitCode()
		close(done)
	}(p.cmd, p.exited)
	l.mu.Lock()
	if _, again := l.procs[p.Name]; !again {
		l.order = append(l.order, p.Name)
	}
	l.procs[p.Name] = p
	l.mu.Unlock()
	return waitFor(p, probe)
}

// waitFor asks a process until it answers at all.
func waitFor(p *Process, url string) error {
	const every = 20 * time.Millisecond
	h := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(every) {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended; see %s", p.Name, p.Log)
		default:
		}
		if a, err := h.Get(url); err == nil {
			a.Body.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not answer; see %s", p.Name, p.Log)
}

// Stand starts a stand-in: its kind and its own arguments.
func (l *Lab) Stand(name, role, dc, kind string, args ...string) (*Process, error) {
	p := &Process{Name: name, Role: role, DataCentre: dc, ip: l.ip(), Log: filepath.Join(l.Dir, name+".log")}
	var err error
	if p.Address, err = l.address(p.ip); err != nil {
		return nil, err
	}
	p.args = append([]string{"birchstand", "--listen", p.Address, kind}, args...)
	return p, l.start(p, "http://"+p.Address+"/audit")
}

// Restart starts a process that has ended again, with the same settings.
func (l *Lab) Restart(name string) error {
	p, err := l.Get(name)
	if err != nil {
		return err
	}
	<-p.exited
	if p.Role == "entry" {
		return l.start(p, "http://"+p.Admin+"/live")
	}
	return l.start(p, "http://"+p.Address+"/audit")
}

// Signal sends a signal to a process.
func (l *Lab) Signal(name string, s syscall.Signal) error {
	p, err := l.Get(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	return nil
}

// Control sets a fault at a stand-in.
func (l *Lab) Control(c context.Context, name string, m faults.Mode) error {
	p, err := l.Get(name)
	if err != nil {
		return err
	}
	return jsonhttp.New(p.Address, "lab", startLimit).Do(c, http.MethodPost, "/control", m, nil)
}

func (l *Lab) auditFile(name string) string { return filepath.Join(l.Dir, name+".audit.json") }

// Audits returns where the audits of a role's stand-ins are to be read: at
// their addresses, and in the files that ended ones left.
func (l *Lab) Audits(role string) []string {
	var from []string
	for _, p := range l.All(role) {
		_, err := os.Stat(l.auditFile(p.Name))
		if err == nil {
			from = append(from, l.auditFile(p.Name))
		}
		if err != nil || p.running() {
			from = append(from, p.Address)
		}
	}
	return from
}

// KeepAudit saves the audit of a stand-in that is about to be killed.
func (l *Lab) KeepAudit(c context.Context, name string) error {
	p, err := l.Get(name)
	if err != nil || p.Role != "engine" && p.Role != "service" {
		return err
	}
	var v any
	if err := jsonhttp.New(p.Address, "lab", time.Second).Do(c, http.MethodGet, "/audit", nil, &v); err != nil {
		return err
	}
	return writeJSON(l.auditFile(name), v)
}

// Notice makes the cloud ask boxes to leave.
func (l *Lab) Notice(c context.Context, n cloud.Notice) error {
	p, err := l.Get("cloud")
	if err != nil {
		return err
	}
	return jsonhttp.New(p.Address, "lab", startLimit).Do(c, http.MethodPost, "/notices", n, nil)
}

// Cut breaks, or joins again, the peers' links between two entry boxes.
func (l *Lab) Cut(a, b string, cut bool) error {
	p, err := l.Get(a)
	if err != nil {
		return err
	}
	q, err := l.Get(b)
	if err != nil {
		return err
	}
	p.link.set(q.ip, cut)
	q.link.set(p.ip, cut)
	return nil
}

// Admin calls the operators' face of an entry box.
func (l *Lab) Admin(c context.Context, box, method, path string, in, out any) error {
	p, err := l.Get(box)
	if err != nil {
		return err
	}
	h := jsonhttp.New(p.Admin, "lab", startLimit)
	h.HTTP.Transport = bearer(OperatorKey)
	return h.Do(c, method, path, in, out)
}

type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

// Await asks a box for its status until it satisfies ok.
func (l *Lab) Await(c context.Context, box string, ok func(operator.Status) bool) error {
	const every = 20 * time.Millisecond
	c, cancel := context.WithTimeout(c, startLimit)
	defer cancel()
	for {
		var s operator.Status
		if err := l.Admin(c, box, http.MethodGet, "/operator/status", nil, &s); err == nil && ok(s) {
			return nil
		}
		select {
		case <-c.Done():
			return fmt.Errorf("box %s did not come to what was awaited", box)
		case <-time.After(every):
		}
	}
}

// Down ends every process, by its own id.
func (l *Lab) Down() {
	for _, p := range l.All("") {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if p.link != nil {
			p.link.listener.Close()
		}
	}
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
