// Package scenario tests the guarantees of the system under failures. Its tests are testscript scripts
// that start real processes, inject faults and check what callers observe.
package scenario

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/load"
	"birchlink.dev/birchlink/operator"
	standengine "birchlink.dev/birchlink/stand/engine"
	"birchlink.dev/birchlink/stand/faults"
	"birchlink.dev/birchlink/stand/service"
)

// commands are the commands of the scripts. The comment of each function shows the arguments.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet": cmdFleet, "notice": cmdNotice, "load": cmdLoad, "await": cmdAwait,
	"send": cmdSend, "tokens": cmdTokens, "end": cmdEnd, "resume": cmdResume, "ticket": cmdTicket,
	"signal": cmdSignal, "restart": cmdRestart, "fault": cmdFault, "cut": cmdCut, "join": cmdJoin,
	"runs": cmdRuns, "recomputed": cmdRecomputed, "where": cmdWhere, "mark": cmdMark, "unchanged": cmdUnchanged,
	"put": cmdPut, "calls": cmdCalls, "logged": cmdLogged, "order": cmdOrder, "pause": cmdPause, "release": cmdRelease,
}

func TestQuick(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/quick", Setup: setup, Cmds: commands})
}

// signal BOX KILL|STOP|CONT|TERM|HUP
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	s := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[args[1]]
	w := environmentOf(ts)
	if s == syscall.SIGKILL {
		if err := w.SaveAudit(w.c, args[0]); err != nil {
			ts.Logf("audit of %s not kept: %v", args[0], err)
		}
	}
	ts.Check(w.Signal(args[0], s))
	if s == syscall.SIGKILL {
		p, err := w.Get(args[0])
		ts.Check(err)
		<-p.Exited()
	}
}

// restart BOX: restarts a process that was killed or has exited
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(environmentOf(ts).Restart(args[0]))
}

// fault STAND NAME [left=N at=N delay=D match=S]: sets a fault of a stand-in; left=0 ends the fault
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args[2:])
	f := faults.Fault{Name: args[1], Remaining: parseInt(ts, valueOr(m, "left", "-1")), TokenIndex: parseInt(ts, valueOr(m, "at", "0")), Match: m["match"]}
	f.Delay = parseDuration(ts, valueOr(m, "delay", "0s"))
	ts.Check(w.InjectFault(w.c, args[0], f))
}

// cut A B: partitions two entry boxes from each other
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(environmentOf(ts).SetPartitioned(args[0], args[1], true))
}

// join A B: ends the partition of two entry boxes
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(environmentOf(ts).SetPartitioned(args[0], args[1], false))
}

// runs N NAME...: the calls ran N times in total, by the audits of the stand-ins
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	w := environmentOf(ts)
	a, n := w.completeAudit(ts), 0
	for _, name := range args[1:] {
		id := callOf(ts, name).id
		n += len(a.Service[id])
		for _, r := range a.Engine[id] {
			if r.From == 0 && r.Tokens > 0 {
				n++
			}
		}
	}
	if n != parseInt(ts, args[0]) {
		ts.Fatalf("%v ran %d times, not %s", args[1:], n, args[0])
	}
}

// where NAME VARIABLE: sets a variable to the name of the engine that runs a call, or ran it last
func cmdWhere(ts *testscript.TestScript, _ bool, args []string) {
	w, id := environmentOf(ts), callOf(ts, args[0]).id
	name, last := "", -1
	waitUntil(ts, "run of "+args[0], func() bool {
		for _, p := range w.Processes("engine") {
			a := load.ReadAudit(w.c, []string{p.Address}, nil)
			for _, r := range a.Engine[id] {
				if r.Attempt > last {
					name, last = p.Name, r.Attempt
				}
			}
		}
		return name != ""
	})
	ts.Setenv(args[1], name)
}

// recomputed N: at most N tokens were recomputed
func cmdRecomputed(ts *testscript.TestScript, _ bool, args []string) {
	a := environmentOf(ts).completeAudit(ts)
	if a.RecomputedTokens > parseInt(ts, args[0]) {
		ts.Fatalf("%d tokens were recomputed: %s", a.RecomputedTokens, engineRunsJSON(a))
	}
}

// completeAudit reads the audits of all stand-ins. It retries until none is unreadable: a box that is
// being reclaimed writes its audit to a file on exit.
func (env *environment) completeAudit(ts *testscript.TestScript) load.Audit {
	var a load.Audit
	waitUntil(ts, "every audit", func() bool {
		a = env.readAudit()
		return len(a.Unread) == 0
	})
	return a
}

