// Package follower keeps the operators' configuration in force on a box: the
// highest version that the platform's service or a peer has, and never a lower.
package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "follower"

// Key is where the configuration is held.
const Key = "config/current"

// The times of the protocol.
const (
	watchTimeout   = 10 * time.Second
	gossipInterval = 2 * time.Second
	callTimeout    = time.Second
	confirmTimeout = 3 * time.Second
	retryInterval  = 500 * time.Millisecond
	maxWatchers    = 2
)

// Revision is one version as it is held: the operators' text, who wrote it, and
// a nonce by which its writer knows it again after a lost answer.
type Revision struct {
	Version uint64    `json:"version"`
	Text    string    `json:"text"`
	Editor  string    `json:"editor"`
	Nonce   string    `json:"nonce"`
	At      time.Time `json:"at"`
}

// store is what the follower needs of the key-value service.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
	Watch(c context.Context, key string, after uint64, wait time.Duration) (kv.Entry, error)
}

// Follower is the service of one box.
type Follower struct {
	Log zerolog.Logger

	mu       sync.Mutex
	revision Revision
	current  atomic.Pointer[config.Document]
	hooks    []func(*config.Document)
	store    store
	members  *member.Service
	peers    *peer.Node
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New returns a follower without a configuration.
func New(log zerolog.Logger) *Follower { return &Follower{Log: log} }

// Name returns the service's name.
func (f *Follower) Name() string { return Name }

// Start takes the highest version that can be had and goes on following.
func (f *Follower) Start(c context.Context, k *kernel.Kernel) error {
	s, err := kernel.Find[*kv.Service](k, kv.Name)
	if err != nil {
		return err
	}
	f.store = s
	if err := errors.Join(
		kernel.Bind(k, member.Name, &f.members),
		kernel.Bind(k, peer.Name, &f.peers),
	); err != nil {
		return err
	}
	peer.Handle(f.peers.Server, "config.get", f.handleGet)
	peer.Handle(f.peers.Server, "config.offer", f.handleOffer)
	f.readStore(c)
	f.readPeers(c)
	x, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group.Go(func() { f.watch(x) })
	f.group.Go(func() { f.pollPeers(x) })
	return nil
}

// Stop ends the following.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	f.group.Wait()
	return nil
}

// Current returns the document in force, or nil before there is one.
func (f *Follower) Current() *config.Document { return f.current.Load() }

// Revision returns the version in force as it is held.
func (f *Follower) Revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// OnChange calls h with each new document, and now if there is one.
func (f *Follower) OnChange(h func(*config.Document)) {
	f.mu.Lock()
	f.hooks = append(f.hooks, h)
	f.mu.Unlock()
	if d := f.Current(); d != nil {
		h(d)
	}
}

// Install puts a version in force if it is higher than the one that is.
func (f *Follower) Install(r Revision) bool {
	d, ms := config.Parse(r.Version, []byte(r.Text))
	f.mu.Lock()
	if r.Version <= f.revision.Version {
		f.mu.Unlock()
		return false
	}
	if len(ms) > 0 {
		f.mu.Unlock()
		f.Log.Error().Uint64("version", r.Version).Err(iniread.Join(ms)).Msg("configuration not usable")
		return false
	}
	f.revision = r
	f.current.Store(d)
	hs := f.hooks
	f.mu.Unlock()
	f.Log.Info().Str("event", "configuration").Uint64("version", r.Version).Str("editor", r.Editor).Msg("configuration in force")
	for _, h := range hs {
		h(d)
	}
	return true
}

func (f *Follower) version() uint64 { return f.Revision().Version }

func decode(e kv.Entry) (Revision, error) {
	var r Revision
	if e.Rev == 0 {
		return r, nil
	}
	if err := msgpack.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode configuration: %w", err)
	}
	return r, nil
}

func (f *Follower) readStore(c context.Context) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	e, err := f.store.Get(c, Key)
	if err != nil {
		f.Log.Warn().Err(err).Msg("configuration not read from the platform")
		return
	}
	if r, err := decode(e); err == nil {
		f.Install(r)
	}
}

// readPeers asks everybody and keeps the highest version.
func (f *Follower) readPeers(c context.Context) {
	var g sync.WaitGroup
	for _, m := range f.members.Up("") {
		if m.Box != f.members.Self().Box {
			g.Go(func() { f.fetch(c, m.Address) })
		}
	}
	g.Wait()
}

func (f *Follower) fetch(c context.Context, address string) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	var r Revision
	if err := f.peers.Client.Call(c, address, "config.get", f.version(), &r); err == nil && r.Version > 0 {
		f.Install(r)
	}
}

// handleGet answers with the version in force if it is higher than the asker's.
func (f *Follower) handleGet(_ context.Context, have uint64) (Revision, error) {
	if r := f.Revision(); r.Version > have {
		return r, nil
	}
	return Revision{}, nil
}

// offer is a box's word that it has a version.
type offer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Address string
}

func (f *Follower) handleOffer(c context.Context, o offer) (struct{}, error) {
	if o.Version > f.version() {
		f.fetch(c, o.Address)
	}
	return struct{}{}, nil
}

