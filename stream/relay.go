package stream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/wait"
)

// attemptsPerRelay is how many attempt numbers are reserved for each relay of a request, so that
// they differ from those of its other attempts.
const attemptsPerRelay = 100

func compare(a, b string) int { return cmp.Compare(a, b) }

// relayRequest asks a peer in another data centre to continue a request after the given tokens. With
// Resume set it asks for the tokens of a relay that exists.
type relayRequest struct {
	Request Request
	Tokens  []string
	Attempt int
	From    int
	Resume  bool
}

// handoverRequest asks a peer to take over a stream and its current attempt.
type handoverRequest struct {
	Request     Request
	Tokens      []string
	Attempt     int
	LastAttempt int // the highest number of an attempt; Attempt if it is less
	Counted     int // attempts that count against the limit; LastAttempt if it is zero
	MaxAttempts int // limit; zero for the default
	Ran         bool
	Box         string
	Incarnation string
	Address     string
	Remote      bool // an entry box of another data centre runs the attempt, not an endpoint
}

// readRequest asks for the tokens of a stream from an index on.
type readRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      string
	Account string
	From    int
}

// indexedToken is one token of a stream that is sent to a peer.
type indexedToken struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index    int
	Token    string
	Software string // of the engine that sent the first token
}

func (svc *Service) registerHandlers() {
	s := svc.peers.Server
	s.Handle("stream.relay", svc.serveRelay)
	s.Handle("stream.read", svc.serveRead)
	peer.Handle(s, "stream.adopt", svc.adopt)
	peer.Handle(s, "stream.has", func(_ context.Context, id string) (bool, error) {
		_, err := svc.Find(id)
		return err == nil, nil
	})
}

// serveRelay runs a request for another data centre, or resumes reading one.
func (svc *Service) serveRelay(c context.Context, body []byte, send func(any) error) (any, error) {
	var q relayRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errkind.New(errkind.BadRequest, "decode relay: %w", err)
	}
	s, err := svc.startRelayed(q)
	if err != nil {
		return nil, err
	}
	err = s.Read(c, q.From, func(i int, t string) error { return send(indexedToken{Index: i, Token: t, Software: s.software()}) })
	if moved, ok := errors.AsType[*MovedError](err); ok {
		return nil, errkind.New(errkind.Unavailable, "%w", moved)
	}
	return nil, err
}

// startRelayed returns the stream of a relayed request. Unless q resumes one, the request passes
// admission and is started.
func (svc *Service) startRelayed(q relayRequest) (*Stream, error) {
	id := relayID(q.Request.ID, q.Attempt)
	if q.Resume {
		return svc.Find(id)
	}
	if svc.draining.Load() {
		// No other box continues it after the stop, since the box that relays knows this one only.
		return nil, errStopping
	}
	release, err := svc.admission.Enter(q.Request.Admission())
	if err != nil {
		return nil, err
	}
	s := newStream(q.Request)
	s.ID, s.tokens, s.relayed = id, q.Tokens, true
	svc.launch(s, func(c context.Context) {
		defer release()
		r := newRun(svc, s)
		r.lastAttempt, r.maxAttempts = q.Attempt*attemptsPerRelay, 1 // the box that relays makes the others
		r.start(c)
	})
	return s, nil
}

// followRelay reports whether a box of another data centre has taken the current attempt over from the one that ran it, and makes it
// the target.
func (r *run) followRelay(c context.Context) bool {
	c, cancel := context.WithTimeout(c, settleTimeout)
	defer cancel()
	id := relayID(r.s.ID, r.attempt)
	for _, m := range r.k.members.Up("") {
		var has bool
		if m.DataCentre == r.k.dc || m.Box == r.target.box || r.k.peers.Client.Call(c, m.Address, "stream.has", id, &has) != nil || !has {
			continue
		}
		r.setTarget(target{box: m.Box, incarnation: m.Incarnation, address: m.Address})
		r.logDecision("recover", "another box goes on with the attempt")
		return true
	}
	return false
}

// relayID is the ID of a request at the peer that runs it for another data centre.
func relayID(id string, attempt int) string { return fmt.Sprintf("%s.%d", id, attempt) }

func (svc *Service) serveRead(c context.Context, body []byte, send func(any) error) (any, error) {
	var q readRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errkind.New(errkind.BadRequest, "decode read: %w", err)
	}
	s, err := svc.findOwned(q.ID, q.Account)
	if err != nil {
		return nil, err
	}
	return nil, s.Read(c, q.From, func(i int, t string) error { return send(indexedToken{Index: i, Token: t}) })
}

// findOwned returns a stream of the account. The error is of kind UnknownRequest, also if the
// stream belongs to another account.
func (svc *Service) findOwned(id, account string) (*Stream, error) {
	s, err := svc.Find(id)
	if err == nil && s.Account != account {
		return nil, errkind.New(errkind.UnknownRequest, "no request %s here", id)
	}
	return s, err
}

