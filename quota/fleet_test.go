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

var terms = quota.Terms{Window: 8 * time.Second, Overage: 0.1, Slack: 72000}

var account = &catalog.Account{Name: "a", Tokens: true, Rate: 100000, Burst: 100000}

// limit is what any window may hold.
func limit() float64 {
	return (account.Rate*terms.Window.Seconds()+account.Burst)*(1+terms.Overage) + terms.Slack
}

const (
	round      = 500 * time.Millisecond
	young      = 3 * time.Second // up to which boxes tell each other more often
	selfFor    = 2 * time.Second // up to which boxes speak for themselves
	youngRound = 150 * time.Millisecond
	tick       = 10 * time.Millisecond
	lost       = 2 * time.Second // after which a box that is not heard is not counted
	recent     = 1200 * time.Millisecond
	stopTakes  = 3 * time.Second // from a box's word that it leaves to its end
)

// node is one box of a fleet.
type node struct {
	*quota.Quota
	life    int
	begun   bool
	relay   int // the box that counts it; itself for a relay
	told    time.Time
	dead    bool
	frozen  bool
	leaving time.Time // when a box that stops ends; zero for one that does not stop
	side    int       // boxes reach those of their side
	members map[int]time.Time
	others  map[int]heardRelay
	seen    view

	available *availability.Availability
	throttle  *throttle.Throttle
	retries   *budget.Budget
}

type heardRelay struct {
	at    time.Time
	boxes map[string]int
}

type view struct {
	arbiters []quota.Arbiter
	boxes    map[string]int
	division quota.Division
}

// fleet is boxes in memory which tell each other as the service does: two relays a
// data centre count the other boxes, and exchange their leases each round.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	nodes    []*node
	cells    int
	accounts []catalog.Account
	late     map[int][]quota.Lease // what a frozen box has not read yet
	loss     float64               // of messages
	store    *quota.Before         // what one relay wrote last
	wrote    time.Time
	version  uint64
	run      []entry
	asked    int
	done     int
	calls    int

	evenly    bool // boxes keep an equal part of each endpoint's rate, and ask nobody
	endpoints []*limited
}

type entry struct {
	at   time.Time
	size float64
}

func newFleet(n, cells int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), cells: cells, accounts: []catalog.Account{*account}, late: map[int][]quota.Lease{}}
	for i := range n {
		f.nodes = append(f.nodes, &node{})
		f.begin(i, nil)
	}
	return f
}

// begin starts the process of a box anew. It knows what was before if the store
// answers it.
func (f *fleet) begin(i int, before *quota.Before) {
	n := f.nodes[i]
	*n = node{life: n.life + 1, side: n.side, relay: -1, members: map[int]time.Time{}, others: map[int]heardRelay{}}
	n.Quota = &quota.Quota{
		Terms: terms, Started: f.now, Incarnation: fmt.Sprint(n.life),
		Self: f.arbiter(i), Chance: f.rng.Float64,
	}
	n.available, n.throttle = &availability.Availability{}, &throttle.Throttle{Leases: f.leases(i)}
	n.retries = budget.New(retryTerms)
	n.retries.Rand = f.rng.Float64
	n.retries.SetBoxes(n.MostBoxes())
	if before != nil {
		n.Expect(*before)
	}
	delete(f.late, i)
}

func (f *fleet) arbiter(i int) quota.Arbiter {
	return quota.Arbiter{
		Box: fmt.Sprint("box", i), DataCentre: fmt.Sprint("dc", i%f.cells), Address: fmt.Sprint(i),
		Leaving: !f.nodes[i].leaving.IsZero(),
	}
}

func index(a quota.Arbiter) int {
	i := 0
	_, _ = fmt.Sscan(a.Address, &i)
	return i
}

// hears reports whether one box's call to another is answered now.
func (f *fleet) hears(a, b int) bool {
	x, y := f.nodes[a], f.nodes[b]
	return !x.dead && !x.frozen && !y.dead && !y.frozen && x.side == y.side && f.rng.Float64() >= f.loss
}

// relays returns the boxes that have the places of a data centre: the first two
// that have power, as leases in the store would give them after a while.
func (f *fleet) relays(dc int) []int {
	var out []int
	for i := dc; i < len(f.nodes) && len(out) < 2; i += f.cells {
		if !f.nodes[i].dead {
			out = append(out, i)
		}
	}
	return out
}

func (f *fleet) isRelay(i int) bool { return slices.Contains(f.relays(i%f.cells), i) }

