package balance_test

import (
	"bufio"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/speed"
)

// speedLoad is the load of testdata/speeds.txt.
type speedLoad struct {
	values  map[string]float64
	factors []float64
	kinds   []speedKind
}

// speedKind is a kind of streams.
type speedKind struct {
	perSecond           float64
	shared, own, events int
}

func readSpeedLoad(t *testing.T) speedLoad {
	t.Helper()
	file, err := os.Open("testdata/speeds.txt")
	require.NoError(t, err)
	defer file.Close()
	l := speedLoad{values: map[string]float64{}}
	for r := bufio.NewScanner(file); r.Scan(); {
		f := strings.Fields(r.Text())
		if f[0] == "#" {
			continue
		}
		n := make([]float64, len(f)-1)
		for i := range n {
			n[i], err = strconv.ParseFloat(f[i+1], 64)
			require.NoError(t, err, r.Text())
		}
		switch f[0] {
		case "factors":
			l.factors = n
		case "kind":
			l.kinds = append(l.kinds, speedKind{n[0], int(n[1]), int(n[2]), int(n[3])})
		default:
			l.values[f[0]] = n[0]
		}
	}
	return l
}

// replayEvent is something that happens at a time of a replay.
type replayEvent struct {
	at time.Time
	n  int // order of events at the same time
	do func(now time.Time)
}

type replayEvents []replayEvent

func (q replayEvents) Len() int      { return len(q) }
func (q replayEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q replayEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q *replayEvents) Push(x any) { *q = append(*q, x.(replayEvent)) }
func (q *replayEvents) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// replayEngine is the state of an engine.
type replayEngine struct {
	factor    float64
	freeAt    time.Time // when it can prefill the next prompt
	cached    map[string]bool
	running   int
	spells    []bool // by period
	spellSeed *rand.Rand
}

// speedReplay is one run of a load.
type speedReplay struct {
	speedLoad
	random  *rand.Rand
	events  replayEvents
	n       int
	es      []endpoint.Endpoint
	engines []*replayEngine
	boxes   []*balance.Balancer
	relays  [][]int // members by relay; the first is the relay
	seen    []uint64
	bytes   int
	largest int

	chosen  []int
	running [3]float64 // sums of samples, by class of speed
	samples int
	answers [3]int
	late    [3]int
	lateOf  []int // by kind
	counts  []int

	maxDeviation float64 // largest logarithm of a factor that any box had
	equalUntil   int     // number of choices before a factor first differed from 1
}

func newSpeedReplay(l speedLoad, seed uint64, speeds bool) *speedReplay {
	r := &speedReplay{speedLoad: l, random: rand.New(rand.NewPCG(seed, 1)), es: endpoints(int(l.values["endpoints"]))}
	for i := range r.es {
		r.es[i].Slots = int(l.values["slots"])
		r.engines = append(r.engines, &replayEngine{
			factor: l.factors[i/3%len(l.factors)], cached: map[string]bool{}, spellSeed: rand.New(rand.NewPCG(seed, uint64(i)+100)),
		})
	}
	n := int(l.values["boxes"])
	r.relays, r.seen = make([][]int, 2*int(l.values["data_centres"])), make([]uint64, n)
	for i := range n {
		b := &balance.Balancer{Rand: rand.New(rand.NewPCG(seed, uint64(i)+1000)).Float64}
		if speeds {
			b.Speeds = &speed.Estimator{}
		}
		r.boxes = append(r.boxes, b)
		r.relays[i%len(r.relays)] = append(r.relays[i%len(r.relays)], i)
	}
	r.lateOf, r.counts = make([]int, len(l.kinds)), make([]int, len(l.kinds))
	return r
}

func (r *speedReplay) schedule(at time.Time, do func(now time.Time)) {
	r.n++
	heap.Push(&r.events, replayEvent{at, r.n, do})
}

