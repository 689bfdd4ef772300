package forward

import (
	"cmp"
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/wait"
)

var errStopped = errors.New("the run was stopped to be moved")

const (
	// maxTargets bounds the destinations that one move tries.
	maxTargets = 3

	// streamEndTimeout is the time without an event after which the stream of a stopped run is no
	// longer read, for example because the link was cut. The source closes it after the last event.
	streamEndTimeout = 250 * time.Millisecond

	// stopAnswerTimeout is how long the end of a stream waits for the answer of a source that was told to stop its run.
	stopAnswerTimeout = 600 * time.Millisecond

	// stopRetryInterval is the interval between repeated calls with last, and maxStopRetries bounds
	// those after the stream broke, if the request may go on without an answer. Each may take as
	// long as it takes to find out that the source's box has ended.
	stopRetryInterval = 50 * time.Millisecond
	maxStopRetries    = 1

	// endGrace is the time after the announced end of the source from which it is taken to be gone.
	// It counts only for repeatable requests.
	endGrace = time.Second

	// defaultHandleTTL is how long a source keeps the memory of a stopped run if its configuration
	// does not say. No answer is of use after that.
	defaultHandleTTL = 5 * time.Second
)

// moveTarget is the destination of a move. Until the request continues there, the attempt holds its
// place in the balancer's counts, so that concurrent moves spread.
type moveTarget struct {
	choice  balance.Choice
	attempt *balance.Attempt
}

func (t *moveTarget) release() {
	if t != nil && t.attempt != nil {
		t.attempt.End(false, boottime.Now())
	}
}

// stoppedRun is a run whose stream has ended and which goes on from the memory that the handle holds.
type stoppedRun struct {
	source  endpoint.Endpoint
	run     int // identifies it
	handle  string
	created int
	target  *moveTarget     // where a copy of the memory is; nil if it is only at the source
	skip    map[string]bool // incarnations that are no destination
	since   time.Time       // when the move began
	ends    time.Time       // when the source ends
	stream  *runningStream

	// confirmed reports that the source has answered that it stopped the run. Otherwise the handle is that of a copy that was made
	// while the run went on, mayBeWhole reports that its stream has ended as one that is whole, and isWhole that it counts as whole if
	// the copy can't show that.
	confirmed, mayBeWhole, isWhole bool

	timer *time.Timer // ends a continuation that shows nothing; nil if none is to be ended
}

// countsAsWhole reports whether the answer counts as whole unless a continuation shows that it is not.
func (s *stoppedRun) countsAsWhole() bool { return s.isWhole && !s.confirmed }

// recordMore records that a continuation has received events that the caller did not have.
func (s *stoppedRun) recordMore() {
	if s != nil && s.timer != nil {
		s.timer.Stop()
	}
}

// discard frees the memory of a run that is not continued, if there is one.
func (s *stoppedRun) discard() {
	if s == nil {
		return
	}
	s.target.release()
	s.stream.r.f.free(s.stream.c, s.source, s.handle)
}

// move is one move of a stream. Its goroutine copies the memory while the stream goes on.
type move struct {
	s      *runningStream
	c      context.Context
	stop   context.CancelFunc
	ends   time.Time
	since  time.Time
	skip   map[string]bool
	broken chan struct{} // closed when the stream has ended without its end
	end    streamEnd     // how it has; set before broken is closed
	done   chan struct{} // closed when the fields below are final

	isStopping bool        // the run is told to stop until that is answered; guarded by s.mu
	isNoRun    bool        // the source has answered an order that nothing runs
	result     *stoppedRun // the run from which the request continues

	// sourceEnded reports that the source did not answer before its announced end, so that it may not send any more.
	sourceEnded bool
}

// startMove begins a move. It returns false if the stream has ended or is not to be moved.
func (s *runningStream) startMove(ends time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled || s.moving || s.isFinal || s.refusesOrders {
		return false
	}
	c, stop := context.WithCancel(s.c)
	s.moving = true
	s.move = &move{
		s: s, c: c, stop: stop, ends: ends, since: boottime.Now(), skip: map[string]bool{s.choice.Endpoint.Incarnation(): true},
		broken: make(chan struct{}), done: make(chan struct{}),
	}
	go s.move.run()
	return true
}