func (f *fleet) view(i int) quota.View {
	n := f.nodes[i]
	dc := n.Self.DataCentre
	if !f.isRelay(i) {
		counted := 0
		if f.now.Sub(n.told) >= recent || f.now.Sub(n.Started) < selfFor {
			counted = 1
		}
		boxes := n.seen.boxes
		if f.now.Sub(n.told) >= lost {
			boxes = map[string]int{dc: 1}
		}
		return quota.View{Arbiters: n.seen.arbiters, Counted: counted, Boxes: boxes, Division: n.seen.division}
	}
	v := quota.View{Arbiters: []quota.Arbiter{f.arbiter(i)}, Counted: 1, Boxes: map[string]int{}}
	v.Boxes[dc] = 1
	for j, at := range n.members {
		if f.now.Sub(at) >= lost {
			continue
		}
		v.Boxes[dc]++
		if f.now.Sub(f.nodes[j].Started) >= selfFor+youngRound {
			v.Counted++
		}
	}
	for j, h := range n.others {
		if f.now.Sub(h.at) < recent {
			v.Arbiters = append(v.Arbiters, f.arbiter(j))
		}
		if f.now.Sub(h.at) < lost {
			for dc, n := range h.boxes {
				v.Boxes[dc] += n
			}
		}
	}
	slices.SortFunc(v.Arbiters, func(a, b quota.Arbiter) int { return index(a) - index(b) })
	return v
}

// counted is how many boxes a relay hears itself.
func (f *fleet) counted(i int) map[string]int {
	boxes := 1
	for _, at := range f.nodes[i].members {
		if f.now.Sub(at) < lost {
			boxes++
		}
	}
	return map[string]int{f.nodes[i].Self.DataCentre: boxes}
}

// write lets the first relay that reaches the store write what is kept there.
func (f *fleet) write() {
	if f.now.Sub(f.wrote) < time.Second {
		return
	}
	n := f.writer()
	if n == nil {
		return
	}
	if f.store != nil {
		n.Adopt(f.store.Division, f.now) // it writes only over what it has read
	}
	p := f.before()
	if f.store != nil && maps.Equal(p.Short, f.store.Short) && f.now.Sub(f.wrote) < 10*time.Second {
		return
	}
	f.version++
	p.Division.Version = f.version
	f.store, f.wrote = p, f.now
	n.Adopt(p.Division, f.now)
}

func (f *fleet) writer() *node {
	for i, n := range f.nodes {
		if f.isRelay(i) && !n.dead && !n.frozen && n.side == 0 && f.now.Sub(n.Started) >= 1500*time.Millisecond {
			return n
		}
	}
	return nil
}

// gossip is one round of one box.
func (f *fleet) gossip(i int) {
	n := f.nodes[i]
	if n.dead || n.frozen {
		return
	}
	n.begun = true
	n.Round(f.view(i), f.accounts, f.now)
	n.retries.SetBoxes(n.MostBoxes())
	if !f.isRelay(i) {
		rs := f.relays(i % f.cells)
		if len(rs) == 0 {
			return
		}
		if !slices.Contains(rs, n.relay) || !f.hears(i, n.relay) {
			n.relay = rs[f.rng.IntN(len(rs))] // counted there from the next round on
			return
		}
		r := f.nodes[n.relay]
		r.members[i] = f.now
		n.told = f.now
		v := f.view(n.relay)
		n.seen = view{v.Arbiters, v.Boxes, r.Division()}
		f.tellRates(n, r)
		return
	}
	for dc := range f.cells {
		for _, j := range f.relays(dc) {
			if j <= i {
				continue
			}
			o := f.nodes[j]
			l := n.Tell(o.Self.Box, f.now)
			if o.frozen && o.side == n.side && !o.dead {
				f.late[j] = append(f.late[j], l) // it is read when the box wakes
				continue
			}
			if !f.hears(i, j) {
				continue
			}
			o.Hear(l, f.now)
			o.others[i] = heardRelay{f.now, f.counted(i)}
			if f.rng.Float64() < f.loss {
				continue
			}
			n.Hear(o.Tell(n.Self.Box, f.now), f.now)
			n.others[j] = heardRelay{f.now, f.counted(j)}
			f.tellRates(n, o)
		}
	}
}

// wake lets a frozen box go on: it reads what came meanwhile.
func (f *fleet) wake(i int) {
	n := f.nodes[i]
	n.frozen = false
	for _, l := range f.late[i] {
		n.Hear(l, f.now)
	}
	delete(f.late, i)
}