// factorAt returns the factor of an engine's times at a time.
func (r *speedReplay) factorAt(g *replayEngine, now time.Time) float64 {
	if r.values["spell_share"] == 0 {
		return g.factor
	}
	period := int(now.Sub(epoch).Milliseconds()) / int(r.values["spell_ms"])
	for len(g.spells) <= period {
		g.spells = append(g.spells, g.spellSeed.Float64() < r.values["spell_share"])
	}
	if g.spells[period] {
		return g.factor * r.values["spell_factor"]
	}
	return g.factor
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func (r *speedReplay) dataCentre(box int) int { return box % int(r.values["data_centres"]) }

// send sends a request from a box.
func (r *speedReplay) send(kind, box int, account int, now time.Time) {
	k, b := r.kinds[kind], r.boxes[box]
	part := fmt.Sprint("p", kind, "/", account)
	q := balance.Query{
		DataCentre: fmt.Sprint("dc", r.dataCentre(box)), Engine: true, SharedParts: 1, Prompt: k.shared + k.own, Objective: 600 * time.Millisecond,
		Parts: []call.Part{{ID: part, Tokens: k.shared}, {ID: fmt.Sprint("own", r.n), Tokens: k.own}},
	}
	c, _ := b.Choose(r.es, q, now)
	id, _ := strconv.Atoi(c.Endpoint.ID[1:])
	r.chosen = append(r.chosen, id)
	a := b.Begin(c.Endpoint, c, now)
	scope := b.HintScope("s", c.Tokens, now)
	for i, o := range r.boxes {
		if i != box && (scope == balance.HintAll || scope == balance.HintNearby && r.dataCentre(i) == r.dataCentre(box)) {
			o.AddHint(c.Endpoint, c.Tokens, now)
		}
	}
	g := r.engines[id]
	g.running++
	tokens := k.own
	if !g.cached[part] {
		tokens += k.shared
		g.cached[part] = true
	}
	g.freeAt = latest(now, g.freeAt)
	prefill := float64(tokens)/r.values["tokens_per_ms"] + r.values["prefill_running_ms"]*float64(g.running)
	g.freeAt = g.freeAt.Add(milliseconds(r.factorAt(g, g.freeAt) * prefill))
	r.schedule(g.freeAt.Add(2*time.Millisecond), func(at time.Time) {
		a.RecordProgress(at)
		a.RecordAnswer()
		r.count(kind, id, at.Sub(now), now)
		r.stream(a, g, k.events-1, at)
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stream sends the remaining events of an answer.
func (r *speedReplay) stream(a *balance.Attempt, g *replayEngine, left int, now time.Time) {
	if left == 0 {
		a.End(false, now)
		g.running--
		return
	}
	r.schedule(now.Add(milliseconds(r.factorAt(g, now)*(r.values["event_ms"]+r.values["event_running_ms"]*float64(g.running)))), func(at time.Time) {
		a.RecordProgress(at)
		r.stream(a, g, left-1, at)
	})
}

func (r *speedReplay) count(kind, id int, took time.Duration, sent time.Time) {
	if sent.Sub(epoch).Seconds() < r.values["counted_from"] {
		return
	}
	class := id / 3 % 3
	r.answers[class]++
	r.counts[kind]++
	if took > 600*time.Millisecond {
		r.late[class]++
		r.lateOf[kind]++
	}
}

// exchange makes the boxes exchange loads, statistics and samples of speeds.
func (r *speedReplay) exchange(now time.Time) {
	sum, stats := map[string]balance.Load{}, estimate.Stats{}
	for _, b := range r.boxes {
		for id, l := range b.OwnLoad() {
			sum[id] = balance.Load{Running: sum[id].Running + l.Running, Tokens: sum[id].Tokens + l.Tokens}
		}
		stats.Add(b.OwnStats(now)["s"])
	}
	for i, b := range r.boxes {
		others := map[string]balance.Load{}
		own := b.OwnLoad()
		for id, l := range sum {
			others[id] = balance.Load{Running: l.Running - own[id].Running, Tokens: l.Tokens - own[id].Tokens}
		}
		near := (len(r.boxes)+2-r.dataCentre(i))/3 - 1
		b.SetRemoteLoad(others, len(r.boxes)-1, now)
		b.SetPeers(near, len(r.boxes)-1-near)
		b.SetRemoteStats(map[string]estimate.Stats{"s": stats.Without(b.OwnStats(now)["s"])})
	}
	if r.boxes[0].Speeds != nil {
		r.exchangeSpeeds(now)
	}
	if now.Sub(epoch).Seconds() >= r.values["counted_from"] {
		r.samples++
		for i, g := range r.engines {
			r.running[i/3%3] += float64(g.running) / float64(len(r.engines)) * 3
		}
	}
}

// exchangeSpeeds makes one round of reports between members and relays and between relays.
func (r *speedReplay) exchangeSpeeds(now time.Time) {
	for i, members := range r.relays {
		relay := r.boxes[members[0]].Speeds
		var others []string
		for j := range r.relays {
			if j != i {
				others = append(others, fmt.Sprint(j))
			}
		}
		relay.SetReceivers(others...)
		for _, m := range members[1:] {
			member := r.boxes[m].Speeds
			member.SetReceivers("")
			relay.AddMember(transfer(r, member.Take("")), now)
			reply := transfer(r, relay.ReplyTo(fmt.Sprint(m), r.seen[m], nil, now))
			r.seen[m] = reply.Sequence
			member.Accept(reply, "", now)
		}
	}
	for i, from := range r.relays {
		for j, to := range r.relays {
			if i != j {
				r.boxes[to[0]].Speeds.AddRelay(transfer(r, r.boxes[from[0]].Speeds.Take(fmt.Sprint(j))), now)
			}
		}
	}
	for _, b := range r.boxes {
		b.Speeds.Update([][]endpoint.Endpoint{r.es}, now)
		for _, x := range b.Speeds.Ratings() {
			r.maxDeviation = max(r.maxDeviation, math.Abs(math.Log(x.Factor)))
		}
	}
	if r.maxDeviation == 0 {
		r.equalUntil = len(r.chosen)
	}
}

// transfer encodes and decodes a part of a message and counts its bytes.
func transfer[T any](r *speedReplay, x T) T {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic(err)
	}
	r.bytes += len(b)
	r.largest = max(r.largest, len(b))
	var out T
	if err := msgpack.Unmarshal(b, &out); err != nil {
		panic(err)
	}
	return out
}

func (r *speedReplay) run() {
	end := epoch.Add(milliseconds(1000 * r.values["seconds"]))
	for kind, k := range r.kinds {
		for at := epoch; at.Before(end); at = at.Add(milliseconds(1000 * r.random.ExpFloat64() / k.perSecond)) {
			box, account := r.random.IntN(len(r.boxes)), r.random.IntN(int(r.values["prompts"]))
			r.schedule(at, func(now time.Time) { r.send(kind, box, account, now) })
		}
	}
	for at := epoch; at.Before(end); at = at.Add(500 * time.Millisecond) {
		r.schedule(at, r.exchange)
	}
	for len(r.events) > 0 {
		x := heap.Pop(&r.events).(replayEvent)
		x.do(x.at)
	}
}

// lateShare returns the share of a class's answers, in percent, that came after 600 ms.
func (r *speedReplay) lateShare(class int) float64 {
	return 100 * float64(r.late[class]) / float64(max(r.answers[class], 1))
}

// bytesPerBox returns the bytes a second that a box sends, on average over boxes and time.
func (r *speedReplay) bytesPerBox() float64 {
	return float64(r.bytes) / float64(len(r.boxes)) / r.values["seconds"]
}

func (r *speedReplay) String() string {
	out := ""
	for c := range 3 {
		out += fmt.Sprintf("class %d: %.1f running, %d answers, %.1f%% late; ", c, r.running[c]/float64(r.samples), r.answers[c], r.lateShare(c))
	}
	return out + fmt.Sprintf("late by kind %v of %v; %.0f B/s per box, largest message %d B", r.lateOf, r.counts, r.bytesPerBox(), r.largest)
}

// replayBoth replays a load with the speeds off and on.
func replayBoth(t *testing.T, l speedLoad, seed uint64) (before, after *speedReplay) {
	t.Helper()
	before, after = newSpeedReplay(l, seed, false), newSpeedReplay(l, seed, true)
	var w sync.WaitGroup
	w.Go(before.run)
	w.Go(after.run)
	w.Wait()
	t.Log("before:", before)
	t.Log("after: ", after)
	return before, after
}

// Boxes used slow endpoints almost like fast ones, since each sees an endpoint only once in some
// seconds: a third of the endpoints had most of the late answers.
func TestSpeedsReplay(t *testing.T) {
	t.Parallel()
	before, after := replayBoth(t, readSpeedLoad(t), 1)
	require.Greater(t, before.lateShare(2), 5.0)
	require.Less(t, after.lateShare(2), 5.0)
	require.Less(t, after.lateOf[0], before.lateOf[0])
	require.Less(t, after.running[2], after.running[0])
	for c := range 3 {
		require.Greater(t, after.answers[c], before.answers[c]/2, "each endpoint must get enough requests to be measured")
	}
	require.Less(t, after.running[0], 1.5*before.running[0], "fast endpoints must not be flooded")
	require.LessOrEqual(t, after.bytesPerBox(), 800.0)
	require.LessOrEqual(t, after.largest, 18*speed.MaxEntries)
	for i, e := range after.es {
		a, b := after.boxes[3].SpeedFactor(e.ID), after.boxes[40].SpeedFactor(e.ID)
		require.InEpsilon(t, a, b, 0.15, "boxes that report to different relays must agree on %d", i)
	}
}

// The busiest of equally fast endpoints must not be taken for slow: choices must be as without speeds.
// An endpoint that is overloaded in the first seconds may be found to be slightly slower for some
// seconds; until then, all choices must be the same.
func TestEqualSpeedsReplay(t *testing.T) {
	t.Parallel()
	l := readSpeedLoad(t)
	l.factors = []float64{1}
	l.values["spell_share"] = 0
	l.values["seconds"] = 12
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			before, after := replayBoth(t, l, seed+1)
			t.Logf("largest deviation: %.3f; equal choices: %d of %d", after.maxDeviation, after.equalUntil, len(after.chosen))
			require.Less(t, after.maxDeviation, math.Log(1.1))
			require.Greater(t, after.equalUntil, len(after.chosen)/10)
			require.Equal(t, before.chosen[:after.equalUntil], after.chosen[:after.equalUntil])
		})
	}
}
