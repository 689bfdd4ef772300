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

// attemptsPerRelay keeps the attempts that a relay makes apart from others of
// the same request.
const attemptsPerRelay = 100

func compare(a, b string) int { return cmp.Compare(a, b) }

// relayCall asks a peer in another data centre to go on with a request after
// some tokens, or with Resume to read on what it has.
type relayCall struct {
	Request Request
	Tokens  []string
	Attempt int
	From    int
	Resume  bool
}

// handover is a stream that a peer goes on with, from the same attempt.
type handover struct {
	Request     Request
	Tokens      []string
	Attempt     int
	Ran         bool
	Box         string
	Incarnation string
	Address     string
}

// readCall asks for the tokens of a stream from an index on.
type readCall struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      string
	Account string
	From    int
}

// item is one token of a stream on its way to a peer.
type item struct {
	_msgpack struct{} `msgpack:",as_array"`

	Index int
	Token string
}

func (k *Keeper) handlePeers() {
	s := k.peers.Server
	s.Handle("stream.relay", k.answerRelay)
	s.Handle("stream.read", k.answerRead)
	peer.Handle(s, "stream.adopt", k.adopt)
	peer.Handle(s, "stream.has", func(_ context.Context, id string) (bool, error) {
		_, err := k.Find(id)
		return err == nil, nil
	})
}

// answerRelay runs or reads a request for another data centre.
func (k *Keeper) answerRelay(c context.Context, body []byte, send func(any) error) (any, error) {
	var q relayCall
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errkind.New(errkind.BadRequest, "decode relay: %w", err)
	}
	s, err := k.relayed(q)
	if err != nil {
		return nil, err
	}
	return nil, s.Read(c, q.From, func(i int, t string) error { return send(item{Index: i, Token: t}) })
}

func (k *Keeper) relayed(q relayCall) (*Stream, error) {
	id := relayID(q.Request.ID, q.Attempt)
	if q.Resume {
		return k.Find(id)
	}
	leave, err := k.admission.Enter(q.Request.Admission())
	if err != nil {
		return nil, err
	}
	s := newStream(q.Request)
	s.ID, s.tokens, s.relayed = id, q.Tokens, true
	k.launch(s, func(c context.Context) {
		defer leave()
		r := newRun(k, s)
		r.attempt = q.Attempt * attemptsPerRelay
		r.begin(c)
	})
	return s, nil
}

// relayID names a request at the peer that carries it for another data centre.
func relayID(id string, attempt int) string { return fmt.Sprintf("%s.%d", id, attempt) }

func (k *Keeper) answerRead(c context.Context, body []byte, send func(any) error) (any, error) {
	var q readCall
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errkind.New(errkind.BadRequest, "decode read: %w", err)
	}
	s, err := k.of(q.ID, q.Account)
	if err != nil {
		return nil, err
	}
	return nil, s.Read(c, q.From, func(i int, t string) error { return send(item{Index: i, Token: t}) })
}

// of returns a stream if it is the account's.
func (k *Keeper) of(id, account string) (*Stream, error) {
	s, err := k.Find(id)
	if err == nil && s.Account != account {
		return nil, errkind.New(errkind.UnknownRequest, "no request %s here", id)
	}
	return s, err
}

// ReadAnywhere reads an account's request from an index on, wherever in the
// data centre, or else in another, it is.
func (k *Keeper) ReadAnywhere(c context.Context, id, account string, from int, each func(int, string) error) error {
	if s, err := k.of(id, account); err == nil && !handedOn(s) {
		return s.Read(c, from, each)
	}
	for _, m := range k.members.Up("") {
		var has bool
		if m.Box == k.members.Self().Box || k.peers.Client.Call(c, m.Address, "stream.has", id, &has) != nil || !has {
			continue
		}
		return k.peers.Client.Stream(c, m.Address, "stream.read", readCall{ID: id, Account: account, From: from}, nil, func(b []byte) error {
			var i item
			if err := msgpack.Unmarshal(b, &i); err != nil {
				return fmt.Errorf("decode token: %w", err)
			}
			return each(i.Index, i.Token)
		})
	}
	return errkind.New(errkind.UnknownRequest, "no box that can be reached has request %s", id)
}

func handedOn(s *Stream) bool {
	_, done, _, err := s.view(0)
	var m *MovedError
	return done && errors.As(err, &m)
}

// HandOver gives every live stream to peers of the data centre, and returns how
// many it told to go.
func (k *Keeper) HandOver() int {
	var ms []member.Member
	for _, m := range k.members.Up(k.dc) {
		if m.Box != k.members.Self().Box && m.State == member.Alive {
			ms = append(ms, m)
		}
	}
	if len(ms) == 0 {
		return 0
	}
	ss := k.live()
	for i, s := range ss {
		select {
		case s.signals <- signal{peer: ms[i%len(ms)]}:
		default:
		}
	}
	return len(ss)
}

// handOver gives this stream to a peer. If it is not certain that the peer did
// not take it, this box only reads on and starts nothing more.
func (r *run) handOver(c context.Context, to member.Member) (end, recovery.Break) {
	if r.target.slot == nil {
		return r.reattach(c)
	}
	ts, _, _, _ := r.s.view(0)
	h := handover{
		Request: r.s.Request, Tokens: ts, Attempt: r.attempt, Ran: r.ran,
		Box: r.target.box, Incarnation: r.target.incarnation, Address: r.target.address,
	}
	x, cancel := context.WithTimeout(c, settleIn)
	defer cancel()
	err := r.k.peers.Client.Call(x, to.Address, "stream.adopt", h, nil)
	if err == nil {
		r.note("hand over", "this box stops, "+to.Box+" goes on")
		r.s.finish(&MovedError{To: to.Box})
		return handed, 0
	}
	if k := errkind.Of(err).Kind; k == errkind.Unavailable || k == errkind.DeadlinePassed || k == errkind.Internal {
		r.shared = true
	}
	r.note("hand over", "not taken: "+err.Error())
	return r.reattach(c)
}

