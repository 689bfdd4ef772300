package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/platform/standin"
)

// callTimeout is the deadline that a call states; the HTTP client waits twice as long. maxCallPause
// bounds the random pause between two calls of a caller.
const (
	callTimeout  = 4 * time.Second
	maxCallPause = 60 * time.Millisecond
)

// oncePath is the path of requests that must not run twice.
const oncePath = "/once/x"

// runsOnce reports whether requests with a path must not run twice.
func runsOnce(path string) bool {
	return path == oncePath || path == fixedStreamPath || path == slowOncePath || path == slowFixedPath
}

// newCaller returns a client that keeps a number of connections to each box. Its responses may have any status, which is checked.
func newCaller(connections int) *http.Client {
	return &http.Client{
		Timeout: 2 * callTimeout, CheckRedirect: httpstatus.NoRedirect,
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true},
	}
}

// runCaller makes calls in sequence over keep-alive connections until c is done.
func (r *run) runCaller(c context.Context, n int) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(n)+2))
	h := newCaller(2)
	for i := 0; c.Err() == nil; i++ {
		b := r.fleet.Boxes[rnd.IntN(len(r.fleet.Boxes))]
		id := fmt.Sprintf("r-%d-%d-%d", r.Seed, n, i)
		switch k := rnd.IntN(10); {
		case k < 4:
			r.call(h, b, oncePath, id)
		case k < 7:
			r.call(h, b, "/again/x", id)
		case k < 8:
			r.stream(h, b, id, rnd, 0)
		case k < 9:
			r.stream(h, b, id, rnd, 1+rnd.IntN(streamEvents-1))
		default:
			r.probeVersion(h, b, id)
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxCallPause))))
	}
}

// countOutcome counts a call by its outcome, such as its status code.
func (r *run) countOutcome(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

// framingOf returns a prefix for the outcome of a call with an answer that was sent without a length or chunks.
func (r *run) framingOf(id string) string {
	if r.fleet.Audit.Unframed(id) {
		return "unframed "
	}
	return ""
}

// call makes one call and checks its answer.
func (r *run) call(h *http.Client, b *Box, path, id string) {
	q, err := standin.NewRequest(b.CallerAddress, path, id, callTimeout)
	if err != nil {
		r.reportViolation("%v", err)
		return
	}
	// With GetBody set, net/http may retry the request on its own.
	q.GetBody = nil
	began := time.Now()
	a, err := h.Do(q)
	if err != nil {
		r.checkNoAnswer(b, path, id, began, err)
		return
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	r.checkNotEndless(b, id, a, string(text))
	if err != nil {
		r.checkBrokenAnswer(b, id, began, err)
		return
	}
	r.countOutcome(r.framingOf(id) + fmt.Sprint(a.StatusCode))
	if a.StatusCode != http.StatusOK {
		r.checkLoss(b, path, id, "", began, began, callTimeout, fmt.Sprint(a.StatusCode, " ", string(text)))
	}
	switch {
	case a.StatusCode == http.StatusOK:
		r.checkAnswer(id, string(text), standin.Stamped(a.Header), began)
	case a.StatusCode == http.StatusServiceUnavailable, a.StatusCode == http.StatusTooManyRequests:
		r.recordRefusal(path, id, a.StatusCode)
	case a.StatusCode < http.StatusInternalServerError, httpstatus.Check(a.StatusCode) != nil:
		r.reportViolation("%s to %s: %d %s", id, b.Name, a.StatusCode, text)
	}
	r.checkRuns(path, id)
}

// recordRefusal records a refused request that must not run.
func (r *run) recordRefusal(path, id string, status int) {
	if !runsOnce(path) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = fmt.Sprint(status)
}

// checkRuns checks how often a request was run.
func (r *run) checkRuns(path, id string) {
	if n := r.fleet.Audit.Runs(id); n > 1 && runsOnce(path) {
		r.reportViolation("%s ran %d times", id, n)
	}
}

// checkNoAnswer handles a call that failed without an answer. A request that reached a server may
// fail so only while its box is faulty.
func (r *run) checkNoAnswer(b *Box, path, id string, began time.Time, err error) {
	r.countOutcome("no answer")
	ran := r.fleet.Audit.Runs(id)
	r.checkRuns(path, id)
	if ran > 0 && !b.FaultySince(began.Add(-hostMargin)) {
		r.reportViolation("%s to %s (%s) was passed on and not answered: %v", id, b.Name, path, err)
	}
}

// checkBrokenAnswer handles an answer that is no stream and was truncated, which may happen only while its box is faulty.
func (r *run) checkBrokenAnswer(b *Box, id string, began time.Time, err error) {
	r.countOutcome("broken")
	if !b.FaultySince(began.Add(-hostMargin)) {
		r.reportViolation("the answer of %s to %s was cut off: %v", b.Name, id, err)
	}
}

// checkAnswer checks that a successful answer is complete, belongs to this call and was stamped by a
// server.
func (r *run) checkAnswer(id, text string, stamped bool, began time.Time) {
	want := standin.ExpectedBody(id)
	switch {
	case text == want && stamped:
	case strings.HasPrefix(want, text) && stamped && r.wasClosedShort(id, began):
		r.countOutcome("answer closed in order before its end")
	default:
		r.reportViolation("%s got %q", id, strings.ReplaceAll(text, "\n", " "))
	}
}

// probeVersion calls a route that only the current configuration version has. A box without recent
// faults must serve the route within configApplyTime after the version is stored.
func (r *run) probeVersion(h *http.Client, b *Box, id string) {
	version, since, reliable := r.currentVersion()
	began := time.Now()
	status, err := probeStatus(h, b, version, id)
	if err != nil {
		r.countOutcome("probe cut")
		return
	}
	r.countOutcome(fmt.Sprintf("probe %d", status))
	due := began.Sub(since) > configApplyTime+hostMargin
	if status == http.StatusNotFound && due && reliable && !b.FaultySince(began.Add(-recoveryTime)) {
		r.reportViolation("%s does not know version %d after %v", b.Name, version, began.Sub(since))
	}
}

// probeStatus returns the status of a call of a box's route that only one configuration version has.
func probeStatus(h *http.Client, b *Box, version int, id string) (int, error) {
	q, err := standin.NewRequest(b.CallerAddress, standin.VersionPath(version)+"x", id, callTimeout)
	if err != nil {
		return 0, err
	}
	a, err := h.Do(q)
	if err != nil {
		return 0, fmt.Errorf("probe: %w", err)
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, nil
}
