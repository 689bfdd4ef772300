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
	"birchlink.dev/birchlink/dedup"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/ledger"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/ticket"
)

// Name is the name of the service.
const Name = "dispatch"

const (
	maxRecords     = 200_000                // keys and tickets
	peerRetryAfter = 2 * time.Second        // retry time reported while a run is in progress or a peer is unavailable
	deadlineGrace  = 500 * time.Millisecond // time after the deadline for a stream to report how it ended
)

// Result is the outcome of a run: a stream, which may still be running, a response, or an error.
type Result struct {
	Stream *stream.Stream
	Plain  *serviceproxy.Response
	Err    error

	// Inherited holds the tokens of a stream taken over from another process. The remaining tokens,
	// if any, are read by the stream's ID.
	Inherited *partialStream
}

// Dispatcher is the dispatch service of one box. Window tells until when a call may first be sent to an endpoint; nil stands for a box
// that does not shut down.
type Dispatcher struct {
	TTL    time.Duration
	Window *shutdown.Window

	records   *dedup.Table[Result]
	members   *member.Service
	peers     *peer.Node
	claims    *claims.Service
	streams   *stream.Service
	proxy     *serviceproxy.Proxy
	admission *admission.Admission
	decisions *decisions.Log
	runs      sync.WaitGroup
	givenUp   context.Context // Stop no longer waits for runs
	giveUp    context.CancelFunc
}

// New returns a dispatcher that keeps the records of keys and tickets for ttl.
func New(ttl time.Duration) *Dispatcher {
	d := &Dispatcher{TTL: ttl, records: dedup.NewTable[Result](maxRecords, ttl)}
	d.givenUp, d.giveUp = context.WithCancel(context.Background())
	return d
}

// Name returns the name of the service.
func (d *Dispatcher) Name() string { return Name }

// Start binds the services that the dispatcher needs and registers its handlers for peers.
func (d *Dispatcher) Start(_ context.Context, k *kernel.Kernel) error {
	if err := errors.Join(
		kernel.Bind(k, member.Name, &d.members),
		kernel.Bind(k, peer.Name, &d.peers),
		kernel.Bind(k, claims.Name, &d.claims),
		kernel.Bind(k, stream.Name, &d.streams),
		kernel.Bind(k, serviceproxy.Name, &d.proxy),
		kernel.Bind(k, admission.Name, &d.admission),
		kernel.Bind(k, decisions.Name, &d.decisions),
	); err != nil {
		return err
	}
	d.peers.Server.Handle("once.do", d.handleForwarded)
	peer.Handle(d.peers.Server, "once.inherit", d.handleHandover)
	return nil
}

// Stop waits for the runs that are under way, also those whose callers have disconnected, as long as there is time left to hand the
// records of this process over to a peer. The outcome of runs that have not ended by then is unknown.
func (d *Dispatcher) Stop(c context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.runs.Wait()
	}()
	x, cancel := context.WithCancel(c)
	defer cancel()
	if t, ok := c.Deadline(); ok {
		x, cancel = context.WithDeadline(x, t.Add(-2*handoverTimeout))
		defer cancel()
	}
	select {
	case <-done:
	case <-x.Done():
	case <-d.givenUp.Done():
	}
	d.handOver(c)
	return nil
}

// SetStopDeadline makes Stop wait for runs until a time at most.
func (d *Dispatcher) SetStopDeadline(t time.Time) { time.AfterFunc(time.Until(t), d.giveUp) }