// kill ends a box's process; start begins it again.
func (f *fleet) kill(i int) { f.nodes[i].dead = true }

// stop lets a box say that it leaves, and end some seconds later.
func (f *fleet) stop(i int) {
	if n := f.nodes[i]; n.leaving.IsZero() {
		n.leaving = f.now.Add(stopTakes)
	}
}

func (f *fleet) start(i int, p *quota.Before) {
	if f.nodes[i].dead {
		f.begin(i, p)
	}
}

// before is what the writer would write down now.
func (f *fleet) before() *quota.Before {
	n := f.writer()
	if n == nil {
		return nil
	}
	p := n.Before(len(f.nodes), f.accounts, f.now)
	return &p
}

// restartAll starts all boxes anew after a moment in which none ran. They read what
// stands in the store, unless that is away.
func (f *fleet) restartAll(p *quota.Before) {
	f.now = f.now.Add(500 * time.Millisecond)
	for i := range f.nodes {
		f.kill(i)
		f.begin(i, p)
	}
}

// mix is requests as the users' sheets have them, in tokens: many short ones, some
// drafts, and few that are large against the least account's rate.
var mix = []float64{2000, 9000, 2000, 2000, 700, 9000, 2000, 700, 30000, 2000, 700, 2000}

// sizeOf returns the size of a box's request of some number: a size, or for zero
// one of the mix.
func sizeOf(size float64, box, n int) float64 {
	if size > 0 {
		return size
	}
	return mix[(5*box+n)%len(mix)]
}

// take asks for one request at a box.
func (f *fleet) take(i int, size float64) quota.Answer {
	n := f.nodes[i]
	x := quota.Question{Account: account.Name, Size: size, Urgent: true}
	v, _ := n.Take(x, f.now, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		j := index(a)
		f.calls++
		if i != j && !f.hears(i, j) {
			return quota.Answer{}, false
		}
		return f.nodes[j].Ask(x, f.now), true
	})
	f.asked++
	if v.OK {
		f.run = append(f.run, entry{f.now, size})
		f.done++
	}
	return v
}

// step is one tick: each box exchanges once a round.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	f.write()
	at := int(f.now.UnixNano()/int64(tick)) % int(round/tick)
	for i, n := range f.nodes {
		if !n.leaving.IsZero() && !f.now.Before(n.leaving) {
			f.kill(i)
		}
		every := int(round / tick)
		if f.now.Sub(n.Started) < young {
			every = int(youngRound / tick)
		}
		if !n.begun || i*7%every == at%every {
			f.gossip(i)
		}
	}
}

// idle lets time pass.
func (f *fleet) idle(d time.Duration) {
	for range int(d / tick) {
		f.step()
	}
}

// send asks for tokens a second at weights over the boxes, in requests of a size,
// or of the mix for zero.
func (f *fleet) send(d time.Duration, perSecond, size float64, weights ...int) {
	if len(weights) == 0 {
		weights = slices.Repeat([]int{1}, len(f.nodes))
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	owed := make([]float64, len(f.nodes))
	sent := make([]int, len(f.nodes))
	for i := range owed {
		// Equal boxes would all send at the same moments.
		owed[i] = sizeOf(size, i, 0) * math.Mod(float64(i)*math.Phi, 1)
	}
	for range int(d / tick) {
		f.step()
		for i, n := range f.nodes {
			owed[i] += perSecond * tick.Seconds() * float64(weights[i]) / float64(total)
			for ; owed[i] >= sizeOf(size, i, sent[i]); sent[i]++ {
				s := sizeOf(size, i, sent[i])
				owed[i] -= s
				if !n.dead && !n.frozen {
					f.take(i, s)
				}
			}
		}
	}
}

// reset forgets what was counted so far, but not what windows hold.
func (f *fleet) reset() { f.asked, f.done, f.calls = 0, 0, 0 }

// served is the part of what was asked that was let in.
func (f *fleet) served() float64 { return float64(f.done) / float64(max(f.asked, 1)) }

// most is the most that any window held.
func (f *fleet) most() float64 {
	top, sum, from := 0.0, 0.0, 0
	for _, e := range f.run {
		sum += e.size
		for e.at.Sub(f.run[from].at) >= terms.Window {
			sum -= f.run[from].size
			from++
		}
		top = max(top, sum)
	}
	return top
}
