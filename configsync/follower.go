// Package configsync keeps the operators' configuration on a box up to date. It installs the highest
// version found in the key-value service or at a peer, and never goes back to a lower one. It also
// writes the new versions that operators submit.
package configsync

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
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/newest"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/wait"
)

// Name is the name under which the kernel registers the service.
const Name = "follower"

// Key is the key of the configuration in the key-value service.
const Key = "config/current"

const (
	watchTimeout       = 10 * time.Second       // longest wait of a watch
	gossipInterval     = 2 * time.Second        // between requests to peers
	callTimeout        = time.Second            // of one read of the key-value service or of one offer
	confirmTimeout     = 3 * time.Second        // for repeating a swap with an unknown outcome
	retryInterval      = 500 * time.Millisecond // after a failed watch, and between repeated swaps
	readTimeout        = 10 * time.Second       // of one read of a configuration from a peer, which may be large and its link slow
	stallTime          = 400 * time.Millisecond // after which a read of which nothing comes is joined by one from another peer
	giveUpTime         = 2 * time.Second        // after which it has failed
	failureLogInterval = 20                     // failed watches in a row between two that are logged
	maxReads           = 4                      // reads from peers at the same time when the service starts
	maxWatchers        = 2                      // boxes per data centre that watch the key-value service, and that are relays
)

// Revision is a stored version of the configuration: the operator's text, its editor, and a random
// nonce by which the writer identifies its own change after a lost response.
type Revision struct {
	Version uint64    `json:"version"`
	Text    string    `json:"text"`
	Editor  string    `json:"editor"`
	Nonce   string    `json:"nonce"`
	At      time.Time `json:"at"`
}

// store is the part of the key-value client that the follower uses.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
	Watch(c context.Context, key string, after uint64, timeout time.Duration) (kv.Entry, error)
}

// Follower is the kernel service that follows the configuration.
type Follower struct {
	Log zerolog.Logger

	mu       sync.Mutex
	revision Revision
	reads    *newest.Fetcher
	current  atomic.Pointer[config.Document]
	hooks    []func(*config.Document)
	store    store
	members  *member.Service
	peers    *peer.Node
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New returns a follower without a configuration.
func New(log zerolog.Logger) *Follower {
	f := &Follower{Log: log}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.reads = newest.New(f.ctx)
	f.reads.Kind, f.reads.Version, f.reads.Log = "configuration", f.version, log
	f.reads.Others, f.reads.StallTime, f.reads.GiveUp, f.reads.Timeout = f.otherBoxes, stallTime, giveUpTime, readTimeout
	f.reads.Fetch = f.fetch
	return f
}

// otherBoxes returns the addresses of the other boxes that are up, those of this data centre first.
func (f *Follower) otherBoxes() []string {
	if f.members == nil {
		return nil
	}
	self := f.members.Self()
	var near, far []string
	for _, m := range f.members.Up("") {
		switch {
		case m.Box == self.Box:
		case m.DataCentre == self.DataCentre:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	shuffle := func(as []string) { rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] }) }
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

// Name returns the service's name.
func (f *Follower) Name() string { return Name }

// Start installs the highest version that the key-value service and the reachable peers have, and
// starts to follow later versions.
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
	peer.Handle(f.peers.Server, "config.version", func(context.Context, uint64) (uint64, error) { return f.version(), nil })
	peer.Handle(f.peers.Server, "config.offer", f.handleOffer)
	f.readStore(c)
	f.readPeers(c)
	f.group.Go(func() { f.watch(f.ctx) })
	f.group.Go(func() { f.pollPeers(f.ctx) })
	return nil
}

// Stop stops following.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	f.group.Wait()
	f.reads.Wait()
	return nil
}

// Current returns the installed document, or nil if there is none yet.
func (f *Follower) Current() *config.Document { return f.current.Load() }

// Revision returns the installed version as it is stored. Its Version is 0 if there is none yet.
func (f *Follower) Revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// OnChange registers h to be called with each new document. If a document is installed already, it
// calls h with that at once.
func (f *Follower) OnChange(h func(*config.Document)) {
	f.mu.Lock()
	f.hooks = append(f.hooks, h)
	f.mu.Unlock()
	if d := f.Current(); d != nil {
		h(d)
	}
}

// Install installs a version if it is valid and higher than the installed one, and reports whether it
// did.
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
	f.Log.Info().Str("event", "configuration").Uint64("version", r.Version).Str("editor", r.Editor).Msg("configuration installed")
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
		f.Log.Warn().Err(err).Msg("cannot read the configuration from the key-value service")
		return
	}
	if r, err := decode(e); err == nil {
		f.Install(r)
	}
}

// readPeers asks all other boxes for higher versions, maxReads at a time, so that few of them send the same one.
func (f *Follower) readPeers(c context.Context) {
	var g errgroup.Group
	g.SetLimit(maxReads)
	for _, m := range f.members.Up("") {
		if m.Box != f.members.Self().Box {
			g.Go(func() error {
				x, cancel := context.WithTimeout(c, callTimeout)
				defer cancel()
				return f.fetch(x, newest.Source{Address: m.Address}, func(int) {})
			})
		}
	}
	_ = g.Wait() // what was not read is read later
}

// fetch reads and installs a higher version from a peer, if it has one.
func (f *Follower) fetch(c context.Context, from newest.Source, onBytes func(n int)) error {
	var r Revision
	if err := f.peers.Bulk.Transfer(c, from.Address, "config.get", f.version(), &r, from.Renew, onBytes); err != nil {
		return err
	}
	if r.Version > 0 {
		f.Install(r)
	}
	return nil
}

