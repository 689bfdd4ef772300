package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/load"
	"birchlink.dev/birchlink/stand/lab"
)

// bin is where TestMain put the programs.
var bin string

// both is the configuration of both deployments; scripts run elsewhere.
var both string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	d, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	bin = d
	if both, err = filepath.Abs("../examples/both.ini"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	c := exec.Command("go", append(append([]string{"build"}, raceFlags...), "-o", d, "../cmd/...")...)
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// world is the fleet of one script, with the calls under way.
type world struct {
	*lab.Lab
	c        context.Context
	document *config.Document
	calls    map[string]*call
	marks    map[string]int
	load     *loading
}

type loading struct {
	stop   context.CancelFunc
	done   chan struct{}
	report load.Report
}

// setup gives each script an empty world.
func setup(e *testscript.Env) error {
	c, cancel := context.WithCancel(context.Background())
	w := &world{c: c, calls: map[string]*call{}, marks: map[string]int{}}
	e.Values["world"] = w
	e.Defer(func() {
		cancel()
		if w.Lab != nil {
			w.Close()
		}
	})
	return nil
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value("world").(*world) }

// fields reads name=value arguments.
func fields(ts *testscript.TestScript, args []string) map[string]string {
	m := map[string]string{}
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("%q is not name=value", a)
		}
		m[k] = v
	}
	return m
}

func get(m map[string]string, k, d string) string {
	if v, ok := m[k]; ok {
		return v
	}
	return d
}

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func span(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}

// engineKinds are the words for engines in a script.
var engineKinds = map[string]lab.EngineSpec{
	"keep":  {Class: "new", Slots: 8},
	"take":  {Class: "new", Slots: 8, Reclaimable: true},
	"old":   {Class: "old", Slots: 8, Reclaimable: true, Slowdown: 2},
	"open":  {Class: "new", Slots: 8, NoFence: true},
	"spare": {Class: "new", Slots: 8, Reclaimable: true, Stopped: true},
}

// fleet dcs=a,b entries=2 engines=keep,take services=alerts config=FILE every=15ms
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	w, m := worldOf(ts), fields(ts, args)
	text := ""
	if m["config"] == "both" {
		b, err := os.ReadFile(both)
		ts.Check(err)
		text = string(b)
	} else {
		text = ts.ReadFile(get(m, "config", "config.ini"))
	}
	d, ms := config.Parse(1, []byte(text))
	if len(ms) > 0 {
		ts.Fatalf("configuration: %v", ms)
	}
	o := lab.Options{
		DataCentres: strings.Split(get(m, "dcs", "a"), ","), Entries: number(ts, get(m, "entries", "2")),
		Services: strings.Split(get(m, "services", "alerts"), ","), Config: text, Policy: "affinity",
		TokenInterval: span(ts, get(m, "every", "15ms")), BoxListLag: span(ts, get(m, "lag", "300ms")),
		StopNotice: span(ts, get(m, "stop_notice", "300ms")), StopLimit: span(ts, get(m, "stop_limit", "20s")),
	}
	for _, n := range strings.Split(get(m, "engines", "keep,take"), ",") {
		k, ok := engineKinds[n]
		if !ok {
			ts.Fatalf("no kind of engine %q", n)
		}
		k.Loaded = d.Workloads()
		o.Engines = append(o.Engines, k)
	}
	w.document = d
	w.Lab = lab.New(bin, ts.MkAbs("."), o)
	ts.Check(w.Start(w.c))
	ts.Check(w.AwaitLoaded(w.c))
}

// notice BOX|dc=NAME DURATION
func cmdNotice(ts *testscript.TestScript, _ bool, args []string) {
	n := cloud.Notice{In: span(ts, args[len(args)-1])}
	for _, a := range args[:len(args)-1] {
		if dc, ok := strings.CutPrefix(a, "dc="); ok {
			n.DataCentre = dc
			continue
		}
		n.Boxes = append(n.Boxes, a)
	}
	w := worldOf(ts)
	ts.Check(w.SendNotice(w.c, n))
}

// load start MIX RATE | load stop
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	if args[0] == "stop" {
		w.stopLoad(ts)
		return
	}
	rate, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	c, cancel := context.WithCancel(w.c)
	l := &loading{stop: cancel, done: make(chan struct{})}
	w.load = l
	p := load.Plan{Boxes: w.addresses("entry"), Mix: args[1], Rate: rate, Duration: time.Hour, Seed: 1, Document: w.document}
	go func() {
		defer close(l.done)
		load.Run(c, p, &l.report)
	}()
}

func (w *world) addresses(role string) []string {
	ps := w.Processes(role)
	as := make([]string, len(ps))
	for i, p := range ps {
		as[i] = p.Address
	}
	return as
}

func (w *world) audit() load.Audit {
	return load.ReadAudit(w.c, w.Audits("engine"), w.Audits("service"))
}

func (w *world) stopLoad(ts *testscript.TestScript) {
	w.load.stop()
	<-w.load.done
	w.load.report.Print(ts.Stdout())
	ts.Check(load.PrintVerdict(ts.Stdout(), &w.load.report, w.audit()))
}

// until asks f until it is true, or fails the script.
func until(ts *testscript.TestScript, what string, f func() bool) {
	const limit, every = 30 * time.Second, 20 * time.Millisecond
	for end := time.Now().Add(limit); !f(); {
		if time.Now().After(end) {
			ts.Fatalf("not within %v: %s", limit, what)
		}
		<-time.After(every)
	}
}

// await EVENT: waits until something that a check can see has come about.
//
//	await state BOX of=ENDPOINT is=leaving      await version BOX 2
//	await members BOX N                         await exited BOX
//	await stale BOX                             await sent N (of the load)
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	switch args[0] {
	case "exited":
		p, err := w.Get(args[1])
		ts.Check(err)
		<-p.Exited()
		if p.ExitCode() != 0 {
			ts.Fatalf("%s ended with %d", p.Name, p.ExitCode())
		}
	case "sent":
		n := number(ts, args[1])
		until(ts, "the load's requests", func() bool { return w.load.report.Len() >= n })
	default:
		w.awaitStatus(ts, args)
	}
}

func logOf(w *world, name string) string {
	return filepath.Join(w.Dir, name+".log")
}
