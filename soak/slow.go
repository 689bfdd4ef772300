package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// slowOncePath is the path of slow requests that must not run twice, and slowFixedPath that of those streams. slowPaths has those of all slow
// requests.
const (
	slowOncePath  = "/slow-once/x"
	slowFixedPath = "/slow-stream-fixed/x"
)

var slowPaths = []string{slowOncePath, "/slow-again/x", "/slow-stream/x", slowFixedPath}

// Times of slow requests. Each of slowConns connections to a box has one, which begins up to slowLead before or after a SIGTERM. Others
// follow on the connection until the box closes it.
const (
	slowConns   = 16
	slowLead    = time.Second
	maxHeadTime = 800 * time.Millisecond
	maxBodyTime = stopLimit
	maxWork     = 3 * time.Second
	quickTime   = 50 * time.Millisecond

	// lostSlack is how long a box may take to close a connection on which it has read a whole request, without an answer.
	lostSlack = 200 * time.Millisecond
)

// slowRequest is a request that its caller sends in pieces, for a time, and on which a server works for a time.
type slowRequest struct {
	path, id string
	chunked  bool
	head     time.Duration
	body     time.Duration
	work     time.Duration
}

// String returns the path of the request and how it is sent.
func (q slowRequest) String() string {
	framing := "with a length"
	if q.chunked {
		framing = "in chunks"
	}
	return fmt.Sprintf("%s, head %.2fs, body %s %.2fs, work %.2fs", q.path, q.head.Seconds(), framing, q.body.Seconds(), q.work.Seconds())
}

// stopAmidSlow has callers begin slow requests at a box, which is told to stop meanwhile.
func (r *run) stopAmidSlow(f Fault) {
	b := r.fleet.Boxes[f.Target]
	stop := time.Now().Add(slowLead)
	var g sync.WaitGroup
	for i := range slowConns {
		rnd := rand.New(rand.NewPCG(r.Seed^uint64(f.At), uint64(i)))
		g.Go(func() {
			r.callSlowly(b, fmt.Sprintf("s-%d-%d-%d", r.Seed, f.At.Milliseconds(), i), rnd, stop)
		})
	}
	time.Sleep(time.Until(stop))
	b.Signal(syscall.SIGTERM)
	g.Wait()
}

// callSlowly makes requests over one connection until it ends, or the box has been told to stop for longer than it may take. Of them the
// second one is slow.
func (r *run) callSlowly(b *Box, id string, rnd *rand.Rand, stop time.Time) {
	c, err := net.Dial("tcp", b.CallerAddress)
	if err != nil {
		r.countOutcome("slow: not connected")
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	between := func(most time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(most))) }
	begin := stop.Add(between(2*slowLead) - slowLead)
	for n := 0; n < 2 || time.Now().Before(stop.Add(stopLimit)); n++ {
		q := slowRequest{path: slowPaths[rnd.IntN(len(slowPaths))], id: fmt.Sprintf("%s-%d", id, n), chunked: rnd.IntN(2) == 0, work: between(quickTime)}
		if n == 1 {
			q.work = between(maxWork)
			if rnd.IntN(3) == 0 {
				q.head = between(maxHeadTime)
			}
			if rnd.IntN(4) > 0 {
				q.body = between(maxBodyTime)
			}
			time.Sleep(time.Until(begin))
		}
		x, err := startExchange(c, in, b, q)
		if err != nil {
			r.reportViolation("%v", err)
			return
		}
		if !r.checkSlow(b, q, x) {
			return
		}
		time.Sleep(between(maxCallPause))
	}
}

// exchange is what became of a slow request.
type exchange struct {
	began  time.Time
	sent   time.Time      // when the last byte was written; zero if it was not
	ended  time.Time      // when the answer or the connection had ended
	answer *http.Response // nil without a head
	text   string         // of the answer's body
	stream standin.Stream
	err    error // why the answer is not complete
}

// startExchange sends a request and reads its answer. It stops sending once the answer is complete.
func startExchange(c net.Conn, in *bufio.Reader, b *Box, q slowRequest) (*exchange, error) {
	x := &exchange{began: time.Now()}
	x.stream.Fixed = q.path == slowFixedPath
	h, err := x.stream.NewRequest(b.CallerAddress, q.path, q.id, standin.SlowTimeout)
	if err != nil {
		return nil, err
	}
	standin.SetWork(h, q.work)
	pieces, err := q.pieces(h)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(x.began.Add(2 * standin.SlowTimeout))
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.read(in, h, q)
		x.ended = time.Now()
	}()
	sent := q.send(c, pieces, done)
	<-done
	x.sent = sent
	return x, nil
}

// whenSent returns when the last byte was written, or the end of the exchange if it was not.
func (x *exchange) whenSent() time.Time {
	if x.sent.IsZero() {
		return x.ended
	}
	return x.sent
}

func isStreamPath(path string) bool { return strings.Contains(path, "stream") }

// piece is what is sent after a pause.
type piece struct {
	after time.Duration
	text  string
}

// piecesOfPart is the number of pieces of a head and of a body that are sent slowly.
const piecesOfPart = 8

