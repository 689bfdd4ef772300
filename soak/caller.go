package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// callerWait is how long a caller waits for an answer, and pause the longest that
// it rests between two calls.
const (
	callerWait = 4 * time.Second
	pause      = 60 * time.Millisecond
)

// caller makes calls one after the other, on connections that it keeps while the
// box does, until the run ends.
func (r *run) caller(c context.Context, n int) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(n)+2))
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: 2 * callerWait}
	for i := 0; c.Err() == nil; i++ {
		b := r.fleet.Boxes[rnd.IntN(len(r.fleet.Boxes))]
		id := fmt.Sprintf("r-%d-%d-%d", r.Seed, n, i)
		switch k := rnd.IntN(10); {
		case k < 4:
			r.call(h, b, "/once/x", id)
		case k < 7:
			r.call(h, b, "/again/x", id)
		case k < 9:
			r.call(h, b, "/stream/x", id)
		default:
			r.probeVersion(h, b, id)
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(pause))))
	}
}

func (r *run) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[outcome]++
}

// call makes one call and judges its answer.
func (r *run) call(h *http.Client, b *Box, path, id string) {
	q, err := standin.NewRequest(b.Callers, path, id, callerWait)
	if err != nil {
		r.fault("%v", err)
		return
	}
	// A body that can be made again would let the library send the call again.
	q.GetBody = nil
	began := time.Now()
	a, err := h.Do(q)
	if err != nil {
		r.cut(b, path, id, began, err)
		return
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		r.broken(b, path, id, began, err)
		return
	}
	r.count(fmt.Sprint(a.StatusCode))
	switch {
	case a.StatusCode == http.StatusOK:
		r.whole(path, id, string(text), standin.Stamped(a.Header))
	case a.StatusCode == http.StatusServiceUnavailable, a.StatusCode == http.StatusTooManyRequests:
		if path == "/once/x" {
			r.mu.Lock()
			r.refused[id] = fmt.Sprint(a.StatusCode)
			r.mu.Unlock()
		}
	case a.StatusCode < http.StatusInternalServerError:
		r.fault("%s to %s: %d %s", id, b.Name, a.StatusCode, text)
	}
	if path == "/once/x" && r.fleet.Audit.Runs(id) > 1 {
		r.fault("%s ran %d times", id, r.fleet.Audit.Runs(id))
	}
}

// cut judges a call whose connection ended without an answer: only a fault at the
// box excuses that, or a connection that never came up.
func (r *run) cut(b *Box, path, id string, began time.Time, err error) {
	r.count("no answer")
	ran := r.fleet.Audit.Runs(id)
	if ran > 1 && path == "/once/x" {
		r.fault("%s ran %d times", id, ran)
	}
	if ran > 0 && !b.Harmed(began.Add(-margin)) {
		r.fault("%s to %s (%s) was passed on and not answered: %v", id, b.Name, path, err)
	}
}

// broken judges an answer that was cut off. A stream may break with its servers.
func (r *run) broken(b *Box, path, id string, began time.Time, err error) {
	r.count("broken")
	if path != "/stream/x" && !b.Harmed(began.Add(-margin)) {
		r.fault("the answer of %s to %s was cut off: %v", b.Name, id, err)
	}
}

// whole judges a success: the whole answer to this call, from a server.
func (r *run) whole(path, id, text string, stamped bool) {
	want := standin.ExpectedBody(id)
	if path == "/stream/x" {
		want = ""
		for i := 1; i <= r.fleet.Servers[0].Events; i++ {
			want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
		}
	}
	if text != want || !stamped {
		r.fault("%s got %q", id, strings.ReplaceAll(text, "\n", " "))
	}
}

// probeVersion calls the route that only the version in force has: a box that
// nothing has happened to serves it once the version is old enough.
func (r *run) probeVersion(h *http.Client, b *Box, id string) {
	version, since, sound := r.current()
	q, err := standin.NewRequest(b.Callers, standin.VersionPath(version)+"x", id, callerWait)
	if err != nil {
		r.fault("%v", err)
		return
	}
	began := time.Now()
	a, err := h.Do(q)
	if err != nil {
		r.count("probe cut")
		return
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	r.count(fmt.Sprintf("probe %d", a.StatusCode))
	old := began.Sub(since) > applied+margin
	if a.StatusCode == http.StatusNotFound && old && sound && !b.Harmed(began.Add(-recovered)) {
		r.fault("%s does not know version %d after %v", b.Name, version, began.Sub(since))
	}
}
