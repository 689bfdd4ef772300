package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/requesthash"
)

// randomSink finds calls after the end of the request, and concurrent ones.
type randomSink struct {
	recorder
	mu     sync.Mutex
	closed bool
	late   int
}

func (r *randomSink) Event(raw []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.late++
	}
	return r.recorder.Event(raw)
}

// Random endpoints that refuse, fail, break off, hang or are silent for a while, with moves, versions, credits and callers who leave:
// SUCCESSOR_SEEDS seeds from SUCCESSOR_FROM on, or a few.
func TestRandomSilences(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("SUCCESSOR_SEEDS"))
	from, _ := strconv.Atoi(os.Getenv("SUCCESSOR_FROM"))
	found := map[string][]int{}
	for seed := from; seed < from+max(n, 300); seed++ {
		var bad []string
		synctest.Test(t, func(t *testing.T) { bad = findViolations(t, uint64(seed)) })
		for _, b := range bad {
			found[b] = append(found[b], seed)
		}
	}
	for k, v := range found {
		t.Errorf("%s: %d seeds, first %v", k, len(v), v[:min(len(v), 8)])
	}
}

func findViolations(t *testing.T, seed uint64) (bad []string) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	kind := []string{"idempotent", "mutating", "stream", "stream resumable", "stream resumable", "stream resumable"}[rnd.IntN(6)]
	attempts := 1 + rnd.IntN(4)
	s := newPipeScript(t, strings.Fields(fmt.Sprint(kind, " ", attempts))...)
	if rnd.IntN(3) == 0 {
		s.f.Budget = settledBudget(budget.Limits{Slack: float64(rnd.IntN(4)), Window: time.Minute})
	}
	stream := strings.HasPrefix(kind, "stream")
	ms := func(n int) time.Duration { return time.Duration(rnd.IntN(n)+1) * time.Millisecond }
	var mu sync.Mutex
	working, ran, arrived := map[string]bool{}, 0, 0
	finished, returned := map[string]bool{}, false // endpoints that refused, broke or answered, and whether the request came back to one
	distinct := map[string]int{}
	moves := stream && rnd.IntN(2) == 0
	eng := (*catalog.Engine)(nil)
	var copyN int
	if moves {
		eng = &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000}
		results := []call.CopyResult{call.Copied, call.Copied, call.Copied, call.NoRoom, call.NoSuchRun}
		picks := make([]call.CopyResult, 200)
		for i := range picks {
			picks[i] = results[rnd.IntN(len(results))]
		}
		s.f.Moves = fakeMoves{n: &copyN, decode: func(n int, b string) call.Copy {
			if b == "none" {
				return call.Copy{Result: call.NoSuchRun}
			}
			c := call.Copy{Result: picks[n%200], Handle: fmt.Sprint("h", n)}
			if c.Result == call.NoSuchRun || c.Result == call.NoRoom && b != "last" {
				c.Handle = ""
			}
			if c.Result == call.NoSuchRun && b == "last" { // the run would go on: not modelled, so it is stopped
				c = call.Copy{Result: call.NoRoom, Handle: fmt.Sprint("h", n)}
			}
			return c
		}}
	}
	total := 1 + rnd.IntN(8)
	stops := map[string]chan struct{}{}
	script := ""
	for _, n := range []string{"a", "b", "c", "d"}[:1+rnd.IntN(4)] {
		// What the n-th request at the endpoint does.
		behaviour := rnd.IntN(8)
		first, gap := ms(600), ms(120)
		pauseAt, pauseFor := rnd.IntN(total+1), time.Duration(0)
		if rnd.IntN(2) == 0 {
			pauseFor = ms(6000)
		}
		pause2At, pause2For := rnd.IntN(total+1), ms(3000)
		script += fmt.Sprintf(" %s(b%d first %v gap %v pause %d %v %d %v)", n, behaviour, first, gap, pauseAt, pauseFor, pause2At, pause2For)
		s.add(n, func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			if strings.HasPrefix(q.URL.Path, "/copy") {
				mu.Lock()
				st := stops[n]
				isLast := strings.Contains(q.URL.RawQuery, "last=true")
				if isLast && st != nil {
					close(st)
					stops[n] = nil
				}
				mu.Unlock()
				switch {
				case isLast:
					writeAnswer(w, q, 200, "", "last")
				case st == nil:
					writeAnswer(w, q, 200, "", "none")
				default:
					writeAnswer(w, q, 200, "", "copy")
				}
				return
			}
			if q.URL.Path != "/x" {
				writeAnswer(w, q, 200, "", "ok")
				return
			}
			mu.Lock()
			arrived++
			distinct[n]++
			returned = returned || finished[n]
			mu.Unlock()
			sleep := func(d time.Duration) bool {
				select {
				case <-time.After(d):
					return true
				case <-gone:
					return false
				}
			}
			if behaviour == 0 { // refuses, perhaps late
				if !sleep(first + pauseFor) {
					return
				}
				mu.Lock()
				finished[n] = true
				mu.Unlock()
				writeAnswer(w, q, 503, "Not-Run: 1\r\n", "")
				return
			}
			mu.Lock()
			ran++
			working[n] = true
			st := make(chan struct{})
			stops[n] = st
			mu.Unlock()
			left := true
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				if !left {
					working[n], finished[n] = false, true
				}
				if stops[n] == st {
					stops[n] = nil
				}
			}()
			if behaviour == 1 && !stream || behaviour == 2 && !stream {
				if sleep(first + pauseFor) {
					left = false
					if behaviour == 1 {
						writeAnswer(w, q, 500, "", n)
					}
				}
				return
			}
			if !stream {
				if sleep(first + pauseFor) {
					left = false
					writeAnswer(w, q, 200, "", n)
				}
				return
			}
			last := 0
			_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
			wait := first
			for i := last + 1; i <= total; i++ {
				if i == pauseAt {
					wait += pauseFor
				}
				if i == pause2At {
					wait += pause2For
				}
				select {
				case <-st:
					left = false
					return // breaks
				case <-time.After(wait):
				case <-gone:
					return
				}
				if i == last+1 {
					writeHead(w, q)
				}
				if behaviour == 1 && i == total/2+1 { // breaks
					left = false
					return
				}
				if behaviour == 2 && i == total/2+1 { // hangs for good
					<-gone
					return
				}
				writeEvent(w, i, n)
				wait = gap
			}
			left = false
			writeEnd(w)
		})
	}
	versions := map[string]string{}
	for n := range s.serve {
		versions[n] = "v1"
	}
	if rnd.IntN(3) == 0 {
		for _, n := range []string{"a", "b", "c", "d"} {
			if e, ok := s.f.Roster.Get(n); ok && rnd.IntN(2) == 0 {
				e.Version, versions[n] = "v2", "v2"
				s.f.Roster.Put(e)
			}
		}
	}
	var begins []string
	s.f.OnBegin = func(_ *forward.Request, e endpoint.Endpoint) {
		mu.Lock()
		defer mu.Unlock()
		begins = append(begins, e.ID+e.Version)
	}
	deadline := 10 * time.Second
	c, cancel := context.WithCancel(t.Context())
	defer cancel()
	callerLeaves := rnd.IntN(5) == 0
	if callerLeaves {
		time.AfterFunc(ms(5000), cancel)
	}
	if moves {
		for _, n := range []string{"a", "b"} {
			if e, ok := s.f.Roster.Get(n); ok && rnd.IntN(2) == 0 {
				at, period := ms(2500), 320*time.Millisecond+ms(1000)
				go func() {
					time.Sleep(at)
					e.Draining, e.DrainPeriod = true, period
					s.f.Roster.Put(e)
					s.f.MoveAway(e)
				}()
			}
		}
	}
	sink := &randomSink{}
	cl := &call.Call{ID: "1", Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Body: []byte("body"), Arrived: boottime.Now()}
	q := forward.Request{
		Call: cl, Route: &s.route, Service: &catalog.Service{Name: "s", Engine: eng}, Account: &catalog.Account{Name: "a"}, Expires: boottime.Now().Add(deadline),
		Content: requesthash.HashOf("a", cl),
	}
	began := time.Now()
	_, err := s.f.Do(c, q, sink)
	took := time.Since(began)
	sink.mu.Lock()
	sink.closed = true
	sink.mu.Unlock()
	mu.Lock()
	var atWork []string
	for n, on := range working {
		s.mu.Lock()
		at, isLeft := s.left[n]
		s.mu.Unlock()
		if on && (!isLeft || at >= took-time.Millisecond) { // not left before, in favour of another
			atWork = append(atWork, n)
		}
	}
	_, repeats := s.f.Budget.Counts("s", boottime.Now())
	arrivals, runs, all := arrived, ran, len(distinct)
	isReturned := returned
	mu.Unlock()
	say := func(what string) {
		bad = append(bad, what)
		if os.Getenv("SUCCESSOR_VERBOSE") != "" {
			t.Logf("seed %d: %s: %s attempts %d moves %v total %d:%s; events %q from %q took %v err %v kind %s arrivals %v repeats %d work %v",
				seed, what, kind, attempts, moves, total, script,
				sink.events(), eventSources(&sink.recorder), took, err, kindOf(err), distinct, repeats, atWork)
		}
	}
	want := ""
	got := sink.events()
	for i := 1; i <= strings.Count(got, " ")+1 && got != ""; i++ {
		want = strings.TrimSpace(want + " " + strconv.Itoa(i))
	}
	if froms := strings.Fields(eventSources(&sink.recorder)); stream && sink.status == 200 {
		if len(begins) != 1 && kind != "stream" {
			say("OnBegin not once")
		}
		for _, n := range froms {
			if versions[n] != versions[froms[0]] {
				say("two versions in one stream")
				break
			}
		}
		if kind != "stream" && len(froms) > 0 && begins[0] != froms[0]+versions[froms[0]] {
			say("OnBegin with the wrong endpoint")
		}
	} else if len(begins) > 0 {
		say("OnBegin without events")
	}
	if sink.heads > 1 {
		say("two heads")
	}
	if got != want {
		say("events twice or out of order")
	}
	if err == nil && stream && strings.Count(got, " ")+1 != total && sink.status == 200 {
		say("complete but not whole")
	}
	if s.started > 1 {
		say("OnStart more than once")
	}
	if took > deadline+100*time.Millisecond {
		say("beyond the deadline")
	}
	if kind == "mutating" || kind == "stream" {
		if runs > 1 && !moves {
			say("two runs of what must not run twice")
		}
	}
	if !moves && all > attempts {
		// refused ones count too
		say("more endpoints than attempts")
	}
	if isReturned && !moves {
		say("again at an endpoint that had ended the request")
	}
	if arrivals-1 > repeats && !moves {
		say("an arrival without a credit")
	}
	if err != nil && kindOf(err) != "caller_gone" && took < deadline-10*time.Millisecond && !callerLeaves && len(atWork) > 0 {
		say("ended although an endpoint works on it")
	}
	var e *errkind.Error
	if errors.As(err, &e) && e.Kind.Response().Run == errkind.NotRun && runs > 0 {
		say("not run, but ran")
	}
	time.Sleep(30 * time.Second)
	s.f.Pool.Sweep()
	synctest.Wait()
	if sink.late > 0 {
		say("events after the end")
	}
	for n, on := range working {
		if _, closed := s.left[n]; on && !closed {
			say("left running")
		}
	}
	return bad
}
