package termination_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/termination"
	"birchlink.dev/birchlink/tunnel"
)

func ExampleDetector() {
	r := &endpoint.Roster{}
	e := endpoint.Endpoint{ID: "e", Address: "127.0.0.1:1"}
	d := termination.Detector{Roster: r, Probe: func(context.Context, endpoint.Endpoint) tunnel.Outcome { return tunnel.Refused }}
	r.Put(e)
	fmt.Println(d.Check(context.Background(), e))
	r.Remove("e")
	fmt.Println(d.Check(context.Background(), e))
	// Output:
	// {running serves}
	// {ended refused}
}

// script is a box that knows one endpoint, in the states that its file states.
type script struct {
	t       *testing.T
	e       endpoint.Endpoint
	d       *termination.Detector
	held    bool
	heard   time.Time
	outcome tunnel.Outcome
	during  func() // happens during the next probe
	probes  int
}

// outcomes maps the names in scripts to outcomes.
var outcomes = map[string]tunnel.Outcome{
	"connected": tunnel.Connected, "refused": tunnel.Refused, "failed": tunnel.Failed, "no_answer": tunnel.NoAnswer, "in_use": tunnel.InUse,
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, p := range files {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, p) })
		})
	}
}

func run(t *testing.T, path string) {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	s := &script{t: t, e: endpoint.Endpoint{ID: "e", StartMillis: 1, Service: "s", Address: "a"}, outcome: tunnel.Connected}
	s.d = &termination.Detector{
		Roster: &endpoint.Roster{}, Holds: []termination.HoldsFunc{func(string, string) (time.Time, bool) { return s.heard, s.held }},
		Probe: func(context.Context, endpoint.Endpoint) tunnel.Outcome {
			s.probes++
			if s.during != nil {
				s.during()
			}
			return s.outcome
		},
	}
	s.d.Roster.Put(s.e)
	for r := bufio.NewScanner(f); r.Scan(); {
		if w := strings.Fields(r.Text()); len(w) > 0 && w[0] != "#" {
			s.step(w)
		}
	}
}

func (s *script) step(w []string) {
	t, arg := s.t, w[len(w)-1]
	switch w[0] {
	case "record": // what the record of the endpoint says now
		s.record(w[1:])
	case "connecting": // what an attempt to connect shows
		s.outcome = outcomes[arg]
	case "closing": // the endpoint closes the connections of this box during the next probe
		s.during = func() { s.held = false }
	case "opening": // the box connects during the next probe
		s.during = func() { s.held, s.heard = true, boottime.Now() }
	case "hears": // something arrives on a connection
		s.held, s.heard = true, boottime.Now()
	case "closed": // the connections of this box
		s.held = false
	case "answers": // to a request of this box
		s.d.RecordHeard(s.e.Incarnation())
	case "wait":
		d, err := time.ParseDuration(arg)
		require.NoError(t, err)
		time.Sleep(d)
	case "check":
		f := s.d.Check(t.Context(), s.e)
		require.Equal(t, w[1:], []string{f.Verdict.String(), string(f.Reason)}, "%v", w)
	case "remembered":
		require.Equal(t, arg == "yes", s.d.HasEnded(s.e.Incarnation()), "%v", w)
	case "in_use":
		require.Equal(t, arg == "yes", s.d.IsInUse(s.e), "%v", w)
	case "probes":
		require.Equal(t, arg, fmt.Sprint(s.probes), "%v", w)
	default:
		t.Fatalf("no step %q", w[0])
	}
}

func (s *script) record(w []string) {
	e := s.e
	switch w[0] {
	case "missing":
		s.d.Roster.Remove(e.ID)
		return
	case "serves":
	case "other_start":
		e.StartMillis++
	case "drains":
		e.Draining = true
		if len(w) > 1 {
			d, err := time.ParseDuration(w[1])
			require.NoError(s.t, err)
			e.DrainPeriod = d
		}
	}
	s.d.Roster.Put(e)
}
