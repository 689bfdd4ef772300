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

// binDir is the directory of the programs that runTests builds.
var binDir string

// exampleConfig is the absolute path of the example with both deployments, because scripts run in their
// own directories.
var exampleConfig string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs and runs the tests.
func runTests(m *testing.M) int {
	d, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	binDir = d
	if exampleConfig, err = filepath.Abs("../examples/both.ini"); err != nil {
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

// environment is the state of one script: its fleet, its calls and its load.
type environment struct {
	*lab.Lab
	c         context.Context
	document  *config.Document
	calls     map[string]*call
	runCounts map[string]int
	load      *loadRun
}

// loadRun is generated load that runs in the background.
type loadRun struct {
	stop   context.CancelFunc
	done   chan struct{}
	report load.Report
}

// setup gives each script an empty environment and stops its fleet at the end.
func setup(e *testscript.Env) error {
	c, cancel := context.WithCancel(context.Background())
	w := &environment{c: c, calls: map[string]*call{}, runCounts: map[string]int{}}
	e.Values["world"] = w
	e.Defer(func() {
		cancel()
		if w.Lab != nil {
			w.Close()
		}
	})
	return nil
}

func environmentOf(ts *testscript.TestScript) *environment { return ts.Value("world").(*environment) }

// parseFields parses name=value arguments.
func parseFields(ts *testscript.TestScript, args []string) map[string]string {
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

// valueOr returns m[k], or d if it is not set.
func valueOr(m map[string]string, k, d string) string {
	if v, ok := m[k]; ok {
		return v
	}
	return d
}

func parseInt(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func parseDuration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}

// engineKinds maps the names that scripts use to kinds of engines.
var engineKinds = map[string]lab.EngineSpec{
	"keep":  {Class: "new", Slots: 8},
	"take":  {Class: "new", Slots: 8, Reclaimable: true},
	"old":   {Class: "old", Slots: 8, Reclaimable: true, Slowdown: 2},
	"open":  {Class: "new", Slots: 8, NoFence: true},
	"spare": {Class: "new", Slots: 8, Reclaimable: true, Stopped: true},
}

// fleet dcs=a,b entries=2 engines=keep,take services=alerts config=FILE every=15ms
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args)
	text := ""
	if m["config"] == "both" {
		b, err := os.ReadFile(exampleConfig)
		ts.Check(err)
		text = string(b)
	} else {
		text = ts.ReadFile(valueOr(m, "config", "config.ini"))
	}
	d, ms := config.Parse(1, []byte(text))
	if len(ms) > 0 {
		ts.Fatalf("configuration: %v", ms)
	}
	o := lab.Options{
		DataCentres: strings.Split(valueOr(m, "dcs", "a"), ","), Entries: parseInt(ts, valueOr(m, "entries", "2")),
		Services: strings.Split(valueOr(m, "services", "alerts"), ","), Config: text, Policy: "affinity",
		TokenInterval: parseDuration(ts, valueOr(m, "every", "15ms")), BoxListLag: parseDuration(ts, valueOr(m, "lag", "300ms")),
		StopNotice: parseDuration(ts, valueOr(m, "stop_notice", "300ms")), StopLimit: parseDuration(ts, valueOr(m, "stop_limit", "20s")),
	}
	for _, n := range strings.Split(valueOr(m, "engines", "keep,take"), ",") {
		k, ok := engineKinds[n]
		if !ok {
			ts.Fatalf("unknown kind of engine %q", n)
		}
		k.Loaded = d.Workloads()
		o.Engines = append(o.Engines, k)
	}
	w.document = d
	w.Lab = lab.New(binDir, ts.MkAbs("."), o)
	ts.Check(w.Start(w.c))
	ts.Check(w.AwaitLoaded(w.c))
}

// notice BOX|dc=NAME DURATION
func cmdNotice(ts *testscript.TestScript, _ bool, args []string) {
	n := cloud.Notice{In: parseDuration(ts, args[len(args)-1])}
	for _, a := range args[:len(args)-1] {
		if dc, ok := strings.CutPrefix(a, "dc="); ok {
			n.DataCentre = dc
			continue
		}
		n.Boxes = append(n.Boxes, a)
	}
	w := environmentOf(ts)
	ts.Check(w.SendNotice(w.c, n))
}

// load start MIX RATE | load stop
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	w := environmentOf(ts)
	if args[0] == "stop" {
		w.stopLoad(ts)
		return
	}
	rate, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	c, cancel := context.WithCancel(w.c)
	l := &loadRun{stop: cancel, done: make(chan struct{})}
	w.load = l
	p := load.Plan{Boxes: w.addresses("entry"), Mix: args[1], Rate: rate, Duration: time.Hour, Seed: 1, Document: w.document}
	go func() {
		defer close(l.done)
		load.Run(c, p, &l.report)
	}()
}

func (env *environment) addresses(role string) []string {
	ps := env.Processes(role)
	as := make([]string, len(ps))
	for i, p := range ps {
		as[i] = p.Address
	}
	return as
}

func (env *environment) readAudit() load.Audit {
	return load.ReadAudit(env.c, env.Audits("engine"), env.Audits("service"))
}

func (env *environment) stopLoad(ts *testscript.TestScript) {
	env.load.stop()
	<-env.load.done
	env.load.report.Print(ts.Stdout())
	ts.Check(load.PrintVerdict(ts.Stdout(), &env.load.report, env.readAudit()))
}

// waitUntil polls f until it returns true, and fails the script after 30 seconds.
func waitUntil(ts *testscript.TestScript, what string, f func() bool) {
	const limit, every = 30 * time.Second, 20 * time.Millisecond
	for end := time.Now().Add(limit); !f(); {
		if time.Now().After(end) {
			ts.Fatalf("timeout after %v: %s", limit, what)
		}
		<-time.After(every)
	}
}

// await CONDITION: waits until a condition is true.
//
//	await version BOX N                 await members BOX N
//	await stale BOX                     await streams BOX N
//	await leaving BOX ENDPOINT          await gone BOX ENDPOINT
//	await duty BOX FENCE                await loaded BOX ENDPOINT WORKLOAD
//	await exited BOX                    await sent N (requests of the load)
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	w := environmentOf(ts)
	switch args[0] {
	case "exited":
		p, err := w.Get(args[1])
		ts.Check(err)
		<-p.Exited()
		if p.ExitCode() != 0 {
			ts.Fatalf("%s ended with %d", p.Name, p.ExitCode())
		}
	case "sent":
		n := parseInt(ts, args[1])
		waitUntil(ts, "the load's requests", func() bool { return w.load.report.Len() >= n })
	default:
		w.awaitStatus(ts, args)
	}
}

func logPath(w *environment, name string) string {
	return filepath.Join(w.Dir, name+".log")
}