// ReadAnywhere reads the tokens of an account's request from an index on, from whichever box has the
// stream.
func (svc *Service) ReadAnywhere(c context.Context, id, account string, from int, each func(int, string) error) error {
	if s, err := svc.findOwned(id, account); err == nil && !isHandedOver(s) {
		return s.Read(c, from, each)
	}
	for _, m := range svc.members.Up("") {
		var has bool
		if m.Box == svc.members.Self().Box || svc.peers.Client.Call(c, m.Address, "stream.has", id, &has) != nil || !has {
			continue
		}
		return svc.peers.Client.Stream(c, m.Address, "stream.read", readRequest{ID: id, Account: account, From: from}, nil, func(b []byte) error {
			var i indexedToken
			if err := msgpack.Unmarshal(b, &i); err != nil {
				return fmt.Errorf("decode token: %w", err)
			}
			return each(i.Index, i.Token)
		})
	}
	return errkind.New(errkind.UnknownRequest, "no box that can be reached has request %s", id)
}

func isHandedOver(s *Stream) bool {
	_, done, _, err := s.snapshot(0)
	var m *MovedError
	return done && errors.As(err, &m)
}

// HandOver asks every live stream to continue at a peer of this data centre, and returns the number
// of streams. It returns 0 if there is no peer. No stream begins afterwards.
func (svc *Service) HandOver() int {
	svc.mu.Lock()
	svc.endHandover(errStopping)
	svc.mu.Unlock()
	ms := svc.successors()
	if len(ms) == 0 {
		return 0
	}
	ss := svc.live()
	for i, s := range ss {
		s.handOverTo(ms[i%len(ms)])
	}
	return len(ss)
}

// HandedOver returns a context that ends when the streams are handed over, with an error of kind Stopping as its cause.
func (svc *Service) HandedOver() context.Context { return svc.handedOver }

// CanHandOver reports whether there is a peer that may take streams over.
func (svc *Service) CanHandOver() bool { return len(svc.successors()) > 0 }

// successors returns the peers of this data centre that may take streams over.
func (svc *Service) successors() []member.Member {
	var ms []member.Member
	for _, m := range svc.members.Up(svc.dc) {
		if m.Box != svc.members.Self().Box && m.State == member.Alive {
			ms = append(ms, m)
		}
	}
	return ms
}

// handOverTo asks the stream to continue at a peer, in place of a move that is pending.
func (s *Stream) handOverTo(m member.Member) {
	for {
		select {
		case s.moveRequests <- moveRequest{peer: m}:
			return
		default:
		}
		select {
		case <-s.moveRequests:
		default:
		}
	}
}

// errStopping refuses streams that this box can't run to their end.
var errStopping = errkind.New(errkind.Stopping, "this box stops")

// handOver hands the stream over to a peer. If the peer may have adopted the stream without
// confirming it, this box only continues to read and starts no other attempt.
func (r *run) handOver(c context.Context, to member.Member) (outcome, recovery.Interruption) {
	ts, _, _, _ := r.s.snapshot(0)
	h := handoverRequest{
		Request: r.s.Request, Tokens: ts, Attempt: r.attempt, LastAttempt: r.lastAttempt, Ran: r.mayHaveRun,
		Counted: r.counted, MaxAttempts: r.maxAttempts,
		Box: r.target.box, Incarnation: r.target.incarnation, Address: r.target.address, Remote: r.target.endpoint == nil,
	}
	x, cancel := context.WithTimeout(c, settleTimeout)
	defer cancel()
	err := r.k.peers.Client.Call(x, to.Address, "stream.adopt", h, nil)
	if err == nil {
		r.logDecision("hand over", "this box stops, "+to.Box+" goes on")
		r.s.finish(&MovedError{To: to.Box})
		return runDone, 0
	}
	if k := errkind.Of(err).Kind; k == errkind.Unavailable || k == errkind.DeadlinePassed || k == errkind.Internal {
		r.maybeAdopted = true
	}
	r.logDecision("hand over", "not taken: "+err.Error())
	return r.reattach(c)
}

// adopt takes over a stream from a peer that is stopping.
func (svc *Service) adopt(_ context.Context, h handoverRequest) (struct{}, error) {
	if svc.base.Err() != nil || svc.draining.Load() {
		return struct{}{}, errkind.New(errkind.Stopping, "this box stops too")
	}
	t := target{box: h.Box, incarnation: h.Incarnation, address: h.Address}
	if !h.Remote {
		t.endpoint = svc.view.Endpoint(h.Box)
	}
	if t.endpoint == nil && !h.Remote {
		return struct{}{}, errkind.New(errkind.NoEndpoint, "box %s is not known here", h.Box)
	}
	s := newStream(h.Request)
	s.tokens = h.Tokens
	svc.launch(s, func(c context.Context) {
		r := newRun(svc, s)
		r.attempt, r.lastAttempt, r.mayHaveRun = h.Attempt, max(h.Attempt, h.LastAttempt), h.Ran
		r.counted, r.maxAttempts = cmp.Or(h.Counted, r.lastAttempt), h.MaxAttempts
		r.splice.StartAttempt(h.Attempt)
		r.setTarget(t)
		s.update(func() { s.stats.Attempts, s.stats.Box = h.Attempt, h.Box })
		e, b := r.reattach(c)
		r.drive(c, e, b)
	})
	return struct{}{}, nil
}

