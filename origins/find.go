package origins

import (
	"cmp"
	"context"
	"slices"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/origin"
)

// Question asks where a stream began. Its ID is hashed; it is zero if the caller did not name the stream, which then has
// no record. Service is that of the request, for the versions in Reply.
type Question struct {
	Stream  uint64
	Service string
	Forward bool // the box asks others of its data centre if it does not know
}

// Reply is what a box knows: the record of the stream, if it has one, and the versions of the service that had endpoints
// recently, which are all at which streams have begun if Complete is set. Settled are those that are known to be settled.
type Reply struct {
	Found    bool
	Origin   origin.Origin
	Versions []string
	Complete bool
	Settled  []string `msgpack:",omitempty"`
}

// How a version was found, as values in logs and parts of the names of metrics.
const (
	foundHere       = "here"
	foundElsewhere  = "elsewhere"
	foundOnly       = "only_version" // no box that was asked has a record, and there is only one version
	foundNowhere    = "unknown"
	foundForAnother = "other_account"
)

// Reply returns what this box knows. The stream must have begun before, so that its version is among those of a complete reply.
func (d *Directory) Reply(q Question) Reply {
	now := boottime.Now()
	var a Reply
	a.Versions, a.Complete = d.Versions.All(q.Service, now)
	a.Settled = d.Versions.Settled(q.Service)
	if d.RecordsLag() > maxRecordsLag {
		a.Complete = false
	}
	if q.Stream != 0 {
		var r origin.Record
		r, a.Found = d.table.Get(q.Stream, now)
		a.Origin = r.Origin
	}
	return a
}

// Find returns where the stream of a request began. The stream is empty if the caller did not name it.
func (d *Directory) Find(c context.Context, request, stream, service, account string) origin.Finding {
	began := boottime.Now()
	q := Question{Service: service}
	if stream != "" {
		q.Stream = origin.Hash(stream)
	}
	outcome, asked, answered := foundHere, 0, 0
	a := d.Reply(q)
	age, unbroken := d.Versions.Age(began)
	isComplete := a.Complete
	if !a.Found && (stream != "" || !a.Complete) {
		outcome = foundElsewhere
		a, asked, answered = d.ask(c, q, cmp.Or(q.Stream, origin.Hash(request)), a)
	}
	var f origin.Finding
	switch {
	case a.Found && a.Origin.Account != origin.Hash(account):
		outcome, f.Foreign = foundForAnother, true
	case a.Found:
		f.Origin, f.Known = a.Origin, true
	case a.Complete && len(a.Versions) == 1 && a.Versions[0] != "":
		outcome, f.Known = foundOnly, true
		f.Origin = origin.Origin{Service: service, Version: a.Versions[0], Account: origin.Hash(account)}
	default:
		outcome = foundNowhere
	}
	metrics.GetOrRegisterCounter("origins.asked."+outcome, d.Metrics).Inc(1)
	d.Log.Info().Str("event", "origin").Str("request", request).Str("resumes", stream).Str("service", service).Str("outcome", outcome).
		Str("version", f.Version).Strs("versions", a.Versions).Bool("complete", a.Complete).Bool("complete_here", isComplete).Dur("view_age", age).
		Dur("view_unbroken", unbroken).Dur("store_age", d.StoreSilence()).
		Int("asked", asked).Int("answered", answered).Dur("took", boottime.Since(began)).Msg("decision")
	return f
}

// answer answers another box.
func (d *Directory) answer(c context.Context, q Question) Reply {
	a := d.Reply(q)
	if !q.Forward || a.Found || q.Stream == 0 && a.Complete {
		return a
	}
	q.Forward = false
	a, _, _ = d.askAll(c, q, d.Boxes().holders(cmp.Or(q.Stream, origin.Hash(q.Service)), ""), a)
	return a
}

// ask asks the boxes that may have the record of a stream, by its hash or another key, and, if none of them has it, those of other
// data centres through their relays. For a stream without a name it is enough that one box knows all versions.
func (d *Directory) ask(c context.Context, q Question, key uint64, own Reply) (a Reply, asked, answered int) {
	defer d.asking.Add(-1)
	if d.asking.Add(1) > maxAsking {
		own.Complete = false
		return own, 0, 0
	}
	relay := d.Relay()
	if d.IsRelay() {
		relay = ""
	}
	b := d.Boxes()
	a, asked, answered = d.askAll(c, q, b.holders(key, relay), own)
	if a.Found || len(b.Relays) == 0 || q.Stream == 0 && a.Complete {
		return a, asked, answered
	}
	q.Forward = true
	a, more, others := d.askAll(c, q, b.Relays, a)
	return a, asked + more, answered + others
}

// askAll asks boxes at once until one has the record. Otherwise it adds the versions that they know to those in own.
func (d *Directory) askAll(c context.Context, q Question, to []string, own Reply) (a Reply, asked, answered int) {
	x, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	type answer struct {
		Reply
		ok bool
	}
	answers := make(chan answer, len(to))
	for _, address := range to {
		go func() {
			var r Reply
			err := d.Call(x, address, methodAsk, q, &r)
			answers <- answer{r, err == nil}
		}()
	}
	for range to {
		r := <-answers
		if !r.ok {
			continue
		}
		answered++
		if r.Found {
			return r.Reply, len(to), answered
		}
		own.Versions = append(slices.Clone(own.Versions), r.Versions...)
		own.Settled = append(slices.Clone(own.Settled), r.Settled...)
		own.Complete = own.Complete || r.Complete
		if q.Stream == 0 && own.Complete {
			break
		}
	}
	slices.Sort(own.Versions)
	own.Versions = slices.Compact(own.Versions)
	return own, len(to), answered
}
