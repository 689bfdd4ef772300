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
const reappearWindow = 2 * time.Second

// watchWait is how long a call waits for changes: well inside the 2 s within
// which a configuration has to be in force and a leaving endpoint known.
const watchTimeout = 1400 * time.Millisecond

// Source says where the configuration and the endpoints stand, and decodes them.
type Source struct {
	ConfigKey       string
	OperatorPrefix  string // begins ConfigKey and the keys of orders; empty where there are none
	EndpointsPrefix string
	DecodeConfig    func([]byte) (*catalog.Document, error)
	DecodeEndpoint  func(key string, value []byte) (endpoint.Endpoint, error)

	// Order decodes an order of a roll-out, and reports whether the key is that of one.
	DecodeOrder func(store.Item) (rollout.Order, bool, error)
}

// Service is the service of one box.
type Service struct {
	Source
	Store  store.Store
	Roster endpoint.Roster

	// Told says that others may tell this box of the store: it begins to watch the store when
	// Follow is called, and not at its start.
	DeferWatch bool

	// OnOrders, if set, is called with all orders of roll-outs that stand, when the store has told
	// of a change of one.
	OnOrders func(rollout.Orders)

	// OnForeign, if set, is called with why a record names no endpoint.
	OnInvalidRecord func(endpoint.Reason)

	log     zerolog.Logger
	session *session.Session
	mirrors []*mirror.Mirror
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	table         atomic.Pointer[catalog.Table]
	endpointsRead atomic.Bool // the endpoints have been read once

	mu              sync.Mutex
	rawConfig       []byte                 // the configuration as it was written
	pendingRemovals map[string]*time.Timer // records that may come back
	withStartTime   map[string]bool        // IDs whose records say when the process started
	configCallbacks []func([]byte)
	stopWatch       context.CancelFunc // set while this box watches the store

	orders map[string]rollout.Order // by service

	rosterMu        sync.Mutex // held while a record is entered into the roster
	records         recordSet
	recordCallbacks []func(Records)
}

// New returns the service.
func New(src Source, s store.Store, log zerolog.Logger) *Service {
	return &Service{Source: src, Store: s, log: log, pendingRemovals: map[string]*time.Timer{}, withStartTime: map[string]bool{}}
}

// Name returns the service's name.
func (k *Service) Name() string { return Name }

// Start begins to follow the store.
func (k *Service) Start(_ context.Context, n *kernel.Kernel) error {
	if err := kernel.Bind(n, session.Name, &k.session); err != nil {
		return err
	}
	k.mirrors = []*mirror.Mirror{
		{Store: k.Store, Prefix: k.operatorPrefix(), Wait: watchTimeout, Apply: k.applyConfig, Log: k.log, StoreUnreachable: k.session.Away},
		{Store: k.Store, Prefix: k.EndpointsPrefix, Wait: watchTimeout, Apply: k.applyEndpoints, StartRevision: k.Revision, Log: k.log, StoreUnreachable: k.session.Away},
	}
	for _, m := range k.mirrors {
		k.session.OnReturn(m.Restart)
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.SetWatching(!k.DeferWatch)
	return nil
}

// SetWatching begins or ends watching the store. A box that does not watch is told of
// changes by one that does.
func (k *Service) SetWatching(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on == (k.stopWatch != nil) || k.ctx.Err() != nil {
		return
	}
	if !on {
		k.stopWatch()
		k.stopWatch = nil
		return
	}
	c, stop := context.WithCancel(k.ctx)
	k.stopWatch = stop
	for _, m := range k.mirrors {
		k.group.Go(func() { m.Run(c) })
	}
}

// IsWatching reports whether this box watches the store itself.
func (k *Service) IsWatching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopWatch != nil
}

// Stop ends the following.
func (k *Service) Stop(context.Context) error {
	k.cancel()
	k.group.Wait()
	return nil
}

// Table returns the configuration in force, or nil if none is known.
func (k *Service) Table() *catalog.Table { return k.table.Load() }

// Ready reports whether the configuration and the endpoints are known.
func (k *Service) Ready() bool { return k.table.Load() != nil && k.endpointsRead.Load() }

// OnRawConfig sets what is called, on a goroutine of its own, with the text of each
// configuration installed from now on.
func (k *Service) OnRawConfig(f func([]byte)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configCallbacks = append(k.configCallbacks, f)
}

// RawConfig returns the version in force and its text, for a box that lacks it.
func (k *Service) RawConfig() (uint64, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.table.Load(); t != nil {
		return t.Document.Version, k.rawConfig
	}
	return 0, nil
}

// Install takes a configuration if it is newer than the one in force. From says
// where it came from.
func (k *Service) Install(raw []byte, from string) error {
	d, err := k.DecodeConfig(raw)
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
	k.rawConfig = raw
	for _, f := range k.configCallbacks {
		k.group.Go(func() { f(raw) })
	}
	k.log.Info().Str("event", "configuration").Uint64("version", d.Version).Str("from", from).
		Int("routes", len(d.Routes)).Int("accounts", len(d.Accounts)).Msg("in force")
	return nil
}

// operatorPrefix begins the keys that operators write.
func (k *Service) operatorPrefix() string {
	if k.OperatorPrefix == "" {
		return k.ConfigKey
	}
	return k.OperatorPrefix
}

