package quota_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"birchlink.dev/birchlink/availability"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/throttle"
)

var tolerance = quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 72000}

var account = &catalog.Account{Name: "a", InTokens: true, Rate: 100000, Burst: 100000}

// windowLimit is the number of units that any window may hold.
func windowLimit() float64 {
	return (account.Rate*tolerance.Window.Seconds()+account.Burst)*(1+tolerance.Overage) + tolerance.Slack
}

const (
	round           = 500 * time.Millisecond
	startupPeriod   = 3 * time.Second // age up to which boxes exchange state more often
	selfRepresented = 2 * time.Second // age up to which a box represents itself
	startupRound    = 150 * time.Millisecond
	tick            = 10 * time.Millisecond
	memberTimeout   = 2 * time.Second         // after which an unreachable box is not represented
	relayTimeout    = 1200 * time.Millisecond // after which an unreachable relay is not asked
	stopDuration    = 3 * time.Second         // from a box's announcement that it stops to its exit
)

// node is one box of the fleet.
type node struct {
	*quota.Quota
	starts    int       // number of process starts
	gossiped  bool      // its first round is done
	relay     int       // the relay that represents it
	servedAt  time.Time // last exchange with the relay
	dead      bool
	frozen    bool
	stopsAt   time.Time // when the process exits; zero if it is not stopping
	partition int       // boxes reach only those of the same partition
	members   map[int]time.Time
	relays    map[int]relayReport
	known     relayView

	available *availability.Availability
	throttle  *throttle.Throttle
	retries   *budget.Budget
}

type relayReport struct {
	at    time.Time
	boxes map[string]int
}

type relayView struct {
	arbiters []quota.Arbiter
	boxes    map[string]int
	division quota.Division
}

// fleet simulates boxes in memory that exchange state as the service does: two relays of
// each data centre represent the other boxes and exchange their leases each round.
type fleet struct {
	now         time.Time
	rng         *rand.Rand
	nodes       []*node
	dataCentres int
	accounts    []catalog.Account
	delayed     map[int][]quota.Lease // messages that a frozen box has not read yet
	reports     map[int][]int         // members whose reports a frozen relay has not read yet
	lossRate    float64               // fraction of messages that are lost
	stored      *quota.Before         // last snapshot written by a relay
	storedAt    time.Time
	version     uint64
	admissions  []admission
	attempted   int
	admitted    int
	calls       int

	reserve, returnTimes bool // set at each process that starts
	returning            []returning
	equalShares          bool // each box has an equal share of each endpoint's rate and asks no arbiter
	endpoints            []*limitedEndpoint
}

type admission struct {
	at   time.Time
	size float64
}

func newFleet(n, dataCentres int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), dataCentres: dataCentres,
		accounts: []catalog.Account{*account}, delayed: map[int][]quota.Lease{}, reports: map[int][]int{},
		reserve: allSettingsOn, returnTimes: allSettingsOn,
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{})
		f.startProcess(i, nil)
	}
	return f
}

// startProcess starts the process of a box. saved is the state read from the store, or nil
// if the store is unavailable.
func (f *fleet) startProcess(i int, saved *quota.Before) {
	n := f.nodes[i]
	*n = node{starts: n.starts + 1, partition: n.partition, relay: -1, members: map[int]time.Time{}, relays: map[int]relayReport{}}
	n.Quota = &quota.Quota{
		Tolerance: tolerance, Started: f.now, Incarnation: fmt.Sprint(n.starts),
		Self: f.arbiter(i), Rand: f.rng.Float64, Reserve: f.reserve, ReturnTimes: f.returnTimes,
	}
	n.available, n.throttle = &availability.Availability{}, &throttle.Throttle{Leases: f.leases(i)}
	n.retries = budget.New(retryBudget)
	n.retries.Started = f.now
	n.retries.Rand = f.rng.Float64
	n.retries.SetBoxes(n.MaxBoxes())
	if saved != nil {
		n.Restore(*saved)
	}
	delete(f.delayed, i)
}

func (f *fleet) arbiter(i int) quota.Arbiter {
	return quota.Arbiter{
		Box: fmt.Sprint("box", i), DataCentre: fmt.Sprint("dc", i%f.dataCentres), Address: fmt.Sprint(i),
		Leaving: !f.nodes[i].stopsAt.IsZero(),
	}
}

func boxIndex(a quota.Arbiter) int {
	i := 0
	_, _ = fmt.Sscan(a.Address, &i)
	return i
}

// reaches reports whether a call of box a to box b is answered now.
func (f *fleet) reaches(a, b int) bool {
	x, y := f.nodes[a], f.nodes[b]
	return !x.dead && !x.frozen && !y.dead && !y.frozen && x.partition == y.partition && f.rng.Float64() >= f.lossRate
}

// relays returns the relays of a data centre: its first two live boxes. In a real fleet these
// would be the boxes that hold the relay leases in the store.
func (f *fleet) relays(dc int) []int {
	var out []int
	for i := dc; i < len(f.nodes) && len(out) < 2; i += f.dataCentres {
		if !f.nodes[i].dead {
			out = append(out, i)
		}
	}
	return out
}

