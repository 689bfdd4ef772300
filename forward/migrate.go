package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/migration"
)

// MoveCodec translates the calls that move a running request to another endpoint.
type MoveCodec interface {
	// Copy returns the call to the source that copies the memory of a request's run to the target. If
	// last is set, the source stops the run first.
	Copy(id string, source, target endpoint.Endpoint, last bool) (httpconn.Request, error)
	// DecodeCopy returns what the response to a copy reports.
	DecodeCopy(status int, body []byte) call.Copy
	// Free returns the call to the source that frees the memory of a handle at both ends.
	Free(source endpoint.Endpoint, handle string) httpconn.Request
}

// errDraining reports that an attempt was cancelled to be resumed elsewhere, since its endpoint ends.
var errDraining = errors.New("the endpoint ends before the stream does")

const (
	// replanInterval is the interval of decisions on the streams at a draining endpoint. It is short
	// compared with the seconds that such an endpoint has left, and with a move.
	replanInterval = 25 * time.Millisecond

	// maxConcurrentMoves bounds the moves of one box from one endpoint. The copies share the
	// endpoint's link, so with more of them the first would not end sooner.
	maxConcurrentMoves = 2

	// moveRetryInterval is the time until a failed move is tried again. It is longer by
	// lateRetryInterval once the endpoint has stayed beyond its announced end, and so may stay long.
	moveRetryInterval = 100 * time.Millisecond
	lateRetryInterval = 900 * time.Millisecond

	// resumeRetryInterval is the time until a stream that got no credit may be resumed elsewhere again. Until then
	// it is moved or ends where it is.
	resumeRetryInterval = 250 * time.Millisecond

	// maxFruitlessMoves bounds the moves of a stream that find no room at a destination, or no run at
	// the source although the stream has begun. The interval doubles with each, so that full endpoints
	// and the source get few calls: with one each 100 ms, a simulated day had 147 moves without room
	// and 185 without a run among 1,120.
	maxFruitlessMoves = 4
)

// streamSet holds the streams in progress that can be moved. The zero value is ready to use.
type streamSet struct {
	mu       sync.Mutex
	streams  map[string][]*runningStream // by the endpoint's incarnation
	vacating map[string]bool             // incarnations whose streams are being moved
}

func (s *streamSet) add(incarnation string, v *runningStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams, s.vacating = map[string][]*runningStream{}, map[string]bool{}
	}
	s.streams[incarnation] = append(s.streams[incarnation], v)
}

func (s *streamSet) remove(incarnation string, v *runningStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := slices.DeleteFunc(s.streams[incarnation], func(o *runningStream) bool { return o == v })
	if s.streams[incarnation] = left; len(left) == 0 {
		delete(s.streams, incarnation)
	}
}

// begin reports whether the streams at an incarnation are to be moved by the caller: there are some
// and nothing else moves them.
func (s *streamSet) begin(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams[incarnation]) == 0 || s.vacating[incarnation] {
		return false
	}
	s.vacating[incarnation] = true
	return true
}

// at returns the streams at an incarnation that is being vacated. If there are none, the vacating
// ends.
func (s *streamSet) at(incarnation string) []*runningStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams[incarnation]) == 0 {
		delete(s.vacating, incarnation)
	}
	return slices.Clone(s.streams[incarnation])
}

// runningStream is an attempt whose stream can be moved.
type runningStream struct {
	r        *run
	c        context.Context         // of the request
	x        context.Context         // of the attempt
	cancel   context.CancelCauseFunc // of the attempt
	choice   balance.Choice
	run      int // identifies the run of the request
	watchdog *watchdog
	started  time.Time
	passed   int // events of the request before this attempt
	moves    int // of the request before this attempt

	ordersBefore int // orders to stop a run of the request that the endpoint was sent before this attempt

	mu            sync.Mutex
	events        int
	first, last   time.Time // of the first and the last event
	unnumbered    bool      // no other endpoint can go on after the last event
	refusesOrders bool      // the run must not be told to stop, unless it was
	settled       bool      // the stream has ended, and what becomes of it is known
	move          *move     // the move in progress or the last one
	moving        bool
	isFinal       bool // it is not moved from here again, since its run may have been stopped
	retryAt       time.Time
	fruitless     int       // moves that count against maxFruitlessMoves
	resuming      bool      // it gets a credit to be resumed elsewhere, or has one
	succeeding    bool      // it is resumed by a successor of the attempt
	deniedAt      time.Time // when there was no credit to resume it; zero before
	credit        *credit   // to resume it; nil if there is none
}

