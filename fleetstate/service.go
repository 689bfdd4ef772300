// Package fleetstate holds a box's copy of the fleet's state: the configuration in
// force, the endpoint records and the rollout orders. The state comes from watches
// of the store or, on a box that doesn't watch it, from other boxes. Changes are
// applied by revision, so an older one never replaces a newer one.
package fleetstate

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/viewage"
)

// Name is the name of the service.
const Name = "known"

// reappearWindow is how long after an outage of the store the removal of an
// endpoint is delayed: a live endpoint rewrites its expired record within 2 s. A
// record deleted within the window is kept until the end of the window only,
// because an endpoint that crashed must get no new work 2 s later.
const reappearWindow = 2 * time.Second

// watchTimeout is how long one watch call waits for changes. Each call confirms the state as of
// its beginning, so a view is up to twice as old.
const watchTimeout = 700 * time.Millisecond

// Source names the store keys of the configuration, the rollout orders and the
// endpoint records, and decodes their values.
type Source struct {
	ConfigKey       string
	OperatorPrefix  string // common prefix of ConfigKey and the rollout orders; empty without orders
	EndpointsPrefix string
	DecodeConfig    func([]byte) (*catalog.Document, error)
	DecodeEndpoint  func(key string, value []byte) (endpoint.Endpoint, error)

	// DecodeOrder decodes a rollout order and reports whether the key is that of an order.
	DecodeOrder func(store.Item) (rollout.Order, bool, error)
}

// Service keeps the fleet state of one box up to date.
type Service struct {
	Source
	Store  store.Store
	Roster endpoint.Roster

	// DeferWatch makes Start leave the store unwatched until SetWatching is called. It is set
	// on a box that gets changes from other boxes.
	DeferWatch bool

	// OnOrders, if set, is called with all current rollout orders when one of them changes in
	// the store.
	OnOrders func(rollout.Orders)

	// OnInvalidRecord, if set, is called with the reason why an endpoint record was rejected.
	OnInvalidRecord func(endpoint.Reason)

	log     zerolog.Logger
	session *storesession.Session
	mirrors []*mirror.Mirror
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	configView, recordsView view

	table         atomic.Pointer[catalog.Table]
	endpointsRead atomic.Bool   // whether all endpoint records have been read once
	ready         chan struct{} // closed once both are known
	closeReady    func()

	installMu sync.Mutex // held while a configuration is put in force

	mu              sync.Mutex
	rawConfig       []byte                 // the encoded configuration in force
	pendingRemovals map[string]*time.Timer // by endpoint ID
	withStartTime   map[string]bool        // endpoint IDs whose records have contained a start time
	configCallbacks []func([]byte)
	configHooks     []func(*catalog.Document)
	stopWatch       context.CancelFunc // nil unless this box watches the store

	orders map[string]rollout.Order // by service

	applyMu         sync.Mutex // held while records are applied to the roster, and confirmed
	records         recordSet
	recordCallbacks []func(Records)
}

// New returns a service that reads src from s.
func New(src Source, s store.Store, log zerolog.Logger) *Service {
	ready := make(chan struct{})
	return &Service{
		Source: src, Store: s, log: log, pendingRemovals: map[string]*time.Timer{}, withStartTime: map[string]bool{},
		configView: view{age: viewage.New()}, recordsView: view{age: viewage.New()},
		ready: ready, closeReady: sync.OnceFunc(func() { close(ready) }),
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start begins to watch the store, unless DeferWatch is set.
func (s *Service) Start(_ context.Context, n *kernel.Kernel) error {
	if err := kernel.Bind(n, storesession.Name, &s.session); err != nil {
		return err
	}
	s.mirrors = []*mirror.Mirror{
		{
			Store: s.Store, Prefix: s.operatorPrefix(), Wait: watchTimeout, Apply: s.applyConfig, OnCurrent: s.configView.confirm,
			Log: s.log, StoreUnreachable: s.session.StoreUnreachable,
		},
		{
			Store: s.Store, Prefix: s.EndpointsPrefix, Wait: watchTimeout, Apply: s.applyEndpoints, StartRevision: s.Revision,
			OnCurrent: s.confirmRecords, IsUrgent: s.hasUnsettled, Log: s.log, StoreUnreachable: s.session.StoreUnreachable,
		},
	}
	for _, m := range s.mirrors {
		s.session.OnReconnect(m.Restart)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.SetWatching(!s.DeferWatch)
	return nil
}

// SetWatching starts or stops watching the store. A box that doesn't watch gets the
// changes from a box that does.
func (s *Service) SetWatching(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.stopWatch != nil) || s.ctx.Err() != nil {
		return
	}
	if !on {
		s.stopWatch()
		s.stopWatch = nil
		return
	}
	c, stop := context.WithCancel(s.ctx)
	s.stopWatch = stop
	for _, m := range s.mirrors {
		s.group.Go(func() { m.Run(c) })
	}
}

// IsWatching reports whether this box watches the store itself.
func (s *Service) IsWatching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopWatch != nil
}

// Stop stops watching the store and waits for running callbacks.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.group.Wait()
	return nil
}

