package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/httpconn"
	"birchlink.dev/birchlink/stoporder"
	"birchlink.dev/birchlink/wait"
)

var errStopped = errors.New("the run was stopped to be moved")

const (
	// maxTargets bounds the destinations that one move tries.
	maxTargets = 3

	// The timeout of a copy is the time that the source has left, within these bounds. A copy takes
	// about 10 ms, but may wait for those of all other streams at the source, which take some 0.4 s.
	minCopyTimeout = 100 * time.Millisecond
	maxCopyTimeout = time.Second

	// streamEndTimeout is the time without an event after which the stream of a stopped run is no
	// longer read, for example because the link was cut. The source closes it after the last event.
	streamEndTimeout = 250 * time.Millisecond

	// stopAnswerTimeout is how long the end of a stream waits for the answer of a source that was told to stop its run.
	stopAnswerTimeout = 600 * time.Millisecond

	// stopRetryInterval is the interval between repeated calls with last, and maxStopRetries bounds
	// those after the stream broke, if the request can be computed again elsewhere. Each may take as
	// long as it takes to find out that the source's box has ended.
	stopRetryInterval = 50 * time.Millisecond
	maxStopRetries    = 1

	// endGrace is the time after the announced end of the source from which it is taken to be gone.
	// It counts only for repeatable requests.
	endGrace = time.Second

	// defaultHandleTTL is how long a source keeps the memory of a stopped run if its configuration
	// does not say. No answer is of use after that.
	defaultHandleTTL = 5 * time.Second

	freeTimeout       = 500 * time.Millisecond
	maxCopyAnswerSize = 64 << 10
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

// startMove begins a move. It returns false if the stream has ended.
func (s *runningStream) startMove(ends time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled || s.moving || s.isFinal {
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

// streamEnd is how a stream has ended.
type streamEnd int

const (
	streamWhole  streamEnd = iota // with its end
	streamEnded                   // with a framed end, which an order to stop the run may have caused
	streamClosed                  // with the end of its connection
	streamCut                     // by an error
)

// settle is called when the stream has ended. Unless it is whole, settle waits for the move in progress and returns the stopped run from
// which the request continues, if there is one.
func (s *runningStream) settle(end streamEnd) *stoppedRun {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	m := s.move
	if s.settled || m == nil {
		s.settled = true
		s.mu.Unlock()
		return nil
	}
	s.settled = true
	if end != streamWhole {
		m.end = end
		close(m.broken)
	}
	if end == streamWhole || !m.isStopping {
		m.stop()
	}
	s.mu.Unlock()
	<-m.done
	if end == streamWhole {
		m.result.discard()
		return nil
	}
	return m.result
}

// settleDoubted is settle for a stream that states its end, which an order to stop the run may have caused.
func (s *runningStream) settleDoubted(isFramed bool) *stoppedRun {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	m := s.move
	s.mu.Unlock()
	end := streamClosed
	if isFramed {
		end = streamEnded
	}
	if m != nil && (isFramed || s.r.q.Route.Repeatable()) { // the request may go on without the answer of the source, which comes after the copy
		t := time.AfterFunc(stopAnswerTimeout, m.stop)
		defer t.Stop()
	}
	return s.settle(end)
}

// isToldToStop reports whether an order to stop the run was sent.
func (s *runningStream) isToldToStop() bool {
	return s != nil && s.r.shared.stopOrders.Count(s.choice.Endpoint.ID) > s.ordersBefore
}

// refuseOrders is called when the stream has stated its end. It reports whether an order to stop the run was sent before. If none was, none
// is from then on.
func (s *runningStream) refuseOrders() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasEnded = true
	return s.isToldToStop()
}

// mayOrder reports whether an order to stop the run may be sent: the stream has not ended, or one was sent before.
func (s *runningStream) mayOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasEnded || s.isToldToStop()
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

// mayContinueCopy reports whether the run has been told to stop and runs no more: its source has ended the stream, or has closed it and
// says that nothing runs. A run that may be repeated may also go on there.
func (m *move) mayContinueCopy() bool {
	if !m.isBroken() || !m.s.isToldToStop() {
		return false
	}
	return m.end == streamEnded || m.end == streamClosed && (m.isNoRun || m.s.r.q.Route.Repeatable())
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

// copy asks the source to copy the memory of the run, which goes on.
func (m *move) copy(to endpoint.Endpoint) (call.Copy, error) {
	return m.s.r.f.copyRun(m.c, m.s.r.q.Call.ID, m.s.choice.Endpoint, to, m.ends, nil)
}

// stopAndCopy orders the source to stop the run of the request, and to copy its memory. The order is sent only if mayOrder returns true.
func (r *run) stopAndCopy(c context.Context, source, to endpoint.Endpoint, ends time.Time, mayOrder func() bool) (call.Copy, error) {
	l, number := &r.shared.stopOrders, 0
	a, err := r.f.copyRun(c, r.q.Call.ID, source, to, ends, func() bool {
		if mayOrder() {
			number = l.Send(source.ID)
		}
		return number > 0
	})
	answer := a.Result.String()
	if err != nil {
		answer = stoporder.Unanswered
	}
	if number > 0 {
		l.Answer(source.ID, number, answer)
		metrics.GetOrRegisterCounter("moves.orders."+answer, r.f.Metrics).Inc(1)
	}
	return a, err
}

// copyRun asks the source to copy the memory of a run. If shouldStop is not nil, the source is to stop the run first, and shouldStop is
// called directly before it is told so. If that returns false, nothing is sent.
func (f *Forwarder) copyRun(c context.Context, id string, source, to endpoint.Endpoint, ends time.Time, shouldStop func() bool) (call.Copy, error) {
	q, err := f.Moves.Copy(id, source, to, shouldStop != nil)
	if err != nil {
		return call.Copy{}, fmt.Errorf("copy to %s: %w", to.ID, err)
	}
	q.ShouldSend = shouldStop
	x, cancel := context.WithTimeout(c, min(max(boottime.Until(ends), minCopyTimeout), maxCopyTimeout))
	defer cancel()
	resp, err := f.Pool.Do(x, q)
	if err != nil {
		return call.Copy{}, fmt.Errorf("copy to %s: %w", to.ID, err)
	}
	defer resp.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyAnswerSize))
	if err != nil {
		return call.Copy{}, fmt.Errorf("read the answer of %s: %w", source.ID, err)
	}
	return f.Moves.DecodeCopy(resp.Status, b), nil
}

// free frees the memory of a handle at both ends. A failure costs nothing but the time until the
// handle expires. The call outlives the request, for which the box may be stopping.
func (f *Forwarder) free(c context.Context, source endpoint.Endpoint, handle string) {
	if handle == "" {
		return
	}
	go func() {
		x, cancel := context.WithTimeout(context.WithoutCancel(c), freeTimeout)
		defer cancel()
		resp, err := f.Pool.Do(x, f.Moves.Free(source, handle))
		if err != nil {
			return
		}
		resp.Discard()
		resp.Close()
	}()
}

// chooseTarget chooses the destination of a move among the serving endpoints of the source's version,
// or returns nil. The reclaimable endpoints of a data centre are often reclaimed together, so the others
// come first if the source is one.
func (r *run) chooseTarget(source endpoint.Endpoint, skip map[string]bool) *moveTarget {
	// The copy is read from the source, so its data centre counts and not this box's. The request
	// is let in first and has nothing to prefill.
	q := balance.Query{
		DataCentre: source.DataCentre, Skip: skip, UnlimitedOnly: true,
		Eligible: func(e *endpoint.Endpoint) bool {
			return isSameVersion(e, &source) && (!source.Reclaimable || !e.Reclaimable || e.DataCentre != source.DataCentre)
		},
	}
	ch, _, ok := r.f.find(r.q.Service.Name, q)
	if !ok && source.Reclaimable {
		q.Eligible = func(e *endpoint.Endpoint) bool { return isSameVersion(e, &source) }
		ch, _, ok = r.f.find(r.q.Service.Name, q)
	}
	if !ok {
		return nil
	}
	ch.TypicalFirstEvent = 0 // a continuation says nothing about the version's speed
	ch.Parts = r.newQuery().Parts
	return &moveTarget{choice: ch, attempt: r.f.Balancer.Begin(ch.Endpoint, ch, boottime.Now())}
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
