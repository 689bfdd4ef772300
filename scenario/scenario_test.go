// Package scenario proves the promises of the brief under failure: scripts in a
// small test language, run against real processes.
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

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/load"
	"birchlink.dev/birchlink/operator"
	standengine "birchlink.dev/birchlink/stand/engine"
	"birchlink.dev/birchlink/stand/faults"
	"birchlink.dev/birchlink/stand/service"
)

// commands are the words of the scripts; each has its form in its comment.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet": cmdFleet, "notice": cmdNotice, "load": cmdLoad, "await": cmdAwait,
	"send": cmdSend, "tokens": cmdTokens, "end": cmdEnd, "resume": cmdResume, "ticket": cmdTicket,
	"signal": cmdSignal, "restart": cmdRestart, "fault": cmdFault, "cut": cmdCut, "join": cmdJoin,
	"runs": cmdRuns, "recomputed": cmdRecomputed, "where": cmdWhere, "mark": cmdMark, "unchanged": cmdUnchanged,
	"put": cmdPut, "calls": cmdCalls, "logged": cmdLogged, "order": cmdOrder, "pause": cmdPause,
}

func TestQuick(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/quick", Setup: setup, Cmds: commands})
}

// signal BOX KILL|STOP|CONT|TERM
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	s := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[args[1]]
	w := worldOf(ts)
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

// restart BOX: starts again what was killed or has stopped.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).Restart(args[0]))
}

// fault STAND NAME [left=N at=N delay=D match=S]; left=0 ends it
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	w, m := worldOf(ts), fields(ts, args[2:])
	f := faults.Fault{Name: args[1], Remaining: number(ts, get(m, "left", "-1")), TokenIndex: number(ts, get(m, "at", "0")), Match: m["match"]}
	f.Delay = span(ts, get(m, "delay", "0s"))
	ts.Check(w.InjectFault(w.c, args[0], f))
}

// cut A B: breaks the peers' link between two entry boxes
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).SetPartitioned(args[0], args[1], true))
}

// join A B: mends it again
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).SetPartitioned(args[0], args[1], false))
}

// runs N NAME...: how often the calls ran together, by the stand-ins' audits
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	a, n := w.wholeAudit(ts), 0
	for _, name := range args[1:] {
		id := callOf(ts, name).id
		n += len(a.Service[id])
		for _, r := range a.Engine[id] {
			if r.From == 0 && r.Tokens > 0 {
				n++
			}
		}
	}
	if n != number(ts, args[0]) {
		ts.Fatalf("%v ran %d times, not %s", args[1:], n, args[0])
	}
}

// where NAME VARIABLE: the engine that runs a call
func cmdWhere(ts *testscript.TestScript, _ bool, args []string) {
	w, id := worldOf(ts), callOf(ts, args[0]).id
	for _, p := range w.Processes("engine") {
		a := load.ReadAudit(w.c, []string{p.Address}, nil)
		if len(a.Engine[id]) > 0 {
			ts.Setenv(args[1], p.Name)
			return
		}
	}
	ts.Fatalf("no engine runs %s", args[0])
}

// recomputed N: at most N tokens were computed again
func cmdRecomputed(ts *testscript.TestScript, _ bool, args []string) {
	a := worldOf(ts).wholeAudit(ts)
	if a.RecomputedTokens > number(ts, args[0]) {
		ts.Fatalf("%d tokens were computed again: %s", a.RecomputedTokens, replays(a))
	}
}

// wholeAudit reads every audit. One of a box that is just being taken is read
// again, from the file that it leaves.
func (w *world) wholeAudit(ts *testscript.TestScript) load.Audit {
	var a load.Audit
	until(ts, "every audit", func() bool {
		a = w.audit()
		return len(a.Unread) == 0
	})
	return a
}

// count returns how many runs a stand-in has had.
func count(ts *testscript.TestScript, name string) int {
	w := worldOf(ts)
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

// mark STAND: remembers how many runs it has had
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).marks[args[0]] = count(ts, args[0])
}

// unchanged STAND: it has had no run since the mark
func cmdUnchanged(ts *testscript.TestScript, neg bool, args []string) {
	n, was := count(ts, args[0]), worldOf(ts).marks[args[0]]
	if (n == was) == neg {
		ts.Fatalf("%s had %d runs and has %d", args[0], was, n)
	}
}

// pause D: lets time pass that a failure takes, such as how long a process is
// frozen
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	<-time.After(span(ts, args[0]))
}

// put BOX FILE base=N [editor=E]; with ! it must be refused
func cmdPut(ts *testscript.TestScript, neg bool, args []string) {
	w, m := worldOf(ts), fields(ts, args[2:])
	e := operator.Edit{Base: uint64(number(ts, m["base"])), Text: ts.ReadFile(args[1]), Editor: get(m, "editor", "script")}
	var r follower.Revision
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

// calls KIND CALLER max=N: how often a caller called the key-value service
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	w, m := worldOf(ts), fields(ts, args[2:])
	p, err := w.Get("kv")
	ts.Check(err)
	a, err := http.Get("http://" + p.Address + "/audit")
	ts.Check(err)
	defer a.Body.Close()
	var v map[string]map[string]int
	ts.Check(json.NewDecoder(a.Body).Decode(&v))
	if n := v[args[0]][args[1]]; n > number(ts, m["max"]) {
		ts.Fatalf("%s called %s %d times", args[1], args[0], n)
	}
}

// logged BOX PATTERN: waits until a box's log matches
func cmdLogged(ts *testscript.TestScript, _ bool, args []string) {
	x := regexp.MustCompile(args[1])
	until(ts, "log line "+args[1], func() bool {
		b, err := os.ReadFile(logOf(worldOf(ts), args[0]))
		return err == nil && x.Match(b)
	})
}

// order ENGINE fence=N WORKLOAD...; with ! it must be refused
func cmdOrder(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	p, err := w.Get(args[0])
	ts.Check(err)
	f := fields(ts, args[1:2])
	err = engine.NewClient("script").SetOrders(w.c, p.Address, engine.Orders{Fence: uint64(number(ts, f["fence"])), Workloads: args[2:]})
	if (err != nil) != neg {
		ts.Fatalf("order: %v", err)
	}
}

// awaitStatus waits for something in a box's status.
func (w *world) awaitStatus(ts *testscript.TestScript, args []string) {
	var ok func(operator.Status) bool
	switch args[0] {
	case "version":
		ok = func(s operator.Status) bool { return s.Version == uint64(number(ts, args[2])) }
	case "members":
		ok = func(s operator.Status) bool { return len(s.Members) == number(ts, args[2]) }
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
		ok = func(s operator.Status) bool { return s.Streams == number(ts, args[2]) }
	case "duty":
		ok = func(s operator.Status) bool { return s.DutyFence >= uint64(number(ts, args[2])) }
	case "loaded":
		ok = func(s operator.Status) bool {
			return slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Name == args[2] && e.Serves(args[3]) })
		}
	default:
		ts.Fatalf("nothing to await: %v", args)
	}
	if err := w.AwaitStatus(w.c, args[1], ok); err != nil {
		ts.Fatalf("%s: %v", strings.Join(args, " "), err)
	}
}

// replays lists the runs that went on from a later token.
func replays(a load.Audit) string {
	b, err := json.Marshal(a.Engine)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