// adopt goes on with a stream of a peer that stops.
func (k *Keeper) adopt(_ context.Context, h handover) (struct{}, error) {
	if k.base.Err() != nil || k.draining.Load() {
		return struct{}{}, errkind.New(errkind.Stopping, "this box stops too")
	}
	slot := k.view.Slot(h.Box)
	if slot == nil {
		return struct{}{}, errkind.New(errkind.NoEndpoint, "box %s is not known here", h.Box)
	}
	s := newStream(h.Request)
	s.tokens = h.Tokens
	k.launch(s, func(c context.Context) {
		r := newRun(k, s)
		r.attempt, r.ran = h.Attempt, h.Ran
		r.splice.StartAttempt(h.Attempt)
		r.aim(target{box: h.Box, incarnation: h.Incarnation, address: h.Address, slot: slot})
		s.set(func() { s.stats.Attempts, s.stats.Box = h.Attempt, h.Box })
		e, b := r.reattach(c)
		r.drive(c, e, b)
	})
	return struct{}{}, nil
}

// Drain makes the keeper refuse streams of others that stop.
func (k *Keeper) Drain() { k.draining.Store(true) }

// peerAt is the place of an entry box in another data centre.
type peerAt struct {
	client  *peer.Client
	address string
	stream  *Stream
}

// Generate has the peer run the request from the next token on.
func (p peerAt) Generate(c context.Context, q engine.Request) (lines, error) {
	ts, _, _, _ := p.stream.view(0)
	return p.open(c, relayCall{Request: p.stream.Request, Tokens: ts[:q.From], Attempt: q.Attempt, From: q.From})
}

// Resume reads on what the peer has.
func (p peerAt) Resume(c context.Context, a engine.Attempt) (lines, error) {
	return p.open(c, relayCall{Request: p.stream.Request, Attempt: a.Attempt, From: a.From, Resume: true})
}

// Cancel is not confirmed by peers: they stop a stream that nobody reads.
func (p peerAt) Cancel(context.Context, engine.Attempt) (engine.Cancelled, error) {
	return engine.Cancelled{}, errkind.New(errkind.Unavailable, "a peer does not confirm a cancel")
}

// peerLines are the lines of an attempt that a peer carries.
type peerLines struct {
	lines chan engine.Line
	stop  context.CancelFunc
}

// open waits for the first token or the refusal, so that a refusal is known as
// such.
func (p peerAt) open(c context.Context, q relayCall) (lines, error) {
	x, stop := context.WithCancel(c)
	l := &peerLines{lines: make(chan engine.Line, lineBuffer), stop: stop}
	started := make(chan error, 1)
	go p.carry(x, q, l, started)
	if err := <-started; err != nil {
		stop()
		return nil, relayError(err)
	}
	return l, nil
}

// carry reads the peer's items into lines, and says how it started.
func (p peerAt) carry(c context.Context, q relayCall, l *peerLines, started chan<- error) {
	defer close(l.lines)
	first := sync.OnceFunc(func() { started <- nil })
	n := engine.Line{RequestID: q.Request.ID, Attempt: q.Attempt, Index: q.From}
	err := p.client.Stream(c, p.address, "stream.relay", q, nil, func(b []byte) error {
		var i item
		if err := msgpack.Unmarshal(b, &i); err != nil {
			return fmt.Errorf("decode token: %w", err)
		}
		first()
		t := n
		t.Index, t.Token = i.Index, i.Token
		n.Index = i.Index + 1
		return l.put(c, t)
	})
	if err != nil {
		select {
		case started <- err:
		default: // it had started: the lines end without an end mark
		}
		return
	}
	first()
	n.End, n.Reason = true, "stop"
	_ = l.put(c, n)
}

func (l *peerLines) put(c context.Context, n engine.Line) error {
	select {
	case l.lines <- n:
		return nil
	case <-c.Done():
		return c.Err()
	}
}

// Next returns the next line.
func (l *peerLines) Next() (engine.Line, error) {
	n, ok := <-l.lines
	if !ok {
		return n, io.EOF
	}
	return n, nil
}

// Close ends the reading.
func (l *peerLines) Close() error {
	l.stop()
	return nil
}

// relayError says with the engine's errors what a peer's refusal means.
func relayError(err error) error {
	e := errkind.Of(err)
	switch {
	case e.Kind.Response().Run == errkind.NotRun:
		return fmt.Errorf("%w: %w", engine.ErrNotRun, err)
	case e.Kind == errkind.Unavailable, e.Kind == errkind.CallerGone:
		return err
	default:
		// The peer's word that it failed is final: there is nothing to read on.
		return fmt.Errorf("%w: %w", engine.ErrRestarted, err)
	}
}

// Drained waits until no stream is left, or the context ends.
func (k *Keeper) Drained(c context.Context) bool {
	const look = 50 * time.Millisecond
	for k.Live() > 0 {
		if c.Err() != nil {
			return false
		}
		wait.For(c, look)
	}
	return true
}