// handleGet returns the installed version if it is higher than the caller's, and a zero Revision
// otherwise.
func (f *Follower) handleGet(_ context.Context, version uint64) (Revision, error) {
	if r := f.Revision(); r.Version > version {
		return r, nil
	}
	return Revision{}, nil
}

// offer announces that the box at Address has a version.
type offer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Address string
}

func (f *Follower) handleOffer(_ context.Context, o offer) (struct{}, error) {
	f.reads.Announce(o.Version, o.Address)
	return struct{}{}, nil
}

// watch watches the key-value service while this box is one of the watchers of its data centre.
func (f *Follower) watch(c context.Context) {
	var after uint64
	var failures int
	for c.Err() == nil {
		if watching, _ := f.members.Owner("config", maxWatchers); !watching {
			wait.For(c, gossipInterval)
			continue
		}
		e, err := f.store.Watch(c, Key, after, watchTimeout)
		if err != nil {
			if failures++; failures%failureLogInterval == 1 {
				f.Log.Info().Str("event", "watch").Str("key", Key).Uint64("version", f.version()).Int("failures", failures).Err(err).
					Msg("store call failed; retrying")
			}
			wait.For(c, retryInterval+rand.N(retryInterval))
			continue
		}
		failures = 0
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

// announce offers the installed version to the other boxes of the data centre.
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

// poll asks a peer for its version, and reads it if it is higher. The connection is the one of the read, so that one that has
// died silently is given up before.
func (f *Follower) poll(c context.Context, address string) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	var version uint64
	if err := f.peers.Bulk.Call(c, address, "config.version", f.version(), &version); err == nil {
		f.reads.Announce(version, address)
	}
}

// pollPeers regularly asks a random box of the data centre for a higher version, which compensates
// for lost offers. Relays also ask one box of every other data centre, so that a data centre catches
// up soon after a partition. Without any version, it reads the key-value service as well.
func (f *Follower) pollPeers(c context.Context) {
	for c.Err() == nil {
		wait.For(c, gossipInterval)
		var g sync.WaitGroup
		for _, m := range f.pollTargets() {
			g.Go(func() { f.poll(c, m.Address) })
		}
		g.Wait()
		if f.version() == 0 {
			f.readStore(c)
		}
	}
}

// pollTargets returns the boxes to ask in one round.
func (f *Follower) pollTargets() []member.Member {
	self := f.members.Self()
	byDataCentre := map[string][]member.Member{}
	for _, m := range f.members.Up("") {
		if m.Box != self.Box {
			byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		}
	}
	relay, _ := f.members.Owner("relay", maxWatchers)
	var targets []member.Member
	for dc, ms := range byDataCentre {
		if dc == self.DataCentre || relay {
			targets = append(targets, ms[rand.IntN(len(ms))])
		}
	}
	return targets
}

// Check parses a configuration and returns all mistakes. If the text is valid and boxes is not empty,
// it also checks the configuration against the boxes.
func Check(text string, boxes []fleet.Box) []iniread.Mistake {
	d, ms := config.Parse(0, []byte(text))
	if len(ms) == 0 && len(boxes) > 0 {
		ms = d.CheckAgainst(boxes)
	}
	return ms
}

// Put writes version base+1 if base is still the stored version. The kind of the error is
// ConfigInvalid, ConfigConflict (which names the version in force and its editor), Unavailable if
// nothing was changed, or OutcomeUnknown.
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

func conflictError(current Revision) error {
	return errkind.New(errkind.ConfigConflict, "version %d by %s at %s is in force; read it and edit again",
		current.Version, current.Editor, current.At.Format(time.RFC3339))
}

func (f *Follower) swap(c context.Context, rev uint64, r Revision) (Revision, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return r, fmt.Errorf("encode configuration: %w", err)
	}
	e := kv.Entry{Key: Key, Rev: rev, Value: b}
	stored, err := f.store.Swap(c, e)
	repeated := errors.Is(err, kv.ErrOutcomeUnknown)
	if repeated {
		stored, err = f.repeatSwap(c, e)
	}
	switch {
	case err == nil:
		f.Install(r)
		f.announce(c)
		return r, nil
	case errors.Is(err, kv.ErrConflict):
		return f.resolveConflict(stored, r, repeated)
	case errors.Is(err, kv.ErrUnavailable):
		return r, errkind.New(errkind.Unavailable, "nothing was changed: %w", err)
	default:
		return r, outcomeUnknownError(r)
	}
}

func outcomeUnknownError(r Revision) error {
	return errkind.New(errkind.OutcomeUnknown, "version %d may be in force or not; read it before editing again", r.Version)
}

// repeatSwap repeats a swap with an unknown outcome until the answer settles it: afterwards only one of the swaps has taken effect
// or can still do so. A read would not, since the first one may be carried out later.
func (f *Follower) repeatSwap(c context.Context, e kv.Entry) (kv.Entry, error) {
	c, cancel := context.WithTimeout(c, confirmTimeout)
	defer cancel()
	for c.Err() == nil {
		wait.For(c, retryInterval)
		stored, err := f.store.Swap(c, e)
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return stored, err
		}
	}
	return kv.Entry{}, kv.ErrOutcomeUnknown
}

// resolveConflict decides by the nonce whether the stored entry is the change r, which then has
// succeeded, or another one, which is a conflict. If the swap was repeated, a later version may have replaced r.
func (f *Follower) resolveConflict(e kv.Entry, r Revision, repeated bool) (Revision, error) {
	stored, err := decode(e)
	switch {
	case err != nil:
		return r, err
	case stored.Nonce == r.Nonce:
		f.Install(r)
		return r, nil
	case repeated && stored.Version > r.Version:
		return r, outcomeUnknownError(r)
	default:
		return stored, conflictError(stored)
	}
}