// run makes the move up to the stop of the run and the end of its stream.
func (m *move) run() {
	s := m.s
	outcome, to := m.copyAndStop()
	m.stop()
	if m.result == nil {
		s.watchdog.hold(false)
		if m.sourceEnded {
			s.watchdog.expire(nil)
		}
		s.logMove("fail", outcome, to, m.since, m.ends)
		metrics.GetOrRegisterCounter("moves."+outcome, s.r.f.Metrics).Inc(1)
	}
	close(m.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	isNoRun := s.r.shared.stopOrders.IsNoRun(s.choice.Endpoint.ID, s.ordersBefore)
	s.moving, s.isFinal = m.result != nil, s.isToldToStop() && !isNoRun
	if outcome == call.NoRoom.String() || outcome == call.NoSuchRun.String() && s.events > 0 {
		s.fruitless++
	}
	s.retryAt = boottime.Now().Add(moveRetryInterval << max(s.fruitless-1, 0))
	if s.retryAt.After(m.ends) {
		s.retryAt = s.retryAt.Add(lateRetryInterval)
	}
}

// copyAndStop copies the memory while the run goes on, and then stops the run. It returns the outcome
// for the log if the run was not stopped.
func (m *move) copyAndStop() (string, endpoint.Endpoint) {
	outcome := "no_destination"
	for range maxTargets {
		t := m.s.r.chooseTarget(m.s.choice.Endpoint, m.skip)
		if t == nil {
			break
		}
		e := t.choice.Endpoint
		m.skip[e.Incarnation()] = true
		a, err := m.copy(e)
		switch {
		case err == nil && a.Result == call.Copied:
			return m.stopRun(t, a), e
		case err == nil && a.Result == call.NoRoom:
			t.release()
			outcome = a.Result.String()
		case err != nil && m.c.Err() != nil:
			t.release()
			return "stream_ended", e
		case err != nil:
			t.release()
			return "no_answer", e
		default:
			t.release()
			return a.Result.String(), e
		}
	}
	return outcome, endpoint.Endpoint{}
}

// stopRun stops the run and waits for the end of its stream. As long as the answer is not known, it
// repeats the call: the request may continue only with a handle, or after its source has ended or has closed the stream.
func (m *move) stopRun(t *moveTarget, copied call.Copy) string {
	s := m.s
	if obstacle := m.beginStop(); obstacle != "" {
		return m.giveUp(t, copied, obstacle)
	}
	s.watchdog.hold(true)
	ttl := cmp.Or(s.r.q.Service.Engine.BackupTTL, defaultHandleTTL)
	for retries := 0; ; {
		a, err := s.r.stopAndCopy(m.c, s.choice.Endpoint, t.choice.Endpoint, m.ends, s.mayOrder)
		switch {
		case errors.Is(err, httpconn.ErrNotSent):
			return m.giveUp(t, copied, "stream_ended")
		case err == nil && a.Handle != "" && (a.Result == call.Copied || a.Result == call.NoRoom):
			m.result = m.stopped(a, t)
			m.result.confirmed = true
			if a.Result == call.NoRoom {
				t.release()
				m.result.target = nil
			}
			m.awaitStreamEnd()
			return ""
		case err == nil && a.Result == call.OtherIncarnation:
			s.cancel(errReplaced)
			m.result = m.stopped(copied, t)
			return ""
		case m.isSourceGone(a, err): // also if another process of the same ID answered
			m.result = m.stopped(copied, t)
			return ""
		case err == nil && a.Result == call.NoSuchRun && !m.isReplaced():
			m.isNoRun = true
			m.awaitEndOfNoRun(ttl)
			return m.giveUp(t, copied, a.Result.String())
		case m.c.Err() != nil:
			return m.giveUp(t, copied, "stream_ended")
		}
		if m.isBroken() {
			retries++
		}
		if m.isAnswerOverdue(retries, ttl) {
			return m.giveUp(t, copied, "no_answer")
		}
		wait.For(m.c, stopRetryInterval)
	}
}

// isAnswerOverdue reports whether a useful answer to an order is no longer waited for, after some retries since the stream has ended.
func (m *move) isAnswerOverdue(retries int, ttl time.Duration) bool {
	isRepeatable := m.s.r.q.Route.Repeatable()
	if m.isBroken() && (retries > maxStopRetries && (isRepeatable || m.mayContinueCopy()) || boottime.Since(m.since) > ttl) {
		return true
	}
	m.sourceEnded = isRepeatable && boottime.Now().After(m.ends.Add(endGrace))
	return m.sourceEnded
}

// giveUp ends a move that is not known to have stopped the run. If the source has closed the stream after it was told to stop the run,
// or has ended, the request can continue from the copy made before.
func (m *move) giveUp(t *moveTarget, copied call.Copy, outcome string) string {
	s := m.s
	hasEnded := func() bool {
		return m.isBroken() && s.r.f.Pool.RefusesConnections(s.c, s.choice.Endpoint.ID, s.choice.Endpoint.Address)
	}
	if s.c.Err() == nil && (m.mayContinueCopy() || hasEnded()) {
		m.result = m.stopped(copied, t)
		return ""
	}
	t.release()
	s.r.f.free(s.c, s.choice.Endpoint, copied.Handle)
	return outcome
}

func (m *move) stopped(a call.Copy, t *moveTarget) *stoppedRun {
	return &stoppedRun{
		source: m.s.choice.Endpoint, run: m.s.run, handle: a.Handle, created: a.Created, target: t, skip: m.skip, since: m.since, ends: m.ends, stream: m.s,
	}
}

// mayContinueCopy reports whether the run has been told to stop and runs no more: its source has ended the stream, or the stream is over
// and the source says that nothing runs. A run that may be repeated may also go on there.
func (m *move) mayContinueCopy() bool {
	if !m.isBroken() || !m.s.isToldToStop() {
		return false
	}
	return m.isNoRun || m.end == streamEnded || m.end == streamClosed && m.s.r.q.Route.Repeatable()
}

// beginStop records that the run is to be told to stop, or returns what speaks against it: the stream has ended, or its last
// event has no ID.
func (m *move) beginStop() (obstacle string) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	switch {
	case m.s.settled:
		return "stream_ended"
	case m.s.unnumbered:
		return noEventID
	}
	m.isStopping = true
	return ""
}

