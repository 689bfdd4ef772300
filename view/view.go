// Package view holds an entry box's view of the endpoints: the box list, reclaim
// notices, the latest load reports, and the box's own requests in flight. Readers
// get immutable snapshots.
package view

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/backoff"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/rendezvous"
)

// Name is the name of the service.
const Name = "view"

// noticeRetention is how long a notice is kept after its deadline. The box list
// lags behind the notices and may still show the box as live.
const noticeRetention = 30 * time.Second

// Row is the part of an endpoint's load report that changes often.
type Row struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint32
	Running uint16
	Waiting uint16
}

// Facts is the part of an endpoint's load report that seldom changes.
type Facts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Box             string
	Incarnation     string
	Loaded          []string
	Slots           int
	TokensPerSecond float64
	ChecksFence     bool
}

// EndpointState is an endpoint with the state that routing needs. ReportedAt is when
// its last load row arrived. InFlight counts this box's own requests at the endpoint;
// reportedInFlight is that count when the last load row arrived.
type EndpointState struct {
	fleet.Endpoint
	Hash       uint64
	ReportedAt time.Time

	InFlight         *atomic.Int64
	reportedInFlight int64
}

// EstimateRequests estimates the number of requests at the endpoint: those of the last
// load row, corrected by the requests that this box has sent or ended since.
func (e *EndpointState) EstimateRequests() int {
	return max(e.Running+e.Waiting+int(e.InFlight.Load()-e.reportedInFlight), int(e.InFlight.Load()), 0)
}

// ProcessID identifies the process at the endpoint. State reported by a process, such
// as a back-off period, doesn't apply to its successor.
func (e *EndpointState) ProcessID() string { return e.Name + "/" + e.Incarnation }

// ID returns the hash that identifies a box in load rows.
func ID(box string) uint32 { return uint32(rendezvous.Hash(box)) }

// View is the table of endpoints. Each change builds a new Snapshot, which readers
// load without a lock.
type View struct {
	// BackOffs holds the back-off periods that endpoints requested from this box, by ProcessID.
	BackOffs backoff.BackOffs

	mu               sync.Mutex
	boxes            []fleet.Box
	digest           uint64
	notices          map[string]time.Time
	facts            map[uint32]Facts
	rows             map[uint32]Row
	reportedAt       map[uint32]time.Time
	inFlight         map[string]*atomic.Int64
	reportedInFlight map[uint32]int64
	horizon          time.Time
	leavingCallbacks []func(box string, deadline time.Time)
	label            func(fleet.Box) fleet.Box

	snapshot atomic.Pointer[Snapshot]
}

// Snapshot holds the endpoints at one moment. It is immutable, so equal pointers
// mean that nothing has changed.
type Snapshot struct {
	Endpoints []*EndpointState
}

// New returns an empty view.
func New() *View {
	v := &View{
		notices: map[string]time.Time{}, facts: map[uint32]Facts{}, rows: map[uint32]Row{}, reportedAt: map[uint32]time.Time{},
		inFlight: map[string]*atomic.Int64{}, reportedInFlight: map[uint32]int64{}, label: func(b fleet.Box) fleet.Box { return b },
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Name returns the service's name.
func (v *View) Name() string { return Name }

// Start subscribes to the operators' labels. The observer service sets everything else.
func (v *View) Start(_ context.Context, k *kernel.Kernel) error {
	f, err := kernel.Find[*configsync.Follower](k, configsync.Name)
	if err != nil {
		return err
	}
	f.OnChange(func(d *config.Document) { v.setLabeler(d.WithLabels) })
	return nil
}

// Stop does nothing.
func (v *View) Stop(context.Context) error { return nil }

// Snapshot returns the current endpoints.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Endpoints returns the current endpoints. The caller must not modify the slice.
func (v *View) Endpoints() []*EndpointState { return v.Snapshot().Endpoints }

// Endpoint returns the endpoint on a box, or nil.
func (v *View) Endpoint(box string) *EndpointState {
	for _, s := range v.Endpoints() {
		if s.Name == box {
			return s
		}
	}
	return nil
}

// Boxes returns the box list with the notices applied, and its digest.
func (v *View) Boxes() ([]fleet.Box, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	bs := slices.Clone(v.boxes)
	for i := range bs {
		bs[i] = v.annotate(bs[i])
	}
	return bs, v.digest
}

// Digest returns the digest of the box list.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// Horizon returns the time up to which the notices are complete.
func (v *View) Horizon() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.horizon
}

// Notices returns the deadlines of the boxes that have a reclaim notice, by box name.
func (v *View) Notices() map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := make(map[string]time.Time, len(v.notices))
	for b, d := range v.notices {
		m[b] = d
	}
	return m
}

// OnLeaving registers a function that is called for each new reclaim notice.
func (v *View) OnLeaving(f func(box string, deadline time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavingCallbacks = append(v.leavingCallbacks, f)
}

// setLabeler replaces the function that applies the operators' labels to a box.
func (v *View) setLabeler(f func(fleet.Box) fleet.Box) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.label = f
	v.rebuild()
}