// IssueTickets issues n tickets. Calls with these tickets run only in this process, or in the one
// that takes over its records.
func (d *Dispatcher) IssueTickets(n int) ([]string, error) {
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

// Do runs a call, or finds the run of an earlier call with the same key or ticket, and passes the
// response to sink.
func (d *Dispatcher) Do(c context.Context, q Call, sink Sink) error {
	// The stream itself stops at the deadline; deadlineGrace leaves time to report how it ended.
	c, cancel := context.WithDeadline(c, q.deadline().Add(deadlineGrace))
	defer cancel()
	switch {
	case q.Ticket != "":
		return d.doTicket(c, q, sink)
	case q.Key != "":
		return d.doKey(c, q, sink)
	default:
		return d.doUnkeyed(c, q, sink)
	}
}

// doUnkeyed runs a call without key or ticket.
func (d *Dispatcher) doUnkeyed(c context.Context, q Call, sink Sink) error {
	release, remote, err := d.admit(q)
	if err != nil {
		return err
	}
	defer release()
	if q.Plain != nil {
		resp, err := d.proxy.Do(c, *q.Plain)
		if err != nil {
			return err
		}
		return sink(Item{Plain: resp})
	}
	return d.readStream(c, d.startStream(q, remote), sink)
}

// startStream starts the stream of a chat call, in this data centre or in another one.
func (d *Dispatcher) startStream(q Call, remote bool) *stream.Stream {
	if remote {
		return d.streams.RunRemote(*q.Chat)
	}
	return d.streams.Run(*q.Chat)
}

// admit asks admission control for a call. A chat call that is refused for lack of capacity in
// this data centre may run in another one, which is reported by remote. The caller calls release
// when the call has ended. The error is of kind Stopping if the box shuts down and the call can't end in time.
func (d *Dispatcher) admit(q Call) (release func(), remote bool, err error) {
	if err := d.mayBegin(q); err != nil {
		return nil, false, err
	}
	release, err = d.admission.Enter(q.admission())
	n := decisions.Decision{Subject: q.id(), Event: "admit", Choice: "accepted"}
	if errkind.Is(err, errkind.Overloaded) && q.Chat != nil && d.streams.HasRemote() {
		n.Choice, n.Reason = "abroad", err.Error()
		release, remote, err = func() {}, true, nil
	}
	if err != nil {
		n.Choice, n.Reason = "refused", err.Error()
	}
	d.decisions.Record(n)
	return release, remote, err
}

// readStream passes the tokens of a stream to a sink. If the stream has moved to a peer, the
// remaining tokens are read from that peer.
func (d *Dispatcher) readStream(c context.Context, s *stream.Stream, sink Sink) error {
	next := 0
	each := func(i int, t string) error {
		next = i + 1
		return sink(Item{Index: i, Token: t})
	}
	err := s.Read(c, 0, each)
	var m *stream.MovedError
	if errors.As(err, &m) {
		return d.streams.ReadAnywhere(c, s.ID, s.Account, next, each)
	}
	return err
}

func (d *Dispatcher) doTicket(c context.Context, q Call, sink Sink) error {
	t, err := ticket.Parse(q.Ticket)
	if err != nil {
		return errkind.New(errkind.HeaderOutOfRange, "%w", err)
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

// doKey claims the key for this process and runs the call, or forwards it to the process that holds
// the key.
func (d *Dispatcher) doKey(c context.Context, q Call, sink Sink) error {
	k := ledger.NewKey(q.account(), q.Key)
	name := string(k[:])
	r, fresh, err := d.records.GetOrCreate(name, q.digest())
	if err != nil {
		return err
	}
	self := d.members.Self().Incarnation
	x, stop := d.WaitContext(c, q)
	claim, err := d.claims.Claim(x, ledger.Claim{Key: k[:], Holder: self, Nonce: r.Nonce, At: time.Now().Unix()})
	if e := context.Cause(x); err != nil && errkind.Is(e, errkind.Stopping) {
		err = errkind.New(errkind.Stopping, "the claim took too long: %s", errkind.Of(e).Message)
	}
	stop()
	switch {
	case err != nil:
		return err
	case claim.Nonce == r.Nonce:
		// The key was claimed by this process or by one whose records it took over.
	case claim.Holder != self:
		d.records.Drop(name)
		return d.forward(c, claim.Holder, q, sink)
	case fresh:
		return errkind.New(errkind.OutcomeUnknown, "the key was used here and is no longer remembered")
	}
	return d.runRecord(c, r, q, sink)
}

// forward sends the call to the process with the given incarnation, which runs it or returns the
// outcome that it holds. Only that process can tell whether the call ran, so it is not retried
// elsewhere.
func (d *Dispatcher) forward(c context.Context, incarnation string, q Call, sink Sink) error {
	m, up := d.members.ResolveIncarnation(incarnation)
	if !up || m.Incarnation == d.members.Self().Incarnation {
		return errkind.New(errkind.OutcomeUnknown, "the process that may run it has ended; it ran there or not at all")
	}
	if d.mayForward(q) != nil {
		// The call may have run there before, so that it can't be refused as one that did not.
		return errPeerTooLate
	}
	d.decisions.Record(decisions.Decision{Subject: q.id(), Event: "forward", Choice: m.Box, Reason: "it holds the key or issued the ticket"})
	err := d.peers.Client.Stream(c, m.Address, "once.do", forwarded{Call: q, To: m.Incarnation}, nil, func(b []byte) error {
		var i Item
		if err := msgpack.Unmarshal(b, &i); err != nil {
			return errkind.New(errkind.Internal, "decode item: %w", err)
		}
		return sink(i)
	})
	switch {
	case errkind.Is(err, errkind.Unavailable):
		return errkind.Of(err).WithRetryAfter(peerRetryAfter)
	case err != nil && errkind.Is(context.Cause(c), errkind.Stopping):
		return errPeerTooLate
	}
	return err
}

// errPeerTooLate is the error of a call that another process holds and whose outcome this one can't wait for, since it shuts down.
var errPeerTooLate = errkind.New(errkind.Unavailable, "this box stops; another one can ask the process that holds the call").WithRetryAfter(time.Second)

// forwarded is a call sent to a peer. Only the process with incarnation To may run it, not a later
// one at the same address.
type forwarded struct {
	Call Call
	To   string
}

// handleForwarded handles a call forwarded by a peer.
func (d *Dispatcher) handleForwarded(c context.Context, body []byte, send func(any) error) (any, error) {
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

// runRecord runs the call of a record unless it has run already, and passes the outcome to sink.
func (d *Dispatcher) runRecord(c context.Context, r *dedup.Record[Result], q Call, sink Sink) error {
	if r.TryBegin(d.TTL / 2) {
		release, remote, err := d.admit(q)
		if err != nil {
			r.Finish(Result{Err: err}, false)
			return err
		}
		d.runs.Go(func() {
			defer release()
			d.run(r, q, remote)
		})
	}
	st, v, err := r.Wait(c, hasOutcome)
	switch {
	case err != nil:
		return errkind.New(errkind.StillRunning, "it still runs; come back for its answer").WithRetryAfter(peerRetryAfter)
	case v.Stream != nil:
		return d.readStream(c, v.Stream, sink)
	case v.Inherited != nil:
		return d.readPartial(c, v.Inherited, sink)
	case v.Err != nil:
		return v.Err
	case st == dedup.Open:
		return errkind.New(errkind.ClaimUnavailable, "the key or ticket is too old to run").WithRetryAfter(0)
	}
	return sink(Item{Plain: v.Plain})
}

// hasOutcome reports whether there is an outcome, or a stream to read from.
func hasOutcome(s dedup.State, r Result) bool {
	return s != dedup.Running || r.Stream != nil
}

// run runs the call of a record. The run continues if its caller disconnects.
func (d *Dispatcher) run(r *dedup.Record[Result], q Call, remote bool) {
	if q.Plain != nil {
		resp, err := d.proxy.Do(context.Background(), *q.Plain)
		r.Finish(Result{Plain: resp, Err: err}, mayHaveRun(err))
		return
	}
	s := d.startStream(q, remote)
	r.PublishResult(Result{Stream: s})
	err := s.Wait(context.Background())
	if err != nil && !mayHaveRun(err) {
		r.Finish(Result{Err: err}, false)
		return
	}
	r.Finish(Result{Stream: s}, true)
}

// mayHaveRun reports whether a call that ended with err may have run.
func mayHaveRun(err error) bool {
	return err == nil || errkind.Of(err).Kind.Response().Run != errkind.NotRun
}