func (f *fleet) isRelay(i int) bool { return slices.Contains(f.relays(i%f.dataCentres), i) }

func (f *fleet) view(i int) quota.View {
	n := f.nodes[i]
	dc := n.Self.DataCentre
	if !f.isRelay(i) {
		represented := 0
		if f.now.Sub(n.servedAt) >= relayTimeout || f.now.Sub(n.Started) < selfRepresented {
			represented = 1
		}
		boxes := n.known.boxes
		if f.now.Sub(n.servedAt) >= memberTimeout {
			boxes = map[string]int{dc: 1}
		}
		return quota.View{Arbiters: n.known.arbiters, Represented: represented, Boxes: boxes, Division: n.known.division}
	}
	v := quota.View{Arbiters: []quota.Arbiter{f.arbiter(i)}, Represented: 1, Boxes: map[string]int{}}
	v.Boxes[dc] = 1
	for j, at := range n.members {
		if f.now.Sub(at) >= memberTimeout {
			continue
		}
		v.Boxes[dc]++
		if f.now.Sub(f.nodes[j].Started) >= selfRepresented+startupRound {
			v.Represented++
		}
	}
	for j, h := range n.relays {
		if f.now.Sub(h.at) < relayTimeout {
			v.Arbiters = append(v.Arbiters, f.arbiter(j))
		}
		if f.now.Sub(h.at) < memberTimeout {
			for dc, n := range h.boxes {
				v.Boxes[dc] += n
			}
		}
	}
	slices.SortFunc(v.Arbiters, func(a, b quota.Arbiter) int { return boxIndex(a) - boxIndex(b) })
	return v
}

// representedBoxes returns the number of boxes that a relay represents, by data centre.
func (f *fleet) representedBoxes(i int) map[string]int {
	n := 1
	for _, at := range f.nodes[i].members {
		if f.now.Sub(at) < memberTimeout {
			n++
		}
	}
	return map[string]int{f.nodes[i].Self.DataCentre: n}
}

// writeStore makes the first relay that reaches the store write a snapshot.
func (f *fleet) writeStore() {
	if f.now.Sub(f.storedAt) < time.Second {
		return
	}
	n := f.writer()
	if n == nil {
		return
	}
	if f.stored != nil {
		n.Adopt(f.stored.Division, f.now) // a writer replaces only the version that it has read
	}
	p := f.snapshot()
	if f.stored != nil && maps.Equal(p.Short, f.stored.Short) && f.now.Sub(f.storedAt) < 10*time.Second {
		return
	}
	f.version++
	p.Division.Version = f.version
	f.stored, f.storedAt = p, f.now
	n.Adopt(p.Division, f.now)
}

// writer returns the relay that writes the snapshot, or nil.
func (f *fleet) writer() *node {
	for i, n := range f.nodes {
		if f.isRelay(i) && !n.dead && !n.frozen && n.partition == 0 && f.now.Sub(n.Started) >= 1500*time.Millisecond {
			return n
		}
	}
	return nil
}

// gossipRound runs one round of one box.
func (f *fleet) gossipRound(i int) {
	n := f.nodes[i]
	if n.dead || n.frozen {
		return
	}
	n.gossiped = true
	n.Update(f.view(i), f.accounts, f.now)
	n.retries.SetBoxes(n.MaxBoxes())
	if !f.isRelay(i) {
		rs := f.relays(i % f.dataCentres)
		if len(rs) == 0 {
			return
		}
		if n.relay >= 0 && f.nodes[n.relay].frozen && f.nodes[n.relay].partition == n.partition && !f.nodes[n.relay].dead {
			f.reports[n.relay] = append(f.reports[n.relay], i)
		}
		if !slices.Contains(rs, n.relay) || !f.reaches(i, n.relay) {
			n.relay = rs[f.rng.IntN(len(rs))] // represents the box from the next round on
			return
		}
		r := f.nodes[n.relay]
		r.members[i] = f.now
		n.servedAt = f.now
		v := f.view(n.relay)
		n.known = relayView{v.Arbiters, v.Boxes, r.Division()}
		f.exchangeRates(n, r)
		return
	}
	for dc := range f.dataCentres {
		for _, j := range f.relays(dc) {
			if j <= i {
				continue
			}
			o := f.nodes[j]
			l := n.IssueLease(o.Self.Box, f.now)
			if o.frozen && o.partition == n.partition && !o.dead {
				f.delayed[j] = append(f.delayed[j], l) // read when the box wakes
				continue
			}
			if !f.reaches(i, j) {
				continue
			}
			o.AcceptLease(l, f.now)
			o.relays[i] = relayReport{f.now, f.representedBoxes(i)}
			if f.rng.Float64() < f.lossRate {
				continue
			}
			n.AcceptLease(o.IssueLease(n.Self.Box, f.now), f.now)
			n.relays[j] = relayReport{f.now, f.representedBoxes(j)}
			f.exchangeRates(n, o)
		}
	}
}

