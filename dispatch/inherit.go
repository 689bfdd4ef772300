package dispatch

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/once"
	"birchlink.dev/birchlink/plain"
	"birchlink.dev/birchlink/stream"
)

// The bounds of a bequest. Answers older than answersFor are left behind: their
// keys are then answered as "ran, outcome no longer held".
const (
	bequestLimit = 3 * time.Second
	bequestSize  = 2000
	answersFor   = 2 * time.Minute
)

// inherited is a stream that another process had: the tokens that it held, and
// where they are not the whole answer the id by which a peer goes on with it.
type inherited struct {
	ID      string
	Account string
	Tokens  []string
	Whole   bool
}

// bequest is one record on its way to the process that answers for it next.
type bequest struct {
	Name   string
	Nonce  uint64
	Digest uint64
	Age    time.Duration
	Open   bool
	Stream *inherited
	Plain  *plain.Response
	Kind   errkind.Kind
	Reason string
}

// bequeath gives the records to a peer of the data centre. They begin nothing
// here from then on, whether or not the peer has them.
func (d *Dispatcher) bequeath(c context.Context) {
	to, ok := d.heir()
	if !ok {
		return
	}
	var all []bequest
	for name, r := range d.records.Close() {
		if b, ok := pack(name, r); ok {
			all = append(all, b)
		}
	}
	c, cancel := context.WithTimeout(c, bequestLimit)
	defer cancel()
	for len(all) > 0 {
		n := min(len(all), bequestSize)
		if err := d.peers.Client.Call(c, to.Address, "once.inherit", all[:n], nil); err != nil {
			d.decisions.Note(decisions.Decision{Subject: "records", Event: "bequeath", Choice: to.Box, Reason: "not taken: " + err.Error()})
			return
		}
		all = all[n:]
	}
	d.members.Succeed(to.Incarnation)
	d.decisions.Note(decisions.Decision{Subject: "records", Event: "bequeath", Choice: to.Box, Reason: "this process ends"})
}

func (d *Dispatcher) heir() (member.Member, bool) {
	self := d.members.Self()
	for _, m := range d.members.Up(self.DataCentre) {
		if m.Box != self.Box && m.State == member.Alive {
			return m, true
		}
	}
	return member.Member{}, false
}

// pack returns a record as it is given away, if it is still worth it.
func pack(name string, r *once.Record[Result]) (bequest, bool) {
	s, v, _ := r.Snapshot()
	b := bequest{Name: name, Nonce: r.Nonce, Digest: r.Digest, Age: r.Age(), Open: s == once.Open, Plain: v.Plain}
	if b.Open {
		return b, true
	}
	if b.Age > answersFor {
		b.Plain, b.Kind, b.Reason = nil, errkind.OutcomeUnknown, "it ran; its answer is no longer held"
		return b, true
	}
	if v.Err != nil {
		e := errkind.Of(v.Err)
		b.Kind, b.Reason = e.Kind, e.Message
	}
	if v.Stream != nil {
		ts, whole, err := v.Stream.Tokens()
		b.Stream = &inherited{ID: v.Stream.ID, Account: v.Stream.Account, Tokens: ts, Whole: whole}
		var m *stream.MovedError
		if err != nil && !errors.As(err, &m) {
			e := errkind.Of(err)
			b.Stream, b.Kind, b.Reason = nil, e.Kind, e.Message
		}
	}
	if v.Inherited != nil {
		b.Stream = v.Inherited
	}
	return b, s == once.Done
}

// inherit takes the records of a process that ends.
func (d *Dispatcher) inherit(_ context.Context, bs []bequest) (struct{}, error) {
	for _, b := range bs {
		s, v := once.Done, Result{Plain: b.Plain, Inherited: b.Stream}
		if b.Reason != "" {
			v.Err = errkind.New(b.Kind, "%s", b.Reason)
		}
		if b.Open {
			s, v = once.Open, Result{}
		}
		d.records.TakeOver(b.Name, once.RestoreRecord(b.Nonce, b.Digest, b.Age, s, v))
	}
	return struct{}{}, nil
}

// readInherited gives the tokens that were inherited, and the rest from the
// peer that goes on with the stream.
func (d *Dispatcher) readInherited(c context.Context, h *inherited, sink Sink) error {
	for i, t := range h.Tokens {
		if err := sink(Item{Index: i, Token: t}); err != nil {
			return err
		}
	}
	if h.Whole {
		return nil
	}
	return d.keeper.ReadAnywhere(c, h.ID, h.Account, len(h.Tokens), func(i int, t string) error {
		return sink(Item{Index: i, Token: t})
	})
}