// Drain makes the service refuse streams that other boxes hand over.
func (svc *Service) Drain() { svc.draining.Store(true) }

// peerExecutor runs attempts at an entry box of another data centre.
type peerExecutor struct {
	client  *peer.Client
	address string
	stream  *Stream
}

// Generate asks the peer to run the request from the next token on.
func (p peerExecutor) Generate(c context.Context, q engine.Request) (lineStream, error) {
	ts, _, _, _ := p.stream.snapshot(0)
	return p.open(c, relayRequest{Request: p.stream.Request, Tokens: ts[:q.From], Attempt: q.Attempt, From: q.From})
}

// Resume reads the tokens of an attempt that the peer already runs.
func (p peerExecutor) Resume(c context.Context, a engine.Attempt) (lineStream, error) {
	return p.open(c, relayRequest{Request: p.stream.Request, Attempt: a.Attempt, From: a.From, Resume: true})
}

// Cancel always fails: peers don't confirm a cancel. They stop a repeatable stream that has no reader.
func (p peerExecutor) Cancel(context.Context, engine.Attempt) (engine.Cancelled, error) {
	return engine.Cancelled{}, errkind.New(errkind.Unavailable, "a peer does not confirm a cancel")
}

// peerLineStream is the stream of lines of an attempt that a peer runs.
type peerLineStream struct {
	lines chan engine.Line
	stop  context.CancelFunc
}

// open waits for the first token or the refusal, so that a refusal is returned as an error of
// opening the stream.
func (p peerExecutor) open(c context.Context, q relayRequest) (lineStream, error) {
	x, stop := context.WithCancel(c)
	l := &peerLineStream{lines: make(chan engine.Line, lineBufferSize), stop: stop}
	started := make(chan error, 1)
	go p.receive(x, q, l, started)
	if err := <-started; err != nil {
		stop()
		return nil, engineError(err, q.Resume)
	}
	return l, nil
}

// receive converts the tokens of the peer to lines. It sends nil to started with the first token,
// or the error if there is none.
func (p peerExecutor) receive(c context.Context, q relayRequest, l *peerLineStream, started chan<- error) {
	defer close(l.lines)
	first := sync.OnceFunc(func() { started <- nil })
	n := engine.Line{RequestID: q.Request.ID, Attempt: q.Attempt, Index: q.From}
	err := p.client.Stream(c, p.address, "stream.relay", q, nil, func(b []byte) error {
		var i indexedToken
		if err := msgpack.Unmarshal(b, &i); err != nil {
			return fmt.Errorf("decode token: %w", err)
		}
		first()
		t := n
		t.Index, t.Token, t.Software = i.Index, i.Token, i.Software
		n.Index = i.Index + 1
		return l.send(c, t)
	})
	if err != nil {
		select {
		case started <- err:
		default: // a token was received before: the lines end without an end mark
		}
		return
	}
	first()
	n.End, n.Reason = true, "stop"
	_ = l.send(c, n)
}

func (s *peerLineStream) send(c context.Context, n engine.Line) error {
	select {
	case s.lines <- n:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// Next returns the next line, or io.EOF.
func (s *peerLineStream) Next() (engine.Line, error) {
	n, ok := <-s.lines
	if !ok {
		return n, io.EOF
	}
	return n, nil
}

// Close cancels the call to the peer.
func (s *peerLineStream) Close() error {
	s.stop()
	return nil
}

// engineError converts a peer's error to the engine error of the same meaning. A peer that has no room for the call which resumes an
// attempt may run the attempt all the same.
func engineError(err error, resumed bool) error {
	e := errkind.Of(err)
	switch {
	case resumed && e.Kind == errkind.BoxFull:
		return err
	case e.Kind.Response().Run == errkind.NotRun:
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	case e.Kind == errkind.Unavailable, e.Kind == errkind.CallerGone:
		return err
	default:
		// The peer reported that the request failed: there is nothing to resume.
		return fmt.Errorf("%w: %w", engine.ErrRestarted, err)
	}
}

// WaitDrained waits until no stream is live, and reports whether that happened before the context
// ended.
func (svc *Service) WaitDrained(c context.Context) bool {
	const pollInterval = 50 * time.Millisecond
	for svc.Live() > 0 {
		if c.Err() != nil {
			return false
		}
		wait.For(c, pollInterval)
	}
	return true
}