// trackStream registers an attempt whose stream can be moved. It returns nil for any other.
func (r *run) trackStream(c, x context.Context, cancel context.CancelCauseFunc, ch balance.Choice, w *watchdog) *runningStream {
	if e := r.q.Service.Engine; r.f.Moves == nil || e == nil || !e.KVTransfer || !r.isStream() {
		return nil
	}
	s := &runningStream{
		r: r, c: c, x: x, cancel: cancel, choice: ch, run: r.current, watchdog: w, started: boottime.Now(), passed: r.answer.Passed(), moves: r.moves,
		ordersBefore: r.shared.stopOrders.Count(ch.Endpoint.ID),
	}
	r.f.streams.add(ch.Endpoint.Incarnation(), s)
	return s
}

// end removes the attempt.
func (s *runningStream) end() {
	if s == nil {
		return
	}
	s.settle(streamWhole)
	s.r.f.streams.remove(s.choice.Endpoint.Incarnation(), s)
}

// recordEvent records an event of the stream, or a comment, and whether another endpoint can go on after it.
func (s *runningStream) recordEvent(canContinue bool, now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events == 0 {
		s.first = now
	}
	s.last = now
	s.events++
	if s.succeeding { // the event has ended the successor
		s.resuming, s.succeeding = false, false
	}
	s.unnumbered = !canContinue
}

// describe returns the input of a decision. It returns false if the stream is being moved or has ended,
// its last move failed a moment ago, or its last event has no ID: a continuation would then repeat it.
func (s *runningStream) describe(now time.Time) (migration.Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moving || s.isFinal || s.resuming || s.settled || now.Before(s.retryAt) || s.x.Err() != nil || s.unnumbered {
		return migration.Stream{}, false
	}
	q, e := &s.r.q, s.r.q.Service.Engine
	stride := max(e.TokensPerEvent, 1)
	got := s.passed + s.events
	d := migration.Stream{
		Begun: s.events > 0, FirstEvent: max(s.choice.Expected-now.Sub(s.started), 0), Pause: s.choice.Pause,
		EventsLeft: migration.EventsLeft(q.Call.ExpectedTokens, q.Call.AnswerTokens, stride, got),
		CacheBytes: int64(s.r.promptTokens()+got*stride) * int64(e.KVBytesPerToken),
		CanResume:  now.Sub(s.deniedAt) >= resumeRetryInterval && s.canResume(got > 0 || q.Version != ""), Moves: s.moves,
	}
	if s.events >= minEventsForPause {
		d.Pause = s.last.Sub(s.first) / time.Duration(s.events-1)
	}
	if s.fruitless >= maxFruitlessMoves || s.refusesOrders {
		d.Moves = migration.MaxMoves
	}
	return d, true
}

// canResume reports whether another endpoint may compute the stream again, if there is a credit for it. The attempt that it
// gives up counts, since its endpoint goes on. A stream that has begun, in this answer or before it, needs an endpoint of the
// version of the one at which it is.
func (s *runningStream) canResume(begun bool) bool {
	r := &run{
		f: s.r.f, q: s.r.q, tried: maps.Clone(s.r.tried), reached: append(slices.Clone(s.r.reached), reachedEndpoint{endpoint: s.choice.Endpoint}),
		failedDials: s.r.failedDials, refusedDials: s.r.refusedDials,
	}
	for _, o := range s.watchdog.started() {
		if !o.hasEnded() {
			return false
		}
		r.mergeUse(o)
	}
	if !r.q.Route.Repeatable() || r.attemptsUsed() >= r.maxAttempts() {
		return false
	}
	if !begun {
		return len(r.f.Roster.Serving(r.q.Service.Name)) > 0
	}
	return r.f.hasServingVersion(r.q.Service.Name, s.choice.Endpoint, r.tried)
}

