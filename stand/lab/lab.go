// Package lab runs a small fleet of real processes on loopback addresses. It can stop, kill and freeze
// the processes and partition the entry boxes. It is meant for experiments and tests only.
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

// The operator key and the secret among peers, the same in every lab.
const (
	OperatorKey = "operators-of-the-lab"
	peerSecret  = "peers-of-the-lab-0123"
)

// startTimeout bounds the time until a started process responds. It also bounds calls to processes
// and AwaitStatus.
const startTimeout = 20 * time.Second

// Process is one process of the fleet. Address serves callers on an entry box and all calls on a
// stand-in. Peers and Admin are set for entry boxes only. Log is the path of the log file.
type Process struct {
	Name       string
	Role       string
	DataCentre string
	Address    string
	Peers      string
	Admin      string
	Log        string

	ip       string
	args     []string
	cmd      *exec.Cmd
	link     *link
	exited   chan struct{}
	exitCode int
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

func (p *Process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code. It is valid once the channel of Exited is closed, and -1 if a signal
// terminated the process.
func (p *Process) ExitCode() int { return p.exitCode }

// Lab is a fleet of processes. Bin is the directory of the programs, Dir that of settings and logs.
type Lab struct {
	Bin     string
	Dir     string
	Options Options

	mu     sync.Mutex
	procs  map[string]*Process
	order  []string
	subnet int
	lastIP int
}

// Options describes the fleet. Entries is the number of entry boxes in each data centre. Engines and
// Services are started in each data centre as well. Config is the text of the configuration,
// StopNotice and StopLimit the [stop] settings of the entry boxes, and Policy their routing policy.
type Options struct {
	DataCentres   []string
	Entries       int
	Engines       []EngineSpec
	Services      []string
	Config        string
	TokenInterval time.Duration
	BoxListLag    time.Duration
	StopNotice    time.Duration
	StopLimit     time.Duration
	Policy        string
}

// EngineSpec describes one engine of each data centre. NoFence makes it accept orders without checking
// their fence. Slowdown multiplies the interval between tokens; 0 counts as 1.
type EngineSpec struct {
	Class       string
	Reclaimable bool
	Stopped     bool
	Slots       int
	NoFence     bool
	Loaded      []string
	Slowdown    int
}

// New returns a lab without processes. It runs the programs in bin, and writes settings and logs to
// dir.
func New(bin, dir string, o Options) *Lab {
	const subnets = 200 // leaves the rest of 127.0.0.0/8 for labs that need more than one
	return &Lab{Bin: bin, Dir: dir, Options: o, procs: map[string]*Process{}, subnet: 20 + rand.IntN(subnets)}
}

// Get returns the process with a name.
func (l *Lab) Get(name string) (*Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.procs[name]
	if !ok {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// Processes returns the processes with a role in the order in which they started, or all for "".
func (l *Lab) Processes(role string) []*Process {
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

// freeAddress returns an address with a free port on an IP address. Each process has an IP address of
// its own, so that no other connection on the machine can take the port before it listens.
func (l *Lab) freeAddress(ip string) (string, error) {
	c, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("find free port: %w", err)
	}
	defer c.Close()
	return c.Addr().String(), nil
}

// newIP returns an unused loopback address. The process ID is part of it, so that labs in different
// processes seldom share addresses.
func (l *Lab) newIP() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastIP++
	const perSubnet = 250
	return fmt.Sprintf("127.%d.%d.%d", l.subnet+l.lastIP/perSubnet, os.Getpid()%perSubnet+1, l.lastIP%perSubnet+1)
}

// startProcess starts the program of p and waits until the URL probe responds.
func (l *Lab) startProcess(p *Process, probe string) error {
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
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		p.exitCode = c.ProcessState.ExitCode()
		close(exited)
	}(p.cmd, p.exited)
	l.mu.Lock()
	if _, restarted := l.procs[p.Name]; !restarted {
		l.order = append(l.order, p.Name)
	}
	l.procs[p.Name] = p
	l.mu.Unlock()
	return waitUntilReachable(p, probe)
}

// waitUntilReachable polls a URL of a process until it gets any response.
func waitUntilReachable(p *Process, url string) error {
	const pollInterval = 20 * time.Millisecond
	h := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited; see %s", p.Name, p.Log)
		default:
		}
		if a, err := h.Get(url); err == nil {
			a.Body.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not respond; see %s", p.Name, p.Log)
}

// StartStandIn starts a stand-in of a kind, which is a subcommand of birchstand, with its arguments.
func (l *Lab) StartStandIn(name, role, dc, kind string, args ...string) (*Process, error) {
	p := &Process{Name: name, Role: role, DataCentre: dc, ip: l.newIP(), Log: filepath.Join(l.Dir, name+".log")}
	var err error
	if p.Address, err = l.freeAddress(p.ip); err != nil {
		return nil, err
	}
	p.args = append([]string{"birchstand", "--listen", p.Address, kind}, args...)
	return p, l.startProcess(p, "http://"+p.Address+"/audit")
}

// Restart waits until a process has exited, and starts it again with the same settings.
func (l *Lab) Restart(name string) error {
	p, err := l.Get(name)
	if err != nil {
		return err
	}
	<-p.exited
	if p.Role == "entry" {
		return l.startProcess(p, "http://"+p.Admin+"/live")
	}
	return l.startProcess(p, "http://"+p.Address+"/audit")
}

// Signal sends a signal to the process with a name.
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

// InjectFault sets a fault on a stand-in.
func (l *Lab) InjectFault(c context.Context, name string, f faults.Fault) error {
	p, err := l.Get(name)
	if err != nil {
		return err
	}
	return jsonhttp.New(p.Address, "lab", startTimeout).Do(c, http.MethodPost, "/control", f, nil)
}

func (l *Lab) auditFile(name string) string { return filepath.Join(l.Dir, name+".audit.json") }

// Audits returns the sources of the audits of the stand-ins with a role. They are the addresses of
// running processes and the paths of the files that terminated ones wrote.
func (l *Lab) Audits(role string) []string {
	var sources []string
	for _, p := range l.Processes(role) {
		_, err := os.Stat(l.auditFile(p.Name))
		if err == nil {
			sources = append(sources, l.auditFile(p.Name))
		}
		if err != nil || p.isRunning() {
			sources = append(sources, p.Address)
		}
	}
	return sources
}

// SaveAudit writes the audit of an engine or service to its file. Call it before killing the process.
// For other processes, SaveAudit does nothing.
func (l *Lab) SaveAudit(c context.Context, name string) error {
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

// SendNotice makes the cloud issue a reclaim notice.
func (l *Lab) SendNotice(c context.Context, n cloud.Notice) error {
	p, err := l.Get("cloud")
	if err != nil {
		return err
	}
	return jsonhttp.New(p.Address, "lab", startTimeout).Do(c, http.MethodPost, "/notices", n, nil)
}

// SetPartitioned breaks or restores the peer connections between two entry boxes.
func (l *Lab) SetPartitioned(a, b string, partitioned bool) error {
	p, err := l.Get(a)
	if err != nil {
		return err
	}
	q, err := l.Get(b)
	if err != nil {
		return err
	}
	p.link.setBlocked(q.ip, partitioned)
	q.link.setBlocked(p.ip, partitioned)
	return nil
}

// Admin calls the admin API of an entry box with the operator key.
func (l *Lab) Admin(c context.Context, box, method, path string, in, out any) error {
	p, err := l.Get(box)
	if err != nil {
		return err
	}
	h := jsonhttp.New(p.Admin, "lab", startTimeout)
	h.HTTP.Transport = bearer(OperatorKey)
	return h.Do(c, method, path, in, out)
}

// bearer is a transport that adds itself to each request as the bearer token.
type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

// AwaitStatus polls the status of an entry box until it satisfies ok. It fails after startTimeout.
func (l *Lab) AwaitStatus(c context.Context, box string, ok func(operator.Status) bool) error {
	const pollInterval = 20 * time.Millisecond
	c, cancel := context.WithTimeout(c, startTimeout)
	defer cancel()
	for {
		var s operator.Status
		if err := l.Admin(c, box, http.MethodGet, "/operator/status", nil, &s); err == nil && ok(s) {
			return nil
		}
		select {
		case <-c.Done():
			return fmt.Errorf("status of box %s did not meet the condition in time", box)
		case <-time.After(pollInterval):
		}
	}
}

// Close kills every process by its ID and waits until it has exited. It resumes stopped processes
// first.
func (l *Lab) Close() {
	for _, p := range l.Processes("") {
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
