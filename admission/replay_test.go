package admission_test

import (
	"bufio"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
)

// kind is a kind of requests with the results of a replay.
type kind struct {
	name                string
	shared, own, events int
	perSecond           float64
	objective, deadline time.Duration
	priority            int

	requested, inTime, served, expired, refused int
	lostExpired, lostServed                     int // sent although the deadline check refused them
	from                                        time.Duration
}

// count adds one to a result of a request that arrived after the change of load.
func (k *kind) count(j *job, n *int, add bool) {
	if add && j.arrived >= k.from {
		*n++
	}
}

// replay is one replay of a load from a file.
type replay struct {
	places      int
	tokensPerMs float64
	step        time.Duration
	kinds       []*kind
	policy      policy
	rand        *rand.Rand
	until       time.Duration

	now     time.Duration
	events  []event // by time
	boxes   []*box
	engines map[string]*engine
	serving []endpoint.Endpoint
}

// load reads a file: engines (number, slots, queue places, tokens per ms, step, speeds), kinds, and
// the changes at a time.
func load(t *testing.T, path string, y policy, seed uint64) *replay {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	p := &replay{policy: y, rand: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*engine{}}
	for range 4 {
		p.boxes = append(p.boxes, &box{balancer: balance.Balancer{Rand: p.rand.Float64}})
	}
	for _, b := range p.boxes {
		b.balancer.SetPeers(len(p.boxes)-1, 0)
	}
	for r := bufio.NewScanner(f); r.Scan(); {
		word, rest, _ := strings.Cut(r.Text(), " ")
		switch word {
		case "engines":
			p.parseEngines(t, rest)
		case "kind":
			k := &kind{}
			var objective, deadline int
			_, err = fmt.Sscan(rest, &k.name, &k.shared, &k.own, &k.events, &k.perSecond, &objective, &deadline, &k.priority)
			k.objective, k.deadline = time.Duration(objective)*time.Millisecond, time.Duration(deadline)*time.Millisecond
			p.kinds = append(p.kinds, k)
			p.arrive(k)
		case "remove": // ms, engines, over ms
			var at, n, over int
			_, err = fmt.Sscan(rest, &at, &n, &over)
			for i := range n {
				p.at(time.Duration(at+over*i/n)*time.Millisecond, func() { p.serving = p.serving[1:] })
			}
			p.setChange(time.Duration(at) * time.Millisecond)
		case "rate": // ms, kind or all, factor
			var at int
			var name string
			var factor float64
			_, err = fmt.Sscan(rest, &at, &name, &factor)
			p.at(time.Duration(at)*time.Millisecond, func() {
				for _, k := range p.kinds {
					if k.name == name || name == "all" {
						k.perSecond *= factor
					}
				}
			})
			p.setChange(time.Duration(at) * time.Millisecond)
		case "end":
			var ms int
			_, err = fmt.Sscan(rest, &ms)
			p.until = time.Duration(ms) * time.Millisecond
		}
		require.NoError(t, err, r.Text())
	}
	return p
}

func (p *replay) setChange(at time.Duration) {
	for _, k := range p.kinds {
		k.from = at
	}
}

func (p *replay) parseEngines(t *testing.T, rest string) {
	var n, slots int
	var step float64
	var speeds [3]float64
	_, err := fmt.Sscan(rest, &n, &slots, &p.places, &p.tokensPerMs, &step, &speeds[0], &speeds[1], &speeds[2])
	require.NoError(t, err)
	const tokensPerEvent = 4
	p.step = time.Duration(step * tokensPerEvent * float64(time.Millisecond))
	for i := range n {
		e := endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: slots}
		p.serving = append(p.serving, e)
		p.engines[e.ID] = &engine{endpoint: e, speed: speeds[i%3], cached: map[string]bool{}}
	}
}

// arrive lets requests of a kind arrive at random times.
func (p *replay) arrive(k *kind) {
	p.after(time.Duration(p.rand.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		if p.now > p.until {
			return
		}
		const prefixes = 4
		j := &job{kind: k, arrived: p.now, deadline: p.now + k.deadline, parts: []call.Part{
			{ID: fmt.Sprint(k.name, p.rand.IntN(prefixes)), Tokens: k.shared}, {ID: fmt.Sprint("own", p.now), Tokens: k.own},
		}}
		k.count(j, &k.requested, true)
		p.send(j)
		p.arrive(k)
	})
}

// run runs the replay until all requests have ended.
func (p *replay) run() {
	p.after(0, p.exchangeLoad)
	for p.now < p.until+20*time.Second {
		e := p.events[0]
		p.events, p.now = p.events[1:], e.at
		e.do()
	}
}

// ranks holds the ranks that are compared. The rank so far is by priority and length of the prompt.
var ranks = map[string]func(j *job, slack time.Duration) int{
	"before": func(j *job, _ time.Duration) int { return min(j.kind.priority+bits.Len(uint(j.choice.Tokens/500)), 9) },
}

// result is the sum of several replays of a file that differ in their random numbers.
type result map[int]*kind // by priority

func replayAll(t *testing.T, file string, y policy) result {
	out := result{}
	for seed := range uint64(2) {
		p := load(t, file, y, seed)
		p.run()
		for _, k := range p.kinds {
			o := out[k.priority]
			if o == nil {
				o = &kind{name: k.name}
				out[k.priority] = o
			}
			o.requested += k.requested
			o.inTime += k.inTime
			o.served += k.served
			o.expired += k.expired
			o.refused += k.refused
			o.lostExpired += k.lostExpired
			o.lostServed += k.lostServed
		}
	}
	return out
}

func (r result) String() string {
	s := ""
	for i := range len(r) {
		k := r[i]
		f := func(n int) float64 { return float64(n) / float64(k.requested) }
		s += fmt.Sprintf(" %s: in time %.3f, served %.3f, expired %.3f, refused %.3f, lost and expired %.4f, lost but served %.4f;",
			k.name, f(k.inTime), f(k.served), f(k.expired), f(k.refused), f(k.lostExpired), f(k.lostServed))
	}
	return s
}

// sum returns a result over all kinds.
func (r result) sum(of func(*kind) int) float64 {
	n := 0
	for _, k := range r {
		n += of(k)
	}
	return float64(n)
}

// forEachLoad runs a test for each file of a load.
func forEachLoad(t *testing.T, test func(t *testing.T, file string)) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			test(t, f)
		})
	}
}

// A check that refuses what could be served, or that acts where there is no shortage, does harm. Fewer
// requests must end unserved at their deadlines, up to half a percent for the callers that return.
func TestReplayOfDeadlineCheck(t *testing.T) { forEachLoad(t, replayDeadlineCheck) }

func replayDeadlineCheck(t *testing.T, f string) {
	before, after := replayAll(t, f, policy{rank: ranks["before"]}), replayAll(t, f, policy{rank: ranks["before"], check: true})
	t.Logf("before:%v", before)
	t.Logf("after: %v", after)
	requested := before.sum(func(k *kind) int { return k.requested })
	require.LessOrEqual(t, before.sum(func(k *kind) int { return k.lostServed }), 0.02*requested, "refused that could have been served")
	expired := func(k *kind) int { return k.expired }
	require.LessOrEqual(t, after.sum(expired)/after.sum(func(k *kind) int { return k.requested }), before.sum(expired)/requested+0.005)
	served := func(k *kind) int { return k.served }
	require.GreaterOrEqual(t, after.sum(served)/after.sum(func(k *kind) int { return k.requested }), before.sum(served)/requested-0.01)
	if strings.HasSuffix(f, "-room.txt") {
		require.Equal(t, before, after, "the check acts without a shortage")
	}
}
