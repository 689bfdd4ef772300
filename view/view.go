// Package view holds what one entry box knows of the endpoints: the box list,
// reclaim notices, lagging load, and its own work in flight.
package view

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/rest"
)

// Name is the name of the service.
const Name = "view"

// noticeKept is how long after its deadline a notice still counts, since the
// box list lags behind it.
const noticeRetention = 30 * time.Second

// Row is the part of a load report that changes all the time.
type Row struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint32
	Running uint16
	Waiting uint16
}

// Facts is the part of a load report that seldom changes.
type Facts struct {
	_msgpack struct{} `msgpack:",as_array"`

	Box             string
	Incarnation     string
	Loaded          []string
	Slots           int
	TokensPerSecond float64
	ChecksFence     bool
}

// EndpointState is one endpoint as the router sees it. Sent counts this box's own work
// in flight there, base what of it the last report already covered.
type EndpointState struct {
	fleet.Endpoint
	Hash       uint64
	ReportedAt time.Time

	InFlight         *atomic.Int64
	reportedInFlight int64
}

// EstimateStreams estimates the streams at the endpoint now: the lagging report, and what
// this box has sent or ended since.
func (s *EndpointState) EstimateStreams() int {
	return max(s.Running+s.Waiting+int(s.InFlight.Load()-s.reportedInFlight), int(s.InFlight.Load()), 0)
}

// ProcessID names the process at the endpoint: what it said holds for no other.
func (s *EndpointState) ProcessID() string { return s.Name + "/" + s.Incarnation }

// ID returns the short name of a box in rows.
func ID(box string) uint32 { return uint32(rendezvous.Hash(box)) }

// View is the table of endpoints. Readers take the slots as they are at a
// moment; writers replace them.
type View struct {
	// Rests are those that endpoints' processes asked this box for.
	BackOffs rest.BackOffs

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

// Snapshot is the endpoints at one moment. It is never changed, so two that
// are the same pointer are the same.
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

// Start takes the operators' labels. The observer fills the view.
func (v *View) Start(_ context.Context, k *kernel.Kernel) error {
	f, err := kernel.Find[*follower.Follower](k, follower.Name)
	if err != nil {
		return err
	}
	f.OnChange(func(d *config.Document) { v.setLabeler(d.Label) })
	return nil
}

// Stop does nothing.
func (v *View) Stop(context.Context) error { return nil }

// Snapshot returns the endpoints as they are now.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Endpoints returns the endpoints as they are now. The slice is not to be changed.
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

// Horizon returns the time up to which all notices are known.
func (v *View) Horizon() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.horizon
}

// Notices returns the deadline of each box that has a notice.
func (v *View) Notices() map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := make(map[string]time.Time, len(v.notices))
	for b, d := range v.notices {
		m[b] = d
	}
	return m
}

// OnLeaving calls f for each new notice.
func (v *View) OnLeaving(f func(box string, deadline time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavingCallbacks = append(v.leavingCallbacks, f)
}

// setLabels changes how operators' labels are put on boxes.
func (v *View) setLabeler(f func(fleet.Box) fleet.Box) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.label = f
	v.rebuild()
}

// SetBoxes replaces the box list.
func (v *View) SetBoxes(bs []fleet.Box) {
	v.mu.Lock()
	v.boxes = slices.Clone(bs)
	slices.SortFunc(v.boxes, func(a, b fleet.Box) int { return compareNames(a.Name, b.Name) })
	v.digest = digest(v.boxes)
	var fresh []fleet.Box
	for _, b := range v.boxes {
		if _, known := v.notices[b.Name]; b.State == fleet.Leaving && !known {
			v.notices[b.Name] = b.Deadline
			fresh = append(fresh, b)
		}
	}
	v.rebuild()
	v.mu.Unlock()
	v.notifyLeaving(fresh)
}

// SetNotices adds notices that are known as of a time. It returns how many were
// new.
func (v *View) SetNotices(bs map[string]time.Time, asOf time.Time) int {
	v.mu.Lock()
	var fresh []fleet.Box
	for b, d := range bs {
		if _, known := v.notices[b]; !known && time.Since(d) < noticeRetention {
			v.notices[b] = d
			fresh = append(fresh, fleet.Box{Name: b, Deadline: d})
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
	if len(fresh) > 0 {
		v.rebuild()
	}
	v.mu.Unlock()
	v.notifyLeaving(fresh)
	return len(fresh)
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

// SetFacts takes facts of endpoints.
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

// Facts returns what is known of the endpoints with these IDs; all for none.
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

// SetRows takes load rows, and returns the IDs whose facts are missing.
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

// inFlightCounter returns the count of own work at a box. The caller holds the lock.
func (v *View) inFlightCounter(box string) *atomic.Int64 {
	c, ok := v.inFlight[box]
	if !ok {
		c = new(atomic.Int64)
		v.inFlight[box] = c
	}
	return c
}

// annotate puts labels and notices on a box. The caller holds the lock.
func (v *View) annotate(b fleet.Box) fleet.Box {
	b = v.label(b)
	if d, ok := v.notices[b.Name]; ok && b.State == fleet.Live {
		b.State, b.Deadline = fleet.Leaving, d
	}
	return b
}

// rebuild makes the slots anew. The caller holds the lock.
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
