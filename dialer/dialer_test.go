package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/dialer"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/tunnel"
)

// conn is a connection that only names the way to the endpoint.
type conn struct {
	net.Conn
	way string
}

func (conn) Close() error { return nil }

// script is a box with links that behave as its file states.
type script struct {
	t       *testing.T
	d       *dialer.Dialer
	started time.Time

	mu      sync.Mutex
	link    string // connected, refused, or silent
	witness string // the same for other endpoints
	others  tunnel.Outcome
	alone   bool
	asked   int  // tunnels asked for
	dials   int  // direct connections tried to the endpoint
	inUse   bool // this box holds connections to the endpoint
	lost    int  // calls of OnLost
	back    int  // calls of OnRecovered
}

// count increments a counter and returns what the other boxes and the links do.
func (s *script) count(n *int) (link, witness string, others tunnel.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
	return s.link, s.witness, s.others
}

func (s *script) dial(c context.Context, _, address string) (net.Conn, error) {
	n := 0
	counter := &n
	if address == "e" {
		counter = &s.dials
	}
	how, witness, _ := s.count(counter)
	if address != "e" {
		how = witness
	}
	switch how {
	case "silent":
		<-c.Done()
		return nil, c.Err()
	case "refused":
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return conn{way: "direct"}, nil
}

// Connect is that of the other boxes, which take a few milliseconds.
func (s *script) Connect(c context.Context, _ tunnel.Request) (net.Conn, tunnel.Outcome) {
	_, _, o := s.count(&s.asked)
	select {
	case <-time.After(5 * time.Millisecond):
	case <-c.Done():
		return nil, tunnel.NoAnswer
	}
	if o == tunnel.Connected {
		return conn{way: "tunnel"}, o
	}
	return nil, o
}

// Probe is Connect without a connection.
func (s *script) Probe(c context.Context, q tunnel.Request) tunnel.Outcome {
	_, o := s.Connect(c, q)
	return o
}

func (s *script) HasOthers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.alone
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
	r := &endpoint.Roster{}
	for _, id := range []string{"e", "other-1", "other-2"} {
		r.Put(endpoint.Endpoint{ID: id, Address: id, Service: "s"})
	}
	s := &script{t: t, link: "connected", witness: "connected", others: tunnel.Connected, started: time.Now()}
	s.d = dialer.New(s.dial, r, s, metrics.NewRegistry(), zerolog.Nop())
	s.d.OnLost = func(string) { s.count(&s.lost) }
	s.d.OnRecovered = func(string) { s.count(&s.back) }
	s.d.IsInUse = func(endpoint.Endpoint) bool { return s.inUse }
	defer func() { require.NoError(t, s.d.Stop(t.Context())) }()
	for l := bufio.NewScanner(f); l.Scan(); {
		if w := strings.Fields(l.Text()); len(w) > 0 && w[0] != "#" {
			s.step(w)
		}
	}
}

// outcomes maps the names in scripts to outcomes.
var outcomes = map[string]tunnel.Outcome{"connected": tunnel.Connected, "refused": tunnel.Refused, "failed": tunnel.Failed, "cut": tunnel.Cut, "in_use": tunnel.InUse}

func (s *script) step(w []string) {
	t, arg := s.t, w[len(w)-1]
	switch w[0] {
	case "link", "witness", "others":
		s.set(w[0], arg)
	case "wait":
		d, err := time.ParseDuration(arg)
		require.NoError(t, err)
		time.Sleep(d)
	case "connect": // the way that it takes, and the most time
		s.connect(w[1], w[2])
	case "refuses":
		_, refuses := s.d.Refuses(t.Context(), "e", "e", 25*time.Millisecond)
		require.Equal(t, arg == "yes", refuses, "%v", w)
	case "serve":
		_, o := s.d.Serve(t.Context(), tunnel.Request{Endpoint: "e", Address: w[1]})
		require.Equal(t, arg, o.String(), "%v", w)
	case "probe": // this box finds out whether the endpoint accepts connections
		require.Equal(t, arg, s.d.Probe(t.Context(), endpoint.Endpoint{ID: "e", Address: "e"}).String(), "%v", w)
	case "serve_probe": // another box does
		n, o := s.d.Serve(t.Context(), tunnel.Request{Endpoint: "e", Address: w[1], Probe: true, Incarnation: "e"})
		require.Nil(t, n)
		require.Equal(t, arg, o.String(), "%v", w)
	case "in_use":
		s.inUse = arg == "yes"
	case "record":
		require.Equal(t, "missing", arg)
		s.d.Roster.Remove("e")
	case "check":
		s.d.Check("e", "e", time.Now().Add(-time.Second))
	case "expect": // a number of something
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		counts := map[string]*int{"asked": &s.asked, "dials": &s.dials, "lost": &s.lost, "back": &s.back}
		require.Equal(t, w[2], strconv.Itoa(*counts[w[1]]), "%v", w)
		*counts[w[1]] = 0
	default:
		t.Fatalf("no step %q", w)
	}
}

func (s *script) set(what, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch what {
	case "link":
		s.link = how
	case "witness":
		s.witness = how
	default:
		s.others, s.alone = outcomes[how], how == "none"
	}
}

func (s *script) connect(way, most string) {
	limit, err := time.ParseDuration(most)
	require.NoError(s.t, err)
	began := time.Now()
	n, err := s.d.Connect(s.t.Context(), "e", "e")
	require.LessOrEqual(s.t, time.Since(began), limit, "%s after %v", way, time.Since(s.started))
	got := "refused"
	switch c, ok := n.(conn); {
	case ok:
		got = c.way
	case !errors.Is(err, syscall.ECONNREFUSED):
		got = "unreached"
	}
	require.Equal(s.t, way, got, "after %v", time.Since(s.started))
}
