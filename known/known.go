// Package known holds what a box has learnt of its fleet: the configuration in
// force and the endpoints, and how fresh each is.
package known

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/store"
)

// Name is the name of the service.
const Name = "known"

// lapse is how long after an outage of the store a record that vanished may come
// back: endpoints that live write theirs again within two seconds. What vanishes
// later in that time is held for the rest of it only, since an endpoint that left
// without a word must get no new work two seconds after it did.
const lapse = 2 * time.Second

// watchWait is how long a call waits for changes: well inside the 2 s within
// which a configuration has to be in force and a leaving endpoint known.
const watchWait = 1400 * time.Millisecond

// Source says where the configuration and the endpoints stand, and decodes them.
type Source struct {
	ConfigKey       string
	OperatorPrefix  string // begins ConfigKey and the keys of orders; empty where there are none
	EndpointsPrefix string
	Document        func([]byte) (*catalog.Document, error)
	Endpoint        func(key string, value []byte) (endpoint.Endpoint, error)

	// Order decodes an order of a roll-out, and reports whether the key is that of one.
	Order func(store.Item) (rollout.Order, bool, error)
}

// Known is the service of one box.
type Known struct {
	Source
	Store  store.Store
	Roster endpoint.Roster

	// Told says that others may tell this box of the store: it begins to watch the store when
	// Follow is called, and not at its start.
	Told bool

	// OnOrders, if set, is called with all orders of roll-outs that stand, when the store has told
	// of a change of one.
	OnOrders func(rollout.Orders)

	// OnForeign, if set, is called with why a record names no endpoint.
	OnForeign func(endpoint.Reason)

	log     zerolog.Logger
	session *session.Session
	mirrors []*mirror.Mirror
	life    context.Context
	end     context.CancelFunc
	group   sync.WaitGroup

	table  atomic.Pointer[catalog.Table]
	listed atomic.Bool // the endpoints have been read once

	mu     sync.Mutex
	raw    []byte                 // the configuration as it was written
	absent map[string]*time.Timer // records that may come back
	born   map[string]bool        // IDs whose records say when the process started
	subs   []func([]byte)
	stop   context.CancelFunc // set while this box watches the store

	orders map[string]rollout.Order // by service

	applying sync.Mutex // held while a record is entered into the roster
	records  recordSet
	heard    []func(Records)
}

// New returns the service.
func New(src Source, s store.Store, log zerolog.Logger) *Known {
	return &Known{Source: src, Store: s, log: log, absent: map[string]*time.Timer{}, born: map[string]bool{}}
}

// Name returns the service's name.
func (k *Known) Name() string { return Name }

// Start begins to follow the store.
func (k *Known) Start(_ context.Context, n *kernel.Kernel) error {
	if err := kernel.Bind(n, session.Name, &k.session); err != nil {
		return err
	}
	k.mirrors = []*mirror.Mirror{
		{Store: k.Store, Prefix: k.operatorPrefix(), Wait: watchWait, Apply: k.applyConfig, Log: k.log, Away: k.session.Away},
		{Store: k.Store, Prefix: k.EndpointsPrefix, Wait: watchWait, Apply: k.applyEndpoints, Since: k.Revision, Log: k.log, Away: k.session.Away},
	}
	for _, m := range k.mirrors {
		k.session.OnReturn(m.Restart)
	}
	k.life, k.end = context.WithCancel(context.Background())
	k.Follow(!k.Told)
	return nil
}

// Follow begins or ends watching the store. A box that does not watch is told of
// changes by one that does.
func (k *Known) Follow(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on == (k.stop != nil) || k.life.Err() != nil {
		return
	}
	if !on {
		k.stop()
		k.stop = nil
		return
	}
	c, stop := context.WithCancel(k.life)
	k.stop = stop
	for _, m := range k.mirrors {
		k.group.Go(func() { m.Run(c) })
	}
}

// Follows reports whether this box watches the store itself.
func (k *Known) Follows() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stop != nil
}

// Stop ends the following.
func (k *Known) Stop(context.Context) error {
	k.end()
	k.group.Wait()
	return nil
}

// Table returns the configuration in force, or nil if none is known.
func (k *Known) Table() *catalog.Table { return k.table.Load() }

// Ready reports whether the configuration and the endpoints are known.
func (k *Known) Ready() bool { return k.table.Load() != nil && k.listed.Load() }

// OnRaw sets what is called, on a goroutine of its own, with the text of each
// configuration installed from now on.
func (k *Known) OnRaw(f func([]byte)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subs = append(k.subs, f)
}

// Raw returns the version in force and its text, for a box that lacks it.
func (k *Known) Raw() (uint64, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.table.Load(); t != nil {
		return t.Document.Version, k.raw
	}
	return 0, nil
}

// Install takes a configuration if it is newer than the one in force. From says
// where it came from.
func (k *Known) Install(raw []byte, from string) error {
	d, err := k.Document(raw)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", from, err)
	}
	t := catalog.NewTable(d)
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table.Load()
	if old != nil && d.Version <= old.Document.Version {
		return nil
	}
	k.table.Store(t)
	k.raw = raw
	for _, f := range k.subs {
		k.group.Go(func() { f(raw) })
	}
	k.log.Info().Str("event", "configuration").Uint64("version", d.Version).Str("from", from).
		Int("routes", len(d.Routes)).Int("accounts", len(d.Accounts)).Msg("in force")
	return nil
}

// operatorPrefix begins the keys that operators write.
func (k *Known) operatorPrefix() string {
	if k.OperatorPrefix == "" {
		return k.ConfigKey
	}
	return k.OperatorPrefix
}

