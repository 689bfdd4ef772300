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
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/view"
)

// Name is the name of the service.
const Name = "admission"

// demandDecayTime is the time constant of the decay of demand: it decays by a tenth each second.
const demandDecayTime = 10 * time.Second

// The retry budget of an account: its initial value, what each admitted request adds, and its
// maximum, in retries.
const (
	initialRetries    = 10
	retriesPerRequest = 0.2
	maxRetries        = 20
)

// demandReportTTL is the time for which a demand report of another box is used.
const demandReportTTL = 30 * time.Second

// Demand is the demand at one box: a decaying count of requests by account, and a decaying peak of
// concurrent streams by workload.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"`

	Accounts  map[string]float32
	Workloads map[string]float32
}

// demandReport is the demand reported by another box and the time of the report.
type demandReport struct {
	Demand
	at time.Time
}

// Admission is the admission control service of one box.
type Admission struct {
	view    *view.View
	members *member.Service

	mu              sync.Mutex
	gate            Gate
	demand          map[string]float64      // requests by account, decaying
	streamsInFlight map[string]int          // streams in flight by workload
	peakStreams     map[string]float64      // peak of streams by workload, decaying
	reports         map[string]demandReport // by box
	decayedUntil    time.Time               // time up to which demand and peak are decayed
	retriesLeft     map[string]float64      // retries left by account
}

// New returns an admission control service.
func New() *Admission {
	return &Admission{
		demand: map[string]float64{}, streamsInFlight: map[string]int{}, peakStreams: map[string]float64{},
		reports: map[string]demandReport{}, retriesLeft: map[string]float64{}, decayedUntil: time.Now(),
	}
}

// Name returns the name of the service.
func (a *Admission) Name() string { return Name }

// Start binds the services from which the limits are computed and follows the configuration.
func (a *Admission) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, view.Name, &a.view),
		kernel.Bind(k, member.Name, &a.members),
	)
	if err != nil {
		return err
	}
	f, err := kernel.Find[*configsync.Follower](k, configsync.Name)
	if err != nil {
		return err
	}
	f.OnChange(a.configure)
	return nil
}

// Stop does nothing.
func (a *Admission) Stop(context.Context) error { return nil }

// configure applies a new configuration.
func (a *Admission) configure(d *config.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Reserve = d.Targets.UrgentReserve
}

// Enter admits or refuses a request; see Gate.Enter. The function that it returns may be called
// more than once.
func (a *Admission) Enter(r Request) (func(), error) {
	m := a.limitsFor(r.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	a.demand[r.Account]++
	release, err := a.gate.Enter(r, m, time.Now())
	if err != nil {
		return nil, err
	}
	a.retriesLeft[r.Account] = min(a.retryBudget(r.Account)+retriesPerRequest, maxRetries)
	a.streamsInFlight[r.Workload]++
	a.peakStreams[r.Workload] = max(a.peakStreams[r.Workload], float64(a.streamsInFlight[r.Workload]))
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.streamsInFlight[r.Workload]--
		release()
	}), nil
}

// Retry takes one retry from the budget of an account. It reports false if the budget is used up.
func (a *Admission) Retry(account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.retryBudget(account)
	if left < 1 {
		return false
	}
	a.retriesLeft[account] = left - 1
	return true
}

// retryBudget returns the retries that an account has left. The caller holds a.mu.
func (a *Admission) retryBudget(account string) float64 {
	if v, known := a.retriesLeft[account]; known {
		return v
	}
	return initialRetries
}

// limitsFor computes the limits of this box from the capacity of the data centre and the number of
// entry boxes.
func (a *Admission) limitsFor(account string) Limits {
	all := float64(max(len(a.members.Up("")), 1))
	here := float64(max(len(a.members.LocalBoxes()), 1))
	c := MeasureCapacity(a.view.Endpoints(), a.members.Self().DataCentre)
	return Limits{Slots: c.EngineSlots * c.RetainedShare / here, PlainSlots: c.ServiceSlots / here, RateShare: a.rateShare(account, here) * here / all}
}

// rateShare returns this box's fraction of the data centre's share of the account's rate. The
// fraction is proportional to demand, but at least a quarter of an equal one.
func (a *Admission) rateShare(account string, boxes float64) float64 {
	const minShareDivisor = 4
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.demand[account] + 1
	sum := own
	for box, t := range a.reports {
		if time.Since(t.at) > demandReportTTL {
			delete(a.reports, box)
			continue
		}
		sum += float64(t.Accounts[account])
	}
	return max(own/sum, 1/(minShareDivisor*boxes))
}

// LocalDemand returns the demand at this box, to be reported to other boxes.
func (a *Admission) LocalDemand() Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	return Demand{Accounts: topValues(a.demand), Workloads: topValues(a.peakStreams)}
}

// maxReported is the maximum number of accounts, and of workloads, in a report: those with the
// highest demand. The demand of the others counts as zero at the receiver.
const maxReported = 24

// DataCentreDemand returns the peak of streams by workload, summed over this box and all boxes that
// reported theirs.
func (a *Admission) DataCentreDemand() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(time.Now())
	m := maps.Clone(a.peakStreams)
	for _, t := range a.reports {
		for w, n := range t.Workloads {
			m[w] += float64(n)
		}
	}
	return m
}

// topValues returns the maxReported highest values of m.
func topValues(m map[string]float64) map[string]float32 {
	ks := slices.SortedFunc(maps.Keys(m), func(x, y string) int { return cmp.Or(cmp.Compare(m[y], m[x]), cmp.Compare(x, y)) })
	n := make(map[string]float32, maxReported)
	for _, k := range ks[:min(len(ks), maxReported)] {
		n[k] = float32(m[k])
	}
	return n
}

// SetDemand records the demand reported by another box.
func (a *Admission) SetDemand(from string, d Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[from] = demandReport{Demand: d, at: time.Now()}
}

// decay decays demand and peaks, in steps of a second, up to now. The caller holds a.mu.
func (a *Admission) decay(now time.Time) {
	const step = time.Second
	for now.Sub(a.decayedUntil) >= step {
		a.decayedUntil = a.decayedUntil.Add(step)
		decayValues(a.demand)
		decayValues(a.peakStreams)
		for w, n := range a.streamsInFlight {
			a.peakStreams[w] = max(a.peakStreams[w], float64(n))
			if n == 0 {
				delete(a.streamsInFlight, w)
			}
		}
	}
}

// decayValues decays each value by one second and deletes negligible ones.
func decayValues(m map[string]float64) {
	const negligible = 0.01
	for k, v := range m {
		v *= 1 - float64(time.Second)/float64(demandDecayTime)
		if v < negligible {
			delete(m, k)
			continue
		}
		m[k] = v
	}
}