func (k *Service) applyConfig(items []store.Item, whole bool, revision uint64) {
	if k.DecodeOrder != nil && k.OnOrders != nil {
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

func (k *Service) applyEndpoints(items []store.Item, whole bool, revision uint64) {
	k.applyRecords(Records{Items: items, Whole: whole, To: revision})
}

// applyRecords enters a change into the records, and from there into the roster. Changes come
// from the store and from other boxes at once: the roster takes of each key what the records
// hold when it does, whichever change is done first.
func (k *Service) applyRecords(c Records) {
	t := k.records.apply(c)
	es := k.decode(t.items)
	many := len(t.items) > maxLoggedRecords
	for _, i := range t.items {
		k.rosterMu.Lock()
		if k.records.isCurrent(i) {
			k.applyRecord(i, es[i.Key], many)
		}
		k.rosterMu.Unlock()
	}
	if many {
		k.log.Info().Str("event", "endpoints").Int("records", len(t.items)).Bool("whole", c.Whole).Uint64("revision", c.To).
			Int("known", k.Roster.Len()).Msg("many records at once")
	}
	if c.Whole {
		k.endpointsRead.Store(true)
	}
	if t.advanced {
		c.From = t.from
		k.notifyRecords(c)
	}
}

// decoded is what a record says.
type decoded struct {
	endpoint endpoint.Endpoint
	err      error
}

// decode reads the records of a change, by key.
func (k *Service) decode(items []store.Item) map[string]decoded {
	out := make(map[string]decoded, len(items))
	for _, i := range items {
		if !i.Deleted {
			e, err := k.DecodeEndpoint(i.Key, i.Value)
			out[i.Key] = decoded{e, err}
		}
	}
	return out
}

// fewRecords is how many endpoints that become known by one change are each logged: a box that
// starts would write a line for each of the fleet.
const maxLoggedRecords = 50

// applyRecord enters one record. Where it is one of many, endpoints that serve get no line.
func (k *Service) applyRecord(i store.Item, d decoded, many bool) {
	switch {
	case i.Deleted:
		k.removeOrDelay(strings.TrimPrefix(i.Key, k.EndpointsPrefix), i.Revision)
	case d.err != nil:
		k.removeInvalid(i, d.err)
	case k.lacksStartTime(d.endpoint):
		k.removeInvalid(i, endpoint.NewForeign(endpoint.Missing, "born"))
	default:
		k.putEndpoint(d.endpoint, i.Revision, many)
	}
}

// lacksStartTime reports whether a record does not say when the process started though one before it
// did: no endpoint leaves that out, and taken for another process it would drop what is known of
// the one there. Where no record says so, endpoints have no births.
func (k *Service) lacksStartTime(e endpoint.Endpoint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Born != 0 {
		k.withStartTime[e.ID] = true
	}
	return e.Born == 0 && k.withStartTime[e.ID]
}

// removeInvalid takes out the endpoint of a key that another has written: it gets no new work. An
// endpoint that lives writes its record again, and is back then; calls under way there go on.
func (k *Service) removeInvalid(i store.Item, err error) {
	id := strings.TrimPrefix(i.Key, k.EndpointsPrefix)
	k.mu.Lock()
	if t := k.pendingRemovals[id]; t != nil {
		t.Stop()
		delete(k.pendingRemovals, id)
	}
	k.mu.Unlock()
	k.Roster.Remove(id)
	reason := endpoint.Unreadable
	var f *endpoint.ForeignError
	if errors.As(err, &f) {
		reason = f.Reason
	}
	k.log.Warn().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", i.Revision).Err(err).Msg("the record names none to use")
	if k.OnInvalidRecord != nil {
		k.OnInvalidRecord(reason)
	}
}

func (k *Service) putEndpoint(e endpoint.Endpoint, revision uint64, many bool) {
	k.mu.Lock()
	if t := k.pendingRemovals[e.ID]; t != nil {
		t.Stop()
		delete(k.pendingRemovals, e.ID)
	}
	k.mu.Unlock()
	old, had := k.Roster.Get(e.ID)
	k.Roster.Put(e)
	if had && (old.Draining || !e.Draining) && old.Born == e.Born || many && !had && !e.Draining {
		return
	}
	k.log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.Born).Str("service", e.Service).Str("address", e.Address).
		Str("data_centre", e.DataCentre).Bool("draining", e.Draining).Bool("reclaimable", e.Reclaimable).
		Dur("leaves", e.Leaves).Uint64("revision", revision).Msg("known")
}

// removeOrDelay removes an endpoint whose record is gone: at once, or when the
// time is over in which a record that ended during an outage may come back.
func (k *Service) removeOrDelay(id string, revision uint64) {
	e, had := k.Roster.Get(id)
	if !had {
		k.mu.Lock()
		delete(k.withStartTime, id)
		k.mu.Unlock()
		return
	}
	if hold := k.session.Unsettled(reappearWindow); hold > 0 && !e.Draining {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.pendingRemovals[id] == nil {
			k.pendingRemovals[id] = time.AfterFunc(hold, func() { k.remove(id, revision) })
		}
		return
	}
	k.remove(id, revision)
}

func (k *Service) remove(id string, revision uint64) {
	k.mu.Lock()
	delete(k.pendingRemovals, id)
	delete(k.withStartTime, id)
	k.mu.Unlock()
	k.Roster.Remove(id)
	k.log.Info().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", revision).Msg("gone")
}