// countRuns returns the number of runs in a stand-in's audit.
func countRuns(ts *testscript.TestScript, name string) int {
	w := environmentOf(ts)
	p, err := w.Get(name)
	ts.Check(err)
	a, err := http.Get("http://" + p.Address + "/audit")
	ts.Check(err)
	defer a.Body.Close()
	if p.Role == "service" {
		var rs []service.Run
		ts.Check(json.NewDecoder(a.Body).Decode(&rs))
		return len(rs)
	}
	var rs []standengine.Run
	ts.Check(json.NewDecoder(a.Body).Decode(&rs))
	return len(rs)
}

// mark STAND: records the stand-in's number of runs for the command unchanged
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	environmentOf(ts).runCounts[args[0]] = countRuns(ts, args[0])
}

// unchanged STAND: the stand-in has had no run since mark
func cmdUnchanged(ts *testscript.TestScript, neg bool, args []string) {
	n, marked := countRuns(ts, args[0]), environmentOf(ts).runCounts[args[0]]
	if (n == marked) == neg {
		ts.Fatalf("%s had %d runs and has %d", args[0], marked, n)
	}
}

// pause D: waits for the duration of a failure, such as the time that a process stays stopped
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	<-time.After(parseDuration(ts, args[0]))
}

// put BOX FILE base=N [editor=E]: puts a configuration; with ! the box must refuse it
func cmdPut(ts *testscript.TestScript, neg bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args[2:])
	e := operator.Edit{Base: uint64(parseInt(ts, m["base"])), Text: ts.ReadFile(args[1]), Editor: valueOr(m, "editor", "script")}
	var r configsync.Revision
	err := w.Admin(w.c, args[0], http.MethodPut, "/operator/config", e, &r)
	if neg {
		if err == nil {
			ts.Fatalf("the edit was accepted")
		}
		_, _ = ts.Stdout().Write([]byte(err.Error()))
		ts.Logf("refused: %v", err)
		return
	}
	ts.Check(err)
}

// calls KIND CALLER max=N: a caller made at most N calls of a kind to the key-value service
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	w, m := environmentOf(ts), parseFields(ts, args[2:])
	p, err := w.Get("kv")
	ts.Check(err)
	a, err := http.Get("http://" + p.Address + "/audit")
	ts.Check(err)
	defer a.Body.Close()
	var v map[string]map[string]int
	ts.Check(json.NewDecoder(a.Body).Decode(&v))
	if n := v[args[0]][args[1]]; n > parseInt(ts, m["max"]) {
		ts.Fatalf("%s called %s %d times", args[1], args[0], n)
	}
}

// logged BOX PATTERN: waits until a box's log matches
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	x := regexp.MustCompile(args[1])
	waitUntil(ts, "log line "+args[1], func() bool {
		b, err := os.ReadFile(logPath(environmentOf(ts), args[0]))
		return err == nil && x.Match(b)
	})
}

// order ENGINE fence=N WORKLOAD...: orders an engine to load workloads; with ! it must refuse
func cmdOrder(ts *testscript.TestScript, neg bool, args []string) {
	w := environmentOf(ts)
	p, err := w.Get(args[0])
	ts.Check(err)
	f := parseFields(ts, args[1:2])
	err = engine.NewClient("script").SetOrders(w.c, p.Address, engine.Orders{Fence: uint64(parseInt(ts, f["fence"])), Workloads: args[2:]})
	if (err != nil) != neg {
		ts.Fatalf("order: %v", err)
	}
}

// awaitStatus waits for a condition on a box's status.
func (env *environment) awaitStatus(ts *testscript.TestScript, args []string) {
	var ok func(operator.Status) bool
	switch args[0] {
	case "version":
		ok = func(s operator.Status) bool { return s.Version == uint64(parseInt(ts, args[2])) }
	case "members":
		ok = func(s operator.Status) bool { return len(s.Members) == parseInt(ts, args[2]) }
	case "stale":
		ok = func(s operator.Status) bool { return s.HorizonAge > 4*time.Second }
	case "leaving":
		ok = func(s operator.Status) bool {
			return slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Name == args[2] && e.State == fleet.Leaving })
		}
	case "gone":
		ok = func(s operator.Status) bool {
			return !slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Name == args[2] })
		}
	case "streams":
		ok = func(s operator.Status) bool { return s.Streams == parseInt(ts, args[2]) }
	case "duty":
		ok = func(s operator.Status) bool { return s.DutyFence >= uint64(parseInt(ts, args[2])) }
	case "loaded":
		ok = func(s operator.Status) bool {
			return slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Name == args[2] && e.Serves(args[3]) })
		}
	default:
		ts.Fatalf("unknown condition for await: %v", args)
	}
	if err := env.AwaitStatus(env.c, args[1], ok); err != nil {
		ts.Fatalf("%s: %v", strings.Join(args, " "), err)
	}
}

// engineRunsJSON returns the engines' runs in the audit as JSON.
func engineRunsJSON(a load.Audit) string {
	b, err := json.Marshal(a.Engine)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