// SetBoxes replaces the box list. A box that is newly leaving counts as a new notice.
func (v *View) SetBoxes(bs []fleet.Box) {
	v.mu.Lock()
	v.boxes = slices.Clone(bs)
	slices.SortFunc(v.boxes, func(a, b fleet.Box) int { return compareNames(a.Name, b.Name) })
	v.digest = digest(v.boxes)
	var added []fleet.Box
	for _, b := range v.boxes {
		if _, known := v.notices[b.Name]; b.State == fleet.Leaving && !known {
			v.notices[b.Name] = b.Deadline
			added = append(added, b)
		}
	}
	v.rebuild()
	v.mu.Unlock()
	v.notifyLeaving(added)
}

// SetNotices adds notices, given as deadlines by box name, and returns how many were
// new. The notices are complete up to asOf.
func (v *View) SetNotices(bs map[string]time.Time, asOf time.Time) int {
	v.mu.Lock()
	var added []fleet.Box
	for b, d := range bs {
		if _, known := v.notices[b]; !known && time.Since(d) < noticeRetention {
			v.notices[b] = d
			added = append(added, fleet.Box{Name: b, Deadline: d})
		}
	}
	for b, d := range v.notices {
		if time.Since(d) > noticeRetention {
			delete(v.notices, b)
		}
	}
	if asOf.After(v.horizon) {
		v.horizon = asOf
	}
	if len(added) > 0 {
		v.rebuild()
	}
	v.mu.Unlock()
	v.notifyLeaving(added)
	return len(added)
}

func (v *View) notifyLeaving(bs []fleet.Box) {
	v.mu.Lock()
	fs := v.leavingCallbacks
	v.mu.Unlock()
	for _, b := range bs {
		for _, f := range fs {
			f(b.Name, b.Deadline)
		}
	}
}

// SetFacts adds or replaces the facts of endpoints.
func (v *View) SetFacts(fs []Facts) {
	if len(fs) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, f := range fs {
		v.facts[ID(f.Box)] = f
	}
	v.rebuild()
}

// Facts returns the known facts of the endpoints with the given IDs, or of all if ids is empty.
func (v *View) Facts(ids []uint32) []Facts {
	v.mu.Lock()
	defer v.mu.Unlock()
	var fs []Facts
	for id, f := range v.facts {
		if len(ids) == 0 || slices.Contains(ids, id) {
			fs = append(fs, f)
		}
	}
	return fs
}

// SetRows adds or replaces load rows and returns the IDs whose facts are missing.
func (v *View) SetRows(rs []Row) []uint32 {
	if len(rs) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var missing []uint32
	now := time.Now()
	for _, r := range rs {
		f, ok := v.facts[r.ID]
		if !ok {
			missing = append(missing, r.ID)
		}
		v.rows[r.ID], v.reportedAt[r.ID] = r, now
		v.reportedInFlight[r.ID] = v.inFlightCounter(f.Box).Load()
	}
	v.rebuild()
	return missing
}

// inFlightCounter returns the counter of this box's requests at another box. The caller holds v.mu.
func (v *View) inFlightCounter(box string) *atomic.Int64 {
	c, ok := v.inFlight[box]
	if !ok {
		c = new(atomic.Int64)
		v.inFlight[box] = c
	}
	return c
}

// annotate applies the labels and a notice, if any, to a box. The caller holds v.mu.
func (v *View) annotate(b fleet.Box) fleet.Box {
	b = v.label(b)
	if d, ok := v.notices[b.Name]; ok && b.State == fleet.Live {
		b.State, b.Deadline = fleet.Leaving, d
	}
	return b
}

// rebuild replaces the snapshot. The caller holds v.mu.
func (v *View) rebuild() {
	ss := make([]*EndpointState, 0, len(v.boxes))
	for _, b := range v.boxes {
		if b.Role == fleet.EntryRole || b.State == fleet.Stopped || b.State == fleet.Gone {
			continue
		}
		id := ID(b.Name)
		f, r := v.facts[id], v.rows[id]
		l := fleet.Load{
			Incarnation: f.Incarnation, ChecksFence: f.ChecksFence, Loaded: f.Loaded, Slots: f.Slots,
			Running: int(r.Running), Waiting: int(r.Waiting), TokensPerSecond: f.TokensPerSecond, Reported: v.reportedAt[id],
		}
		ss = append(ss, &EndpointState{
			Endpoint: fleet.Endpoint{Box: v.annotate(b), Load: l}, Hash: rendezvous.Hash(b.Name),
			ReportedAt: v.reportedAt[id], InFlight: v.inFlightCounter(b.Name), reportedInFlight: v.reportedInFlight[id],
		})
	}
	v.snapshot.Store(&Snapshot{Endpoints: ss})
}