// resume lets another endpoint compute the stream again once there is a credit for that. If the stream has begun, the
// attempt is cancelled, and otherwise it gets a successor. It doesn't block.
func (s *runningStream) resume(reason string, ends time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled || s.moving || s.isFinal || s.resuming {
		return
	}
	s.resuming = true
	go s.resumeWithCredit(reason, ends)
}

// resumeWithCredit carries out resume. Once there is a credit, the stream is not moved any more.
func (s *runningStream) resumeWithCredit(reason string, ends time.Time) {
	lender, ok := s.r.f.spendCredit(s.x, s.r.q.Service.Name)
	k := &credit{causeDraining, s.choice.Endpoint, lender}
	s.mu.Lock()
	hasBegun := s.events > 0
	switch {
	case !ok:
		s.resuming, s.deniedAt = false, boottime.Now()
	case hasBegun:
		s.credit = k
	default:
		s.succeeding = true
	}
	s.mu.Unlock()
	if !ok {
		s.logMove("fail", "no_credit", endpoint.Endpoint{}, boottime.Now(), ends)
		metrics.GetOrRegisterCounter("moves.no_credit", s.r.f.Metrics).Inc(1)
		return
	}
	s.logMove("resume", reason, endpoint.Endpoint{}, boottime.Now(), ends)
	metrics.GetOrRegisterCounter("moves.resumed", s.r.f.Metrics).Inc(1)
	if !hasBegun {
		// The endpoint may still begin and end the stream in time.
		s.watchdog.expire(k)
		return
	}
	s.cancel(errDraining)
}

// takeCredit returns the credit to resume the stream, if there is one.
func (s *runningStream) takeCredit() *credit {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.credit
	s.credit = nil
	return k
}

// promptTokens returns the length of the prompt.
func (r *run) promptTokens() int { return r.newQuery().Prompt }

// MoveAway moves the streams at an endpoint that started to drain, as package migration decides. It
// doesn't block. A record that merely disappears is no reason to call it: the endpoint often goes on
// serving, and it is not known how long.
func (f *Forwarder) MoveAway(e endpoint.Endpoint) {
	if f.Moves != nil && f.streams.begin(e.Incarnation()) {
		go f.vacate(e)
	}
}

// vacate decides on the streams at an endpoint until none is left there.
func (f *Forwarder) vacate(e endpoint.Endpoint) {
	ends := boottime.Now().Add(migration.UnknownDrainPeriod)
	known := e.DrainPeriod > 0
	if known {
		ends = boottime.Now().Add(e.DrainPeriod)
	}
	t := time.NewTicker(replanInterval)
	defer t.Stop()
	for {
		ss := f.streams.at(e.Incarnation())
		if len(ss) == 0 {
			return
		}
		// A response says only that the endpoint drains. Its record, which says how long, may
		// follow.
		if now, ok := f.Roster.Get(e.ID); !known && ok && now.StartMillis == e.StartMillis && now.DrainPeriod > 0 {
			known, ends = true, boottime.Now().Add(now.DrainPeriod)
		}
		f.decideMoves(ss, ends)
		<-t.C
	}
}

// decideMoves makes and carries out the decisions on the streams at an endpoint that ends at a time.
func (f *Forwarder) decideMoves(ss []*runningStream, ends time.Time) {
	now := boottime.Now()
	p := migration.Planner{Left: ends.Sub(now), LinkBytesPerSecond: ss[0].r.q.Service.Engine.LinkBytesPerSecond}
	var in []migration.Stream
	var idle []*runningStream
	moving := 0
	for _, s := range ss {
		p.Running = max(p.Running, s.choice.Running+1)
		if d, ok := s.describe(now); ok {
			in, idle = append(in, d), append(idle, s)
		} else if s.isMoving() {
			moving++
		}
	}
	for _, d := range p.Plan(in) {
		s := idle[d.Index]
		switch {
		case d.Action == migration.Move && moving < maxConcurrentMoves:
			if s.startMove(ends) {
				moving++
			}
		case d.Action == migration.Resume:
			s.resume(d.Reason, ends)
		}
	}
}

func (s *runningStream) isMoving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moving
}