// watch waits for changes at the platform while this box is one of the two
// watchers of its data centre.
func (f *Follower) watch(c context.Context) {
	var after uint64
	for c.Err() == nil {
		if mine, _ := f.members.Owner("config", maxWatchers); !mine {
			wait.For(c, gossipInterval)
			continue
		}
		e, err := f.store.Watch(c, Key, after, watchTimeout)
		if err != nil {
			wait.For(c, retryInterval+rand.N(retryInterval))
			continue
		}
		after = e.Rev
		r, err := decode(e)
		if err != nil {
			f.Log.Error().Err(err).Msg("configuration not usable")
			continue
		}
		if f.Install(r) {
			f.announce(c)
		}
	}
}

// announce offers the version in force to the data centre.
func (f *Follower) announce(c context.Context) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	self := f.members.Self()
	var g sync.WaitGroup
	for _, m := range f.members.Up(self.DataCentre) {
		if m.Box != self.Box {
			g.Go(func() {
				_ = f.peers.Client.Call(c, m.Address, "config.offer", offer{Version: f.version(), Address: self.Address}, nil)
			})
		}
	}
	g.Wait()
}

// pollPeers asks one box at random for a higher version, so that a lost offer
// is made good; a relay of its data centre asks one of each other too, so that
// a data centre that was cut off has it soon after it is joined again.
func (f *Follower) pollPeers(c context.Context) {
	for c.Err() == nil {
		wait.For(c, gossipInterval)
		var g sync.WaitGroup
		for _, m := range f.pollTargets() {
			g.Go(func() { f.fetch(c, m.Address) })
		}
		g.Wait()
		if f.version() == 0 {
			f.readStore(c)
		}
	}
}

// pollTargets chooses whom to ask in one round.
func (f *Follower) pollTargets() []member.Member {
	self := f.members.Self()
	by := map[string][]member.Member{}
	for _, m := range f.members.Up("") {
		if m.Box != self.Box {
			by[m.DataCentre] = append(by[m.DataCentre], m)
		}
	}
	relay, _ := f.members.Owner("relay", maxWatchers)
	var ps []member.Member
	for dc, ms := range by {
		if dc == self.DataCentre || relay {
			ps = append(ps, ms[rand.IntN(len(ms))])
		}
	}
	return ps
}

// Check reads a text and reports every mistake, against the boxes there are.
func Check(text string, boxes []fleet.Box) []iniread.Mistake {
	d, ms := config.Parse(0, []byte(text))
	if len(ms) == 0 && len(boxes) > 0 {
		ms = d.CheckAgainst(boxes)
	}
	return ms
}

// Put replaces version base by a new one. The error is of kind ConfigInvalid,
// ConfigConflict (naming what the editor lost to), or Unavailable.
func (f *Follower) Put(c context.Context, base uint64, text, editor string, boxes []fleet.Box) (Revision, error) {
	if ms := Check(text, boxes); len(ms) > 0 {
		return Revision{}, errkind.New(errkind.ConfigInvalid, "%w", iniread.Join(ms))
	}
	e, err := f.store.Get(c, Key)
	if err != nil {
		return Revision{}, errkind.New(errkind.Unavailable, "nothing was changed: %w", err)
	}
	old, err := decode(e)
	if err != nil {
		return Revision{}, err
	}
	if old.Version != base {
		return old, conflictError(old)
	}
	r := Revision{Version: base + 1, Text: text, Editor: editor, Nonce: uuid.NewString(), At: time.Now().UTC()}
	return f.swap(c, e.Rev, r)
}

func conflictError(to Revision) error {
	return errkind.New(errkind.ConfigConflict, "version %d by %s at %s is in force; read it and edit again", to.Version, to.Editor, to.At.Format(time.RFC3339))
}

func (f *Follower) swap(c context.Context, rev uint64, r Revision) (Revision, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return r, fmt.Errorf("encode configuration: %w", err)
	}
	e, err := f.store.Swap(c, kv.Entry{Key: Key, Rev: rev, Value: b})
	switch {
	case err == nil:
		f.Install(r)
		f.announce(c)
		return r, nil
	case errors.Is(err, kv.ErrConflict):
		return f.resolveConflict(e, r)
	case errors.Is(err, kv.ErrUnavailable):
		return r, errkind.New(errkind.Unavailable, "nothing was changed: %w", err)
	}
	return f.confirmSwap(c, r)
}

// resolveConflict compares what is in force with what was written.
func (f *Follower) resolveConflict(e kv.Entry, r Revision) (Revision, error) {
	now, err := decode(e)
	if err != nil {
		return r, err
	}
	if now.Nonce != r.Nonce {
		return now, conflictError(now)
	}
	f.Install(r)
	return r, nil
}

// confirmSwap reads back after a lost answer: the nonce says whose change it is.
func (f *Follower) confirmSwap(c context.Context, r Revision) (Revision, error) {
	c, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	for c.Err() == nil {
		wait.For(c, retryInterval)
		e, err := f.store.Get(c, Key)
		if err != nil {
			continue
		}
		if now, err := decode(e); err == nil && now.Version < r.Version {
			return r, errkind.New(errkind.Unavailable, "the change was lost on its way; version %d is in force", now.Version)
		}
		return f.resolveConflict(e, r)
	}
	return r, errkind.New(errkind.OutcomeUnknown, "version %d may be in force or not; read it before editing again", r.Version)
}