// pieces returns the pieces in which a request is sent.
func (q slowRequest) pieces(h *http.Request) ([]piece, error) {
	var text bytes.Buffer
	if err := h.Write(&text); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	head, body, _ := strings.Cut(text.String(), "\r\n\r\n")
	head += "\r\n\r\n"
	if q.chunked {
		head = strings.Replace(head, fmt.Sprintf("Content-Length: %d\r\n", h.ContentLength), "Transfer-Encoding: chunked\r\n", 1)
	}
	out := split(head, q.head)
	for _, p := range split(body, q.body) {
		if q.chunked {
			p.text = fmt.Sprintf("%x\r\n%s\r\n", len(p.text), p.text)
		}
		out = append(out, p)
	}
	if q.chunked {
		out = append(out, piece{text: "0\r\n\r\n"})
	}
	return out, nil
}

// split splits a text into pieces that are sent for a time, or into one if that is zero.
func split(text string, d time.Duration) []piece {
	if d == 0 {
		return []piece{{text: text}}
	}
	var out []piece
	for c := range slices.Chunk([]byte(text), (len(text)+piecesOfPart-1)/piecesOfPart) {
		out = append(out, piece{d / piecesOfPart, string(c)})
	}
	return out
}

// send sends a request until done is closed. It returns when the last piece was sent, or the zero time.
func (q slowRequest) send(c net.Conn, pieces []piece, done chan struct{}) time.Time {
	for _, p := range pieces {
		select {
		case <-done:
			return time.Time{}
		case <-time.After(p.after):
		}
		if _, err := io.WriteString(c, p.text); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// read reads the answer.
func (x *exchange) read(in *bufio.Reader, h *http.Request, q slowRequest) {
	a, err := http.ReadResponse(in, h)
	if err != nil {
		x.err = err
		return
	}
	defer a.Body.Close()
	x.answer = a
	if a.StatusCode == http.StatusOK && isStreamPath(q.path) {
		x.err = x.stream.Read(q.id, a.Body, streamEvents+1)
		return
	}
	text, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	x.text, x.err = string(text), err
}

// checkSlow checks what became of a slow request, and reports whether another one may follow on its connection.
func (r *run) checkSlow(b *Box, q slowRequest, x *exchange) bool {
	r.checkRuns(q.path, q.id)
	r.recordUndisturbed(b, q, x)
	if x.answer == nil {
		r.checkClosed(b, q, x)
		return false
	}
	status := x.answer.StatusCode
	r.countOutcome(fmt.Sprintf("slow: %s%d", r.framingOf(q.id), status))
	r.checkNotEndless(b, q.id, x.answer, x.text)
	switch {
	case status == http.StatusOK && isStreamPath(q.path):
		r.checkSlowStream(b, q, x)
	case x.err != nil:
		r.checkBrokenAnswer(b, q.id, x.began, x.err)
	case status == http.StatusOK:
		r.checkAnswer(q.id, x.text, standin.Stamped(x.answer.Header), x.began)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		r.recordRefusal(q.path, q.id, status)
		r.checkSlowLoss(b, q, x)
	case status < http.StatusInternalServerError:
		r.reportViolation("%s to %s: %d %s", q.id, b.Name, status, x.text)
	default:
		r.checkSlowLoss(b, q, x)
	}
	return x.err == nil && !x.answer.Close && !x.sent.IsZero()
}

// recordUndisturbed records a slow request whose box and servers had no fault but links that carry small pieces, so that its body may be cut
// only because the attempt is given up for another one.
func (r *run) recordUndisturbed(b *Box, q slowRequest, x *exchange) {
	since := x.began.Add(-hostMargin)
	ran, _ := r.fleet.serversOf(q.id)
	severed := slices.ContainsFunc(ran, func(s *Server) bool { return s.severed.FaultySince(since) })
	if severed || b.FaultySince(since) || x.ended.Sub(x.began) >= standin.SlowTimeout || b.MayCut(x.whenSent(), x.ended) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.undisturbed[q.id] = q
}

// checkClosed checks a connection that ended without an answer. If a box had read the whole request, it must have answered.
func (r *run) checkClosed(b *Box, q slowRequest, x *exchange) {
	if r.fleet.Audit.Runs(q.id) > 0 {
		r.checkNoAnswer(b, q.path, q.id, x.began, x.err)
		return
	}
	r.countOutcome("slow: closed")
	if !x.sent.IsZero() && x.ended.Sub(x.sent) > lostSlack && !b.FaultySince(x.began.Add(-hostMargin)) {
		r.reportViolation("%s to %s (%v) was closed %v after its last byte, %s, without an answer: %v", q.id, b.Name, q, x.ended.Sub(x.sent), b.sinceStop(x.ended), x.err)
	}
}

// checkSlowStream checks that a stream is whole.
func (r *run) checkSlowStream(b *Box, q slowRequest, x *exchange) {
	if !standin.Stamped(x.answer.Header) {
		r.reportViolation("%s to %s has no stamp", q.id, b.Name)
	}
	r.checkStreamEnd(b, q.id, q.path, &x.stream, x.began, x.err, streamEvents+1)
	r.checkVersions(&x.stream, q.id, x.began)
	if x.err != nil {
		r.checkSlowLoss(b, q, x)
	}
}

// checkSlowLoss checks a request that got no whole answer, as checkLoss does.
func (r *run) checkSlowLoss(b *Box, q slowRequest, x *exchange) {
	sent := x.whenSent()
	outcome := fmt.Sprintf("%d, %.100q, %v; %v, sent %s, ended %s", x.answer.StatusCode, x.text, x.err, q, b.sinceStop(sent), b.sinceStop(x.ended))
	r.checkLoss(b, q.path, q.id, strings.Join(x.stream.Versions, ""), x.began, sent, standin.SlowTimeout, outcome)
}
