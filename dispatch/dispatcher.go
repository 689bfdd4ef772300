package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/claims"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/ledger"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/once"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/plain"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/ticket"
)

// Name is the name of the service.
const Name = "dispatch"

// The bounds of what a process remembers.
const (
	maxRecords = 200_000
	retryPeer  = 2 * time.Second
	verdictIn  = 500 * time.Millisecond
)

// Result is what a run gave: a stream that may go on, a response, or an error.
type Result struct {
	Stream *stream.Stream
	Plain  *plain.Response
	Err    error

	// Inherited is the part of a stream that another process had, whose rest, if
	// any, is to be read by its id.
	Inherited *inherited
}

// Dispatcher is the service of one box.
type Dispatcher struct {
	TTL time.Duration

	records   *once.Table[Result]
	members   *member.Service
	peers     *peer.Node
	claims    *claims.Service
	keeper    *stream.Service
	proxy     *plain.Proxy
	admission *admission.Admission
	decisions *decisions.Log
	group     sync.WaitGroup
}

// New returns the dispatcher of a box. Keys and tickets are remembered for ttl.
func New(ttl time.Duration) *Dispatcher {
	return &Dispatcher{TTL: ttl, records: once.NewTable[Result](maxRecords, ttl)}
}

// Name returns the service's name.
func (d *Dispatcher) Name() string { return Name }

// Start lets peers have calls run here.
func (d *Dispatcher) Start(_ context.Context, k *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(k, member.Name, &d.members),
		kernel.Bind(k, peer.Name, &d.peers),
		kernel.Bind(k, claims.Name, &d.claims),
		kernel.Bind(k, stream.Name, &d.keeper),
		kernel.Bind(k, plain.Name, &d.proxy),
		kernel.Bind(k, admission.Name, &d.admission),
		kernel.Bind(k, decisions.Name, &d.decisions),
	); err != nil {
		return err
	}
	d.peers.Server.Handle("once.do", d.answer)
	peer.Handle(d.peers.Server, "once.inherit", d.inherit)
	return nil
}

// Stop waits for runs whose callers have left, and gives what this process
// remembers to another.
func (d *Dispatcher) Stop(c context.Context) error {
	d.group.Wait()
	d.bequeath(c)
	return nil
}

// Mint issues tickets that this process alone will run.
func (d *Dispatcher) Mint(n int) ([]string, error) {
	ts := make([]string, n)
	for i := range ts {
		t := ticket.New(d.members.Self().Incarnation).String()
		if _, _, err := d.records.GetOrCreate(t, 0); err != nil {
			return nil, err
		}
		ts[i] = t
	}
	return ts, nil
}

// Do carries a call to its whole answer.
func (d *Dispatcher) Do(c context.Context, q Call, sink Sink) error {
	// The stream ends at the deadline by itself, and says how.
	c, cancel := context.WithDeadline(c, q.deadline().Add(verdictIn))
	defer cancel()
	switch {
	case q.Ticket != "":
		return d.doTicket(c, q, sink)
	case q.Key != "":
		return d.doKey(c, q, sink)
	default:
		return d.doFree(c, q, sink)
	}
}

// doFree runs a call that no other call can be the same as.
func (d *Dispatcher) doFree(c context.Context, q Call, sink Sink) error {
	leave, abroad, err := d.enter(q)
	if err != nil {
		return err
	}
	defer leave()
	if q.Plain != nil {
		a, err := d.proxy.Do(c, *q.Plain)
		if err != nil {
			return err
		}
		return sink(Item{Plain: a})
	}
	return d.read(c, d.start(q, abroad), sink)
}

// start starts a call's stream, here or in another data centre.
func (d *Dispatcher) start(q Call, abroad bool) *stream.Stream {
	if abroad {
		return d.keeper.RunRemote(*q.Chat)
	}
	return d.keeper.Run(*q.Chat)
}

// enter asks admission. A chat for which there is no room here may go abroad.
func (d *Dispatcher) enter(q Call) (leave func(), abroad bool, err error) {
	leave, err = d.admission.Enter(q.admission())
	n := decisions.Decision{Subject: q.id(), Event: "admit", Choice: "accepted"}
	if errkind.Is(err, errkind.Overloaded) && q.Chat != nil && d.keeper.HasRemote() {
		n.Choice, n.Reason = "abroad", err.Error()
		leave, abroad, err = func() {}, true, nil
	}
	if err != nil {
		n.Choice, n.Reason = "refused", err.Error()
	}
	d.decisions.Note(n)
	return leave, abroad, err
}

// read hands a stream to a sink; when a peer goes on with it, from there.
func (d *Dispatcher) read(c context.Context, s *stream.Stream, sink Sink) error {
	next := 0
	each := func(i int, t string) error {
		next = i + 1
		return sink(Item{Index: i, Token: t})
	}
	err := s.Read(c, 0, each)
	var m *stream.MovedError
	if errors.As(err, &m) {
		return d.keeper.ReadAnywhere(c, s.ID, s.Account, next, each)
	}
	return err
}