// isSourceGone reports whether the process of the source has ended: its stream broke, and it refuses connections or another
// answers that started under its ID. A refusal alone does not show that, since an endpoint may close its listener while its
// streams go on, nor does a record that shows another start.
func (m *move) isSourceGone(a call.Copy, err error) bool {
	if errors.Is(context.Cause(m.s.x), errReplaced) {
		return true
	}
	return m.isBroken() && (errors.Is(err, syscall.ECONNREFUSED) || err == nil && a.Result == call.NoSuchRun && m.isReplaced())
}

// isReplaced reports whether the record of the source shows another start.
func (m *move) isReplaced() bool {
	e := m.s.choice.Endpoint
	now, ok := m.s.r.f.Roster.Get(e.ID)
	return ok && now.StartMillis != e.StartMillis
}

func (m *move) isBroken() bool {
	select {
	case <-m.broken:
		return true
	default:
		return false
	}
}

// awaitStreamEnd waits until the stream of the stopped run has been read to its close, and cancels the attempt if it stays open.
func (m *move) awaitStreamEnd() {
	if !m.awaitBreak() {
		m.s.cancel(errStopped)
	}
}

// awaitEndOfNoRun waits until the stream of a run has been read to its end of which the source says that it doesn't run: the caller may be
// slow. The stream may get a successor meanwhile, and is no longer being moved.
func (m *move) awaitEndOfNoRun(limit time.Duration) {
	m.s.watchdog.hold(false)
	m.s.mu.Lock()
	m.s.moving, m.s.isFinal = false, true
	m.s.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-m.broken:
	case <-m.c.Done():
	case <-t.C:
	}
}

// awaitBreak waits until the stream has ended. It returns false if nothing comes for streamEndTimeout.
func (m *move) awaitBreak() bool {
	s := m.s
	for began := boottime.Now(); ; {
		s.mu.Lock()
		since := began
		if s.last.After(began) {
			since = s.last
		}
		s.mu.Unlock()
		left := streamEndTimeout - boottime.Since(since)
		if left <= 0 {
			return false
		}
		t := time.NewTimer(left)
		select {
		case <-m.broken:
			t.Stop()
			return true
		case <-m.c.Done():
			t.Stop()
			return true
		case <-t.C:
		}
	}
}

// logMove logs a move or its outcome.
func (s *runningStream) logMove(action, outcome string, to endpoint.Endpoint, since, ends time.Time) {
	s.mu.Lock()
	events := s.passed + s.events
	s.mu.Unlock()
	s.r.f.Log.Info().Str("event", "move").Str("request", s.r.q.Call.ID).Str("endpoint", s.choice.Endpoint.ID).Str("version", s.choice.Endpoint.Version).
		Str("to", to.ID).Str("to_version", to.Version).Str("action", action).
		Str("reason", outcome).Int("events", events).Dur("took", boottime.Since(since)).Dur("left", boottime.Until(ends)).
		Func(s.r.marshalStopOrders(s.choice.Endpoint)).Msg("decision")
}

// marshalStopOrders returns a function that adds to a log entry how many orders to stop the request's run an endpoint was sent, and
// what it answered.
func (r *run) marshalStopOrders(e endpoint.Endpoint) func(*zerolog.Event) {
	return func(l *zerolog.Event) {
		if answers, sent := r.shared.stopOrders.Answers(e.ID); sent > 0 {
			l.Int("stop_orders", sent).Strs("stop_answers", answers)
		}
	}
}