func (k *Known) applyConfig(items []store.Item, whole bool, revision uint64) {
	if k.Order != nil && k.OnOrders != nil {
		k.applyOrders(items, whole, revision)
	}
	for _, i := range items {
		if i.Deleted || i.Key != k.ConfigKey {
			continue
		}
		if err := k.Install(i.Value, "store"); err != nil {
			k.log.Error().Str("event", "configuration").Uint64("revision", i.Revision).Err(err).Msg("not taken; the one in force stays")
		}
	}
}

func (k *Known) applyEndpoints(items []store.Item, whole bool, revision uint64) {
	k.applyRecords(Records{Items: items, Whole: whole, To: revision})
}

// applyRecords enters a change into the records, and from there into the roster. Changes come
// from the store and from other boxes at once: the roster takes of each key what the records
// hold when it does, whichever change is done first.
func (k *Known) applyRecords(c Records) {
	t := k.records.take(c)
	es := k.decode(t.items)
	many := len(t.items) > fewRecords
	for _, i := range t.items {
		k.applying.Lock()
		if k.records.holds(i) {
			k.applyRecord(i, es[i.Key], many)
		}
		k.applying.Unlock()
	}
	if many {
		k.log.Info().Str("event", "endpoints").Int("records", len(t.items)).Bool("whole", c.Whole).Uint64("revision", c.To).
			Int("known", k.Roster.Len()).Msg("many records at once")
	}
	if c.Whole {
		k.listed.Store(true)
	}
	if t.fresh {
		c.From = t.from
		k.announce(c)
	}
}

// decoded is what a record says.
type decoded struct {
	endpoint endpoint.Endpoint
	err      error
}

// decode reads the records of a change, by key.
func (k *Known) decode(items []store.Item) map[string]decoded {
	out := make(map[string]decoded, len(items))
	for _, i := range items {
		if !i.Deleted {
			e, err := k.Endpoint(i.Key, i.Value)
			out[i.Key] = decoded{e, err}
		}
	}
	return out
}

// fewRecords is how many endpoints that become known by one change are each logged: a box that
// starts would write a line for each of the fleet.
const fewRecords = 50

// applyRecord enters one record. Where it is one of many, endpoints that serve get no line.
func (k *Known) applyRecord(i store.Item, d decoded, many bool) {
	switch {
	case i.Deleted:
		k.vanish(strings.TrimPrefix(i.Key, k.EndpointsPrefix), i.Revision)
	case d.err != nil:
		k.foreign(i, d.err)
	case k.lacksBirth(d.endpoint):
		k.foreign(i, endpoint.NewRecordError(endpoint.Missing, "born"))
	default:
		k.enter(d.endpoint, i.Revision, many)
	}
}

// lacksBirth reports whether a record does not say when the process started though one before it
// did: no endpoint leaves that out, and taken for another process it would drop what is known of
// the one there. Where no record says so, endpoints have no births.
func (k *Known) lacksBirth(e endpoint.Endpoint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.StartMillis != 0 {
		k.born[e.ID] = true
	}
	return e.StartMillis == 0 && k.born[e.ID]
}

// foreign takes out the endpoint of a key that another has written: it gets no new work. An
// endpoint that lives writes its record again, and is back then; calls under way there go on.
func (k *Known) foreign(i store.Item, err error) {
	id := strings.TrimPrefix(i.Key, k.EndpointsPrefix)
	k.mu.Lock()
	if t := k.absent[id]; t != nil {
		t.Stop()
		delete(k.absent, id)
	}
	k.mu.Unlock()
	k.Roster.Remove(id)
	reason := endpoint.Unreadable
	var f *endpoint.RecordError
	if errors.As(err, &f) {
		reason = f.Reason
	}
	k.log.Warn().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", i.Revision).Err(err).Msg("the record names none to use")
	if k.OnForeign != nil {
		k.OnForeign(reason)
	}
}

func (k *Known) enter(e endpoint.Endpoint, revision uint64, many bool) {
	k.mu.Lock()
	if t := k.absent[e.ID]; t != nil {
		t.Stop()
		delete(k.absent, e.ID)
	}
	k.mu.Unlock()
	old, had := k.Roster.Get(e.ID)
	k.Roster.Put(e)
	if had && (old.Draining || !e.Draining) && old.StartMillis == e.StartMillis || many && !had && !e.Draining {
		return
	}
	k.log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("service", e.Service).Str("address", e.Address).
		Str("data_centre", e.DataCentre).Bool("draining", e.Draining).Bool("reclaimable", e.Reclaimable).
		Dur("leaves", e.DrainPeriod).Uint64("revision", revision).Msg("known")
}

// vanish removes an endpoint whose record is gone: at once, or when the
// time is over in which a record that ended during an outage may come back.
func (k *Known) vanish(id string, revision uint64) {
	e, had := k.Roster.Get(id)
	if !had {
		k.mu.Lock()
		delete(k.born, id)
		k.mu.Unlock()
		return
	}
	if hold := k.session.Unsettled(lapse); hold > 0 && !e.Draining {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.absent[id] == nil {
			k.absent[id] = time.AfterFunc(hold, func() { k.gone(id, revision) })
		}
		return
	}
	k.gone(id, revision)
}

func (k *Known) gone(id string, revision uint64) {
	k.mu.Lock()
	delete(k.absent, id)
	delete(k.born, id)
	k.mu.Unlock()
	k.Roster.Remove(id)
	k.log.Info().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", revision).Msg("gone")
}