func (d *Dispatcher) doTicket(c context.Context, q Call, sink Sink) error {
	t, err := ticket.Parse(q.Ticket)
	if err != nil {
		return errkind.New(errkind.HeaderRange, "%w", err)
	}
	_, known := d.records.Find(q.Ticket)
	if t.Incarnation != d.members.Self().Incarnation && !known {
		return d.forward(c, t.Incarnation, q, sink)
	}
	if !known {
		return errkind.New(errkind.OutcomeUnknown, "the ticket is no longer remembered")
	}
	r, _, err := d.records.GetOrCreate(q.Ticket, q.digest())
	if err != nil {
		return err
	}
	return d.runRecord(c, r, q, sink)
}

// doKey claims the key for this process, or goes to the one that holds it.
func (d *Dispatcher) doKey(c context.Context, q Call, sink Sink) error {
	k := ledger.NewKey(q.account(), q.Key)
	name := string(k[:])
	r, fresh, err := d.records.GetOrCreate(name, q.digest())
	if err != nil {
		return err
	}
	self := d.members.Self().Incarnation
	in, err := d.claims.Claim(c, ledger.Claim{Key: k[:], Holder: self, Nonce: r.Nonce, At: time.Now().Unix()})
	switch {
	case err != nil:
		return err
	case in.Nonce == r.Nonce:
		// Claimed by this process, or by one whose records it inherited.
	case in.Holder != self:
		d.records.Drop(name)
		return d.forward(c, in.Holder, q, sink)
	case fresh:
		return errkind.New(errkind.OutcomeUnknown, "the key was used here and is no longer remembered")
	}
	return d.runRecord(c, r, q, sink)
}

// forward has the process of an incarnation run the call, or give what it has.
func (d *Dispatcher) forward(c context.Context, incarnation string, q Call, sink Sink) error {
	m, up := d.members.Answering(incarnation)
	if !up || m.Incarnation == d.members.Self().Incarnation {
		return errkind.New(errkind.OutcomeUnknown, "the process that may run it has ended; it ran there or not at all")
	}
	d.decisions.Note(decisions.Decision{Subject: q.id(), Event: "forward", Choice: m.Box, Reason: "it holds the key or issued the ticket"})
	err := d.peers.Client.Stream(c, m.Address, "once.do", forwarded{Call: q, To: m.Incarnation}, nil, func(b []byte) error {
		var i Item
		if err := msgpack.Unmarshal(b, &i); err != nil {
			return errkind.New(errkind.Internal, "decode item: %w", err)
		}
		return sink(i)
	})
	if errkind.Is(err, errkind.Unavailable) {
		return errkind.Of(err).After(retryPeer)
	}
	return err
}

// forwarded is a call for one incarnation and no other at the same address.
type forwarded struct {
	Call Call
	To   string
}

// answer runs a call that a peer forwarded.
func (d *Dispatcher) answer(c context.Context, body []byte, send func(any) error) (any, error) {
	var f forwarded
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return nil, errkind.New(errkind.BadRequest, "decode call: %w", err)
	}
	q, sink := f.Call, func(i Item) error { return send(i) }
	if f.To != d.members.Self().Incarnation {
		return nil, errkind.New(errkind.OutcomeUnknown, "the process that may run it has ended; it ran there or not at all")
	}
	name := q.Ticket
	if name == "" {
		k := ledger.NewKey(q.account(), q.Key)
		name = string(k[:])
	}
	if _, known := d.records.Find(name); !known {
		return nil, errkind.New(errkind.OutcomeUnknown, "the key or ticket is no longer remembered")
	}
	r, _, err := d.records.GetOrCreate(name, q.digest())
	if err != nil {
		return nil, err
	}
	return nil, d.runRecord(c, r, q, sink)
}

// runRecord runs a record's call if it has not run, and reads what it gave.
func (d *Dispatcher) runRecord(c context.Context, r *once.Record[Result], q Call, sink Sink) error {
	if r.TryBegin(d.TTL / 2) {
		leave, abroad, err := d.enter(q)
		if err != nil {
			r.Finish(Result{Err: err}, false)
			return err
		}
		d.group.Go(func() {
			defer leave()
			d.run(r, q, abroad)
		})
	}
	st, v, err := r.Wait(c, settled)
	switch {
	case err != nil:
		return errkind.New(errkind.StillRunning, "it still runs; come back for its answer").After(retryPeer)
	case v.Stream != nil:
		return d.read(c, v.Stream, sink)
	case v.Inherited != nil:
		return d.readInherited(c, v.Inherited, sink)
	case v.Err != nil:
		return v.Err
	case st == once.Open:
		return errkind.New(errkind.ClaimUnavailable, "the key or ticket is too old to run").After(0)
	}
	return sink(Item{Plain: v.Plain})
}

// settled reports whether there is something to give to a caller.
func settled(s once.State, r Result) bool {
	return s != once.Running || r.Stream != nil
}

// run makes the run of a record. It goes on when its caller leaves.
func (d *Dispatcher) run(r *once.Record[Result], q Call, abroad bool) {
	if q.Plain != nil {
		a, err := d.proxy.Do(context.Background(), *q.Plain)
		r.Finish(Result{Plain: a, Err: err}, didRun(err))
		return
	}
	s := d.start(q, abroad)
	r.PublishResult(Result{Stream: s})
	err := s.Wait(context.Background())
	if err != nil && !didRun(err) {
		r.Finish(Result{Err: err}, false)
		return
	}
	r.Finish(Result{Stream: s}, true)
}

// didRun reports whether a run may have happened.
func didRun(err error) bool {
	return err == nil || errkind.Of(err).Kind.Answer().Run != errkind.NotRun
}