// wake resumes a frozen box, which first reads the messages that arrived meanwhile.
func (f *fleet) wake(i int) {
	n := f.nodes[i]
	n.frozen = false
	for _, l := range f.delayed[i] {
		n.AcceptLease(l, f.now)
	}
	delete(f.delayed, i)
	for _, j := range f.reports[i] {
		n.members[j] = f.now
	}
	delete(f.reports, i)
}

// kill ends the process of a box at once.
func (f *fleet) kill(i int) { f.nodes[i].dead = true }

// stop makes a box announce that it is leaving and exit after stopDuration.
func (f *fleet) stop(i int) {
	if n := f.nodes[i]; n.stopsAt.IsZero() {
		n.stopsAt = f.now.Add(stopDuration)
	}
}

// restart starts the process of a box again if it has ended.
func (f *fleet) restart(i int, p *quota.Before) {
	if f.nodes[i].dead {
		f.startProcess(i, p)
	}
}

// snapshot returns the snapshot that the writer would write now, or nil without a writer.
func (f *fleet) snapshot() *quota.Before {
	n := f.writer()
	if n == nil {
		return nil
	}
	p := n.Snapshot(len(f.nodes), f.accounts, f.now)
	return &p
}

// restartAll restarts all boxes after half a second in which none ran. p is the state that
// they read from the store, or nil if the store is unavailable.
func (f *fleet) restartAll(p *quota.Before) {
	f.now = f.now.Add(500 * time.Millisecond)
	for i := range f.nodes {
		f.kill(i)
		f.startProcess(i, p)
	}
}

// take sends one request to a box and returns the answer of the quota.
func (f *fleet) take(i int, size float64) quota.Answer {
	x := quota.Question{Account: account.Name, Size: size, Urgent: true}
	if f.reserve || f.returnTimes {
		return f.takeWithReturn(i, x)
	}
	return f.ask(i, x)
}

// ask sends a request with the given question to a box and returns the answer of the quota.
func (f *fleet) ask(i int, x quota.Question) quota.Answer {
	n := f.nodes[i]
	v, _ := n.Take(x, f.now, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		j := boxIndex(a)
		f.calls++
		if i != j && !f.reaches(i, j) {
			return quota.Answer{}, false
		}
		return f.nodes[j].Ask(x, f.now), true
	})
	f.attempted++
	if v.OK {
		f.admissions = append(f.admissions, admission{f.now, x.Size})
		f.admitted++
	}
	return v
}

// step advances the clock by one tick. Each box runs one exchange a round.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	f.returnCallers()
	f.writeStore()
	at := int(f.now.UnixNano()/int64(tick)) % int(round/tick)
	for i, n := range f.nodes {
		if !n.stopsAt.IsZero() && !f.now.Before(n.stopsAt) {
			f.kill(i)
		}
		every := int(round / tick)
		if f.now.Sub(n.Started) < startupPeriod {
			every = int(startupRound / tick)
		}
		if !n.gossiped || i*7%every == at%every {
			f.gossipRound(i)
		}
	}
}

// idle advances the clock by d without requests.
func (f *fleet) idle(d time.Duration) {
	for range int(d / tick) {
		f.step()
	}
}

// send requests perSecond tokens a second for d, distributed over the boxes by weights, in
// requests of the given size, or of requestMix if size is zero.
func (f *fleet) send(d time.Duration, perSecond, size float64, weights ...int) {
	if len(weights) == 0 {
		weights = slices.Repeat([]int{1}, len(f.nodes))
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	pending := make([]float64, len(f.nodes))
	count := make([]int, len(f.nodes))
	for i := range pending {
		// Offset the boxes; otherwise all would send at the same moments.
		pending[i] = requestSize(size, i, 0) * math.Mod(float64(i)*math.Phi, 1)
	}
	for range int(d / tick) {
		f.step()
		for i, n := range f.nodes {
			pending[i] += perSecond * tick.Seconds() * float64(weights[i]) / float64(total)
			for ; pending[i] >= requestSize(size, i, count[i]); count[i]++ {
				s := requestSize(size, i, count[i])
				pending[i] -= s
				if !n.dead && !n.frozen {
					f.take(i, s)
				}
			}
		}
	}
}

// resetCounts resets the counters but not the admissions in the windows.
func (f *fleet) resetCounts() { f.attempted, f.admitted, f.calls = 0, 0, 0 }

// admittedShare returns the share of the attempted requests that were admitted.
func (f *fleet) admittedShare() float64 { return float64(f.admitted) / float64(max(f.attempted, 1)) }

// peakWindow returns the largest number of units admitted in any window.
func (f *fleet) peakWindow() float64 {
	top, sum, from := 0.0, 0.0, 0
	for _, e := range f.admissions {
		sum += e.size
		for e.at.Sub(f.admissions[from].at) >= tolerance.Window {
			sum -= f.admissions[from].size
			from++
		}
		top = max(top, sum)
	}
	return top
}
