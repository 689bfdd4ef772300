package dispatch

import (
	"context"
	"errors"
	"time"

	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/dedup"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/stream"
)

const (
	handoverTimeout = 3 * time.Second // for all batches of a handover
	handoverBatch   = 2000            // records in a batch

	// maxResponseAge is the age up to which responses are handed over. Of older records the peer
	// only learns that they ran, so that retries get OutcomeUnknown.
	maxResponseAge = 2 * time.Minute
)

// partialStream is a stream taken over from another process. If Tokens is not the complete response
// (Whole is false), a peer continues the stream and the remaining tokens are read by its ID.
type partialStream struct {
	ID      string
	Account string
	Tokens  []string
	Whole   bool
}

// handoverRecord is a record as it is sent to the process that takes it over. Open means that its
// call has not run.
type handoverRecord struct {
	Name   string
	Nonce  uint64
	Digest uint64
	Age    time.Duration
	Open   bool
	Stream *partialStream
	Plain  *serviceproxy.Response
	Kind   errkind.Kind
	Reason string
}

// handOver hands the records over to a peer in the same data centre. From then on no record starts
// a run in this process, even if the peer did not receive the records.
func (d *Dispatcher) handOver(c context.Context) {
	to, ok := d.successor()
	if !ok {
		return
	}
	var all []handoverRecord
	for name, r := range d.records.Close() {
		if h, ok := packRecord(name, r); ok {
			all = append(all, h)
		}
	}
	c, cancel := context.WithTimeout(c, handoverTimeout)
	defer cancel()
	for len(all) > 0 {
		n := min(len(all), handoverBatch)
		if err := d.peers.Client.Call(c, to.Address, "once.inherit", all[:n], nil); err != nil {
			d.decisions.Record(decisions.Decision{Subject: "records", Event: "bequeath", Choice: to.Box, Reason: "not taken: " + err.Error()})
			return
		}
		all = all[n:]
	}
	d.members.SetSuccessor(to.Incarnation)
	d.decisions.Record(decisions.Decision{Subject: "records", Event: "bequeath", Choice: to.Box, Reason: "this process ends"})
}

func (d *Dispatcher) successor() (member.Member, bool) {
	self := d.members.Self()
	for _, m := range d.members.Up(self.DataCentre) {
		if m.Box != self.Box && m.State == member.Alive {
			return m, true
		}
	}
	return member.Member{}, false
}

// packRecord converts a record to the form that is handed over. It reports false for a record
// that is neither open nor done.
func packRecord(name string, r *dedup.Record[Result]) (handoverRecord, bool) {
	s, v, _ := r.Snapshot()
	h := handoverRecord{Name: name, Nonce: r.Nonce, Digest: r.Digest, Age: r.Age(), Open: s == dedup.Open, Plain: v.Plain}
	if h.Open {
		return h, true
	}
	if h.Age > maxResponseAge {
		h.Plain, h.Kind, h.Reason = nil, errkind.OutcomeUnknown, "it ran; its answer is no longer held"
		return h, true
	}
	if v.Err != nil {
		e := errkind.Of(v.Err)
		h.Kind, h.Reason = e.Kind, e.Message
	}
	if v.Stream != nil {
		ts, whole, err := v.Stream.Tokens()
		h.Stream = &partialStream{ID: v.Stream.ID, Account: v.Stream.Account, Tokens: ts, Whole: whole}
		var m *stream.MovedError
		if err != nil && !errors.As(err, &m) {
			e := errkind.Of(err)
			h.Stream, h.Kind, h.Reason = nil, e.Kind, e.Message
		}
	}
	if v.Inherited != nil {
		h.Stream = v.Inherited
	}
	return h, s == dedup.Done
}

// handleHandover handles the records handed over by a process that shuts down.
func (d *Dispatcher) handleHandover(_ context.Context, records []handoverRecord) (struct{}, error) {
	for _, h := range records {
		s, v := dedup.Done, Result{Plain: h.Plain, Inherited: h.Stream}
		if h.Reason != "" {
			v.Err = errkind.New(h.Kind, "%s", h.Reason)
		}
		if h.Open {
			s, v = dedup.Open, Result{}
		}
		d.records.TakeOver(h.Name, dedup.RestoreRecord(h.Nonce, h.Digest, h.Age, s, v))
	}
	return struct{}{}, nil
}

// readPartial passes the tokens taken over to sink, and then those that it reads from the peer
// that continues the stream.
func (d *Dispatcher) readPartial(c context.Context, s *partialStream, sink Sink) error {
	for i, t := range s.Tokens {
		if err := sink(Item{Index: i, Token: t}); err != nil {
			return err
		}
	}
	if s.Whole {
		return nil
	}
	return d.streams.ReadAnywhere(c, s.ID, s.Account, len(s.Tokens), func(i int, t string) error {
		return sink(Item{Index: i, Token: t})
	})
}