// Table returns the configuration in force, or nil if none is known.
func (s *Service) Table() *catalog.Table { return s.table.Load() }

// Ready reports whether the configuration and the endpoints are known.
func (s *Service) Ready() bool { return s.table.Load() != nil && s.endpointsRead.Load() }

// WhenReady returns a channel that is closed once the configuration and the endpoints are known.
func (s *Service) WhenReady() <-chan struct{} { return s.ready }

// signalReady closes the channel of WhenReady if the configuration and the endpoints are known.
func (s *Service) signalReady() {
	if s.Ready() {
		s.closeReady()
	}
}

// OnRawConfig registers a function that is called, on a goroutine of its own, with the
// encoded form of each configuration installed from now on.
func (s *Service) OnRawConfig(f func([]byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configCallbacks = append(s.configCallbacks, f)
}

// OnConfig registers a function that is called with each configuration before it is in force, from now on.
func (s *Service) OnConfig(f func(*catalog.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configHooks = append(s.configHooks, f)
}

// prepareConfig calls the functions of OnConfig.
func (s *Service) prepareConfig(d *catalog.Document) {
	s.mu.Lock()
	fs := s.configHooks
	s.mu.Unlock()
	for _, f := range fs {
		f(d)
	}
}

// RawConfig returns the version of the configuration in force and its encoded form,
// or zero values if none is known.
func (s *Service) RawConfig() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.table.Load(); t != nil {
		return t.Document.Version, s.rawConfig
	}
	return 0, nil
}

// Install decodes a configuration and puts it in force if its version is newer than
// the current one. From names the source in errors and logs.
func (s *Service) Install(raw []byte, from string) error {
	d, err := s.DecodeConfig(raw)
	if err != nil {
		return fmt.Errorf("configuration from %s: %w", from, err)
	}
	s.installMu.Lock()
	defer s.installMu.Unlock()
	old := s.table.Load()
	if old != nil && d.Version <= old.Document.Version {
		return nil
	}
	s.prepareConfig(d)
	t := catalog.NewTable(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(t)
	s.rawConfig = raw
	s.signalReady()
	s.configView.lag.Reach(d.Version)
	for _, f := range s.configCallbacks {
		s.group.Go(func() { f(raw) })
	}
	s.log.Info().Str("event", "configuration").Uint64("version", d.Version).Str("from", from).
		Int("routes", len(d.Routes)).Int("accounts", len(d.Accounts)).Msg("in force")
	return nil
}

// operatorPrefix returns the common prefix of the keys that operators write.
func (s *Service) operatorPrefix() string {
	if s.OperatorPrefix == "" {
		return s.ConfigKey
	}
	return s.OperatorPrefix
}

func (s *Service) applyConfig(items []store.Item, whole bool, revision uint64) {
	if s.DecodeOrder != nil && s.OnOrders != nil {
		s.applyOrders(items, whole, revision)
	}
	// Those before the newest one that can be decoded are never needed.
	for _, i := range slices.Backward(items) {
		if i.Deleted || i.Key != s.ConfigKey {
			continue
		}
		err := s.Install(i.Value, "store")
		if err == nil {
			return
		}
		s.log.Error().Str("event", "configuration").Uint64("revision", i.Revision).Err(err).Msg("not taken; the configuration in force is kept")
	}
}

func (s *Service) applyEndpoints(items []store.Item, whole bool, revision uint64) {
	s.applyRecords(Records{Items: items, Whole: whole, Events: !whole, To: revision})
}

// applyRecords applies a change to the records and then to the roster. Of several changes of a
// record, the roster gets the last one only.
func (s *Service) applyRecords(c Records) {
	t := s.applyToRoster(c)
	if c.Whole {
		s.endpointsRead.Store(true)
		s.signalReady()
	}
	s.recordsView.lag.Reach(s.Revision())
	if t.advanced {
		c.From = t.from
		s.notifyRecords(c)
	}
}

func (s *Service) applyToRoster(c Records) applyResult {
	es := s.decode(s.records.newer(c.Items))
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	t := s.records.apply(c)
	if t.advanced && !c.Events {
		s.Roster.Versions.Skip(c.Known != nil, boottime.Now())
	}
	for service, names := range c.Known {
		for _, n := range names {
			s.Roster.Versions.Note(service, n, boottime.Now())
		}
	}
	bulk := len(t.items) > maxLoggedRecords
	for _, i := range t.items {
		d := es[recordID{i.Key, i.Revision}]
		switch {
		case s.records.isCurrent(i):
			s.applyRecord(i, d, bulk)
		case !i.Deleted && d.err == nil:
			s.Roster.Versions.Note(d.endpoint.Service, d.endpoint.Version, boottime.Now())
		}
	}
	if bulk {
		s.log.Info().Str("event", "endpoints").Int("records", len(t.items)).Bool("whole", c.Whole).Uint64("revision", c.To).
			Int("known", s.Roster.Len()).Msg("applied many records")
	}
	return t
}

// hasUnsettled reports whether a software version waits for confirmations to be settled.
func (s *Service) hasUnsettled() bool { return s.Roster.Versions.CountUnsettled(boottime.Now()) > 0 }

// confirmRecords records that the records, as applied to the roster, had all changes made up to a time.
func (s *Service) confirmRecords(at time.Time) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.recordsView.confirm(at)
	s.Roster.Versions.Confirm(at)
}

// recordID identifies a record as it was at a revision.
type recordID struct {
	key      string
	revision uint64
}

// decoded is the result of decoding a record.
type decoded struct {
	endpoint endpoint.Endpoint
	err      error
}

// decode decodes records. Deleted items are left out.
func (s *Service) decode(items []store.Item) map[recordID]decoded {
	out := make(map[recordID]decoded, len(items))
	for _, i := range items {
		if !i.Deleted {
			e, err := s.DecodeEndpoint(i.Key, i.Value)
			out[recordID{i.Key, i.Revision}] = decoded{e, err}
		}
	}
	return out
}

// maxLoggedRecords is the largest change whose new endpoints are logged one by one. Without the
// limit a starting box would log a line for each endpoint of the fleet.
const maxLoggedRecords = 50

// applyRecord applies one record to the roster. In a bulk change, new endpoints that aren't
// draining are not logged.
func (s *Service) applyRecord(i store.Item, d decoded, bulk bool) {
	switch {
	case i.Deleted:
		s.removeOrDelay(strings.TrimPrefix(i.Key, s.EndpointsPrefix), i.Revision)
	case d.err != nil:
		s.removeInvalid(i, d.err)
	case s.lacksStartTime(d.endpoint):
		s.removeInvalid(i, endpoint.NewRecordError(endpoint.Missing, "born"))
	default:
		s.putEndpoint(d.endpoint, i.Revision, bulk)
	}
}

// lacksStartTime reports whether a record has no start time though an earlier record of the same
// endpoint had one. Endpoints that report a start time always do, so another program wrote the
// record. Accepting it would look like a new process and discard the state kept for the running
// one. If no endpoint reports a start time, all records pass.
func (s *Service) lacksStartTime(e endpoint.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.StartMillis != 0 {
		s.withStartTime[e.ID] = true
	}
	return e.StartMillis == 0 && s.withStartTime[e.ID]
}

// removeInvalid removes the endpoint whose record was overwritten by another program, so that it
// gets no new work. Running calls continue. A live endpoint rewrites its record and is added again.
func (s *Service) removeInvalid(i store.Item, err error) {
	id := strings.TrimPrefix(i.Key, s.EndpointsPrefix)
	s.mu.Lock()
	if t := s.pendingRemovals[id]; t != nil {
		t.Stop()
		delete(s.pendingRemovals, id)
	}
	s.mu.Unlock()
	s.Roster.Remove(id)
	reason := endpoint.Unreadable
	var f *endpoint.RecordError
	if errors.As(err, &f) {
		reason = f.Reason
	}
	s.log.Warn().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", i.Revision).Err(err).Msg("invalid record; endpoint removed")
	if s.OnInvalidRecord != nil {
		s.OnInvalidRecord(reason)
	}
}

// putEndpoint adds or updates an endpoint and cancels its pending removal.
func (s *Service) putEndpoint(e endpoint.Endpoint, revision uint64, bulk bool) {
	s.mu.Lock()
	if t := s.pendingRemovals[e.ID]; t != nil {
		t.Stop()
		delete(s.pendingRemovals, e.ID)
	}
	s.mu.Unlock()
	old, had := s.Roster.Get(e.ID)
	s.Roster.Put(e)
	if had && (old.Draining || !e.Draining) && old.StartMillis == e.StartMillis || bulk && !had && !e.Draining {
		return
	}
	s.log.Info().Str("event", "endpoint").Str("endpoint", e.ID).Int64("born", e.StartMillis).Str("service", e.Service).Str("version", e.Version).Str("address", e.Address).
		Str("data_centre", e.DataCentre).Bool("draining", e.Draining).Bool("reclaimable", e.Reclaimable).
		Dur("leaves", e.DrainPeriod).Uint64("revision", revision).Dur("view_age", s.RecordsAge()).Msg("known")
}

// removeOrDelay removes an endpoint whose record was deleted. During an outage of the
// store and for reappearWindow after it, only draining endpoints are removed at once;
// the others may be written again.
func (s *Service) removeOrDelay(id string, revision uint64) {
	e, had := s.Roster.Get(id)
	if !had {
		s.mu.Lock()
		delete(s.withStartTime, id)
		s.mu.Unlock()
		return
	}
	if delay := s.session.OutageGrace(reappearWindow); delay > 0 && !e.Draining {
		s.Roster.Versions.Lapse(e.Service, e.Version, boottime.Now())
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pendingRemovals[id] == nil {
			s.pendingRemovals[id] = time.AfterFunc(delay, func() { s.remove(id, revision) })
		}
		return
	}
	s.remove(id, revision)
}

func (s *Service) remove(id string, revision uint64) {
	s.mu.Lock()
	delete(s.pendingRemovals, id)
	delete(s.withStartTime, id)
	s.mu.Unlock()
	s.Roster.Remove(id)
	s.log.Info().Str("event", "endpoint").Str("endpoint", id).Uint64("revision", revision).Msg("gone")
}
