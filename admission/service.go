package admission

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service.
const Name = "admission"

// demandHalf is the time in which an account's remembered demand halves.
const demandHalf = 10 * time.Second

// The retry budget of an account: it begins with some, each request adds a
// share of a retry, up to a most.
const (
	retryFirst = 10
	retryShare = 0.2
	retryMost  = 20
)

// forgetDemand is how long another box's demand counts after it was told.
const forgetDemand = 30 * time.Second

// Demand is what callers want of one box: requests by account, faded over the
// last seconds, and streams by workload, at their peak of the last seconds.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"`

	Accounts  map[string]float32
	Workloads map[string]float32
}

// told is another box's demand, and when it said so.
type told struct {
	Demand
	at time.Time
}

// Admission is the service of one box.
type Admission struct {
	view    *view.View
	members *member.Service

	mu      sync.Mutex
	gate    Gate
	demand  map[string]float64
	streams map[string]int
	peak    map[string]float64
	others  map[string]told
	decayed time.Time
	retries map[string]float64
}

// New returns the admission of a box.
func New() *Admission {
	return &Admission{
		demand: map[string]float64{}, streams: map[string]int{}, peak: map[string]float64{},
		others: map[string]told{}, retries: map[string]float64{}, decayed: time.Now(),
	}
}

// Name returns the service's name.
func (a *Admission) Name() string { return Name }

// Start finds what the room is computed from.
func (a *Admission) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, view.Name, &a.view),
		kernel.Bind(k, member.Name, &a.members),
	)
	if err != nil {
		return err
	}
	f, err := kernel.Find[*follower.Follower](k, follower.Name)
	if err != nil {
		return err
	}
	f.OnChange(a.configure)
	return nil
}

// Stop does nothing.
func (a *Admission) Stop(context.Context) error { return nil }

// configure takes the targets of a new configuration.
func (a *Admission) configure(d *config.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Reserve = d.Targets.UrgentReserve
}

// Enter accepts or refuses a request; see Gate.Enter.
func (a *Admission) Enter(r Request) (func(), error) {
	m := a.measure(r.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	a.demand[r.Account]++
	leave, err := a.gate.Enter(r, m, time.Now())
	if err != nil {
		return nil, err
	}
	a.retries[r.Account] = min(a.budget(r.Account)+retryShare, retryMost)
	a.streams[r.Workload]++
	a.peak[r.Workload] = max(a.peak[r.Workload], float64(a.streams[r.Workload]))
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.streams[r.Workload]--
		leave()
	}), nil
}

// Retry takes one retry from an account's budget, if there is one.
func (a *Admission) Retry(account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.budget(account)
	if left < 1 {
		return false
	}
	a.retries[account] = left - 1
	return true
}

// budget is what an account has left. The caller holds the lock.
func (a *Admission) budget(account string) float64 {
	if v, known := a.retries[account]; known {
		return v
	}
	return retryFirst
}

// measure computes this box's room from the endpoints and the entry boxes.
func (a *Admission) measure(account string) Room {
	all := float64(max(len(a.members.Up("")), 1))
	here := float64(max(len(a.members.LocalBoxes()), 1))
	c := Measure(a.view.Endpoints(), a.members.Self().DataCentre)
	return Room{Slots: c.Engines * c.Kept / here, Plain: c.Services / here, Share: a.share(account, here) * here / all}
}

// share is the part of its data centre's rate that this box grants an account:
// by demand, but never less than a quarter of an even part.
func (a *Admission) share(account string, boxes float64) float64 {
	const floor = 4
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.demand[account] + 1
	sum := own
	for box, t := range a.others {
		if time.Since(t.at) > forgetDemand {
			delete(a.others, box)
			continue
		}
		sum += float64(t.Accounts[account])
	}
	return max(own/sum, 1/(floor*boxes))
}

// Demand returns the own demand.
func (a *Admission) Demand() Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	return Demand{Accounts: narrow(a.demand), Workloads: narrow(a.peak)}
}

// maxTold bounds the accounts, and the workloads, that a box tells of: those
// with the most demand. For the others an even share of a rate is assumed.
const maxTold = 24

// DataCentreDemand returns the streams by workload of this box and of all that
// told theirs.
func (a *Admission) DataCentreDemand() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	m := maps.Clone(a.peak)
	for _, t := range a.others {
		for w, n := range t.Workloads {
			m[w] += float64(n)
		}
	}
	return m
}

func narrow(m map[string]float64) map[string]float32 {
	ks := slices.SortedFunc(maps.Keys(m), func(x, y string) int { return cmp.Or(cmp.Compare(m[y], m[x]), cmp.Compare(x, y)) })
	n := make(map[string]float32, maxTold)
	for _, k := range ks[:min(len(ks), maxTold)] {
		n[k] = float32(m[k])
	}
	return n
}

// SetDemand takes another box's demand.
func (a *Admission) SetDemand(from string, d Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others[from] = told{Demand: d, at: time.Now()}
}

// decay lets old demand fade. The caller holds the lock.
func (a *Admission) decay(now time.Time) {
	const step = time.Second
	for now.Sub(a.decayed) >= step {
		a.decayed = a.decayed.Add(step)
		fade(a.demand)
		fade(a.peak)
		for w, n := range a.streams {
			a.peak[w] = max(a.peak[w], float64(n))
			if n == 0 {
				delete(a.streams, w)
			}
		}
	}
}

// fade takes a second's part off each value, and drops those that are nothing.
func fade(m map[string]float64) {
	const nothing = 0.01
	for k, v := range m {
		v *= 1 - float64(time.Second)/float64(demandHalf)
		if v < nothing {
			delete(m, k)
			continue
		}
		m[k] = v
	}
}
