package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/speed"
)

var epoch = time.Unix(1_000_000, 0)

func endpoints(n int) []endpoint.Endpoint {
	es := make([]endpoint.Endpoint, n)
	for i := range es {
		es[i] = endpoint.Endpoint{ID: fmt.Sprint("e", i), Service: "s", StartMillis: 1}
	}
	return es
}

// observe records n samples of each endpoint with the ratio that the function returns.
func observe(e *speed.Estimator, es []endpoint.Endpoint, n int, now time.Time, ratio func(i int) float64) {
	for range n {
		for i := range es {
			e.Observe(speed.KeyOf(&es[i]), ratio(i), 1, now)
		}
	}
}

func oneSlow(factor float64) func(int) float64 {
	return func(i int) float64 {
		if i == 0 {
			return factor
		}
		return 1
	}
}

func factors(e *speed.Estimator, es []endpoint.Endpoint, now time.Time) []float64 {
	e.Update([][]endpoint.Endpoint{es}, now)
	out := make([]float64, len(es))
	for i := range es {
		out[i] = e.Factor(&es[i])
	}
	return out
}

// A single sample, which may be eight times the expected time, must not move an endpoint out of use;
// twenty must show that it is slower or faster.
func TestSamplesNeeded(t *testing.T) {
	es := endpoints(10)
	for _, c := range []struct {
		samples       int
		ratio         float64
		atLeast, most float64
	}{{0, 1, 1, 1}, {1, 8, 1, 1.05}, {1, 0.1, 0.95, 1}, {20, 1.6, 1.1, 1.6}, {20, 0.6, 0.6, 0.9}, {500, 1.6, 1.45, 1.65}, {500, 0.6, 0.57, 0.67}, {500, 1.1, 1, 1}} {
		var e speed.Estimator
		observe(&e, es, c.samples, epoch, oneSlow(c.ratio))
		f := factors(&e, es, epoch)
		require.GreaterOrEqual(t, f[0], c.atLeast, c)
		require.LessOrEqual(t, f[0], c.most, c)
	}
}

// A slow period of 600 ms, 2.5 times slower, must not change the estimate of an endpoint noticeably,
// and frequent ones must not if all endpoints have them.
func TestSlowPeriods(t *testing.T) {
	es := endpoints(6)
	var once, often speed.Estimator
	random := rand.New(rand.NewPCG(1, 0))
	slow := make([]bool, len(es))
	for n := range 6 * 120 { // six samples a second
		now := epoch.Add(time.Duration(n) * time.Second / 6)
		observe(&once, es, 1, now, func(i int) float64 { return oneSlow(1 + 1.5*float64(n/4%100/99))(i) })
		if n%4 == 0 {
			for i := range slow {
				slow[i] = random.Float64() < 0.15
			}
		}
		observe(&often, es, 1, now, func(i int) float64 {
			if slow[i] {
				return 2.5
			}
			return 1
		})
	}
	now := epoch.Add(2 * time.Minute)
	for i := range es {
		require.InDelta(t, 1, factors(&once, es, now)[i], 0.001)
		require.InDelta(t, 1, factors(&often, es, now)[i], 0.05)
	}
}

// If the model is off by the same ratio for all endpoints, no factor must follow it: the model, whose
// observations are divided by the factors, would then never correct itself.
func TestMeanStaysAtOne(t *testing.T) {
	es := endpoints(30)
	var e speed.Estimator
	observe(&e, es, 300, epoch, func(int) float64 { return 1.7 })
	for _, f := range factors(&e, es, epoch) {
		require.InDelta(t, 1, f, 0)
	}
	observe(&e, es, 300, epoch, func(i int) float64 { return 1.7 * []float64{0.6, 1, 1.6}[i%3] })
	sum := 0.0
	for _, f := range factors(&e, es, epoch) {
		sum += math.Log(f)
	}
	require.InDelta(t, 0, sum/30, 0.05)
}

// Samples decay, and a process that starts under the ID of a slow one must not inherit its factor.
func TestOldSamplesAndRestart(t *testing.T) {
	es := endpoints(10)
	var e speed.Estimator
	observe(&e, es, 500, epoch, oneSlow(1.6))
	require.Greater(t, factors(&e, es, epoch)[0], 1.4)
	restarted := endpoints(10)
	restarted[0].StartMillis++
	require.InDelta(t, 1, e.Factor(&restarted[0]), 0)
	require.Zero(t, e.Class(&restarted[0]))
	require.InDelta(t, 1, factors(&e, restarted, epoch)[0], 0)
	require.InDelta(t, 1, factors(&e, es, epoch.Add(10*time.Minute))[0], 0)
}

// Classes decide which endpoint all boxes prefer. One whose speed is between two classes must not
// change its class with each sample.
func TestClassHysteresis(t *testing.T) {
	es := endpoints(30)
	var e speed.Estimator
	border := math.Sqrt(1.5) // between the classes 0 and -1
	observe(&e, es, 500, epoch, oneSlow(border*border))
	factors(&e, es, epoch)
	require.EqualValues(t, -1, e.Class(&es[0]))
	now := epoch
	for n := range 600 {
		now = now.Add(200 * time.Millisecond)
		observe(&e, es, 1, now, oneSlow(border*(1.1+0.1*float64(n%2))))
		factors(&e, es, now)
		require.EqualValues(t, -1, e.Class(&es[0]))
	}
}

// exchange makes a round between a member and its relay, through the encoding of messages.
func exchange(t *testing.T, member, relay *speed.Estimator, name string, seen uint64, used []speed.Key, now time.Time) (next uint64, size int) {
	t.Helper()
	up, err := msgpack.Marshal(member.Take(""))
	require.NoError(t, err)
	var report []speed.Entry
	require.NoError(t, msgpack.Unmarshal(up, &report))
	relay.AddMember(report, now)
	down, err := msgpack.Marshal(relay.ReplyTo(name, seen, used, now))
	require.NoError(t, err)
	var r speed.Reply
	require.NoError(t, msgpack.Unmarshal(down, &r))
	member.Accept(r, "", now)
	return r.Sequence, max(len(up), len(down))
}

// A box must learn from the samples of others within a second or so, also across relays, in messages
// of bounded size, and once all is known messages must be small.
func TestExchange(t *testing.T) {
	es := endpoints(60)
	var members, relays [2]speed.Estimator
	members[0].SetReceivers("")
	members[1].SetReceivers("")
	relays[0].SetReceivers("1")
	relays[1].SetReceivers("0")
	observe(&members[0], es[:16], 40, epoch, oneSlow(1.6))
	var seen [2]uint64
	now, size := epoch, 0
	round := func() {
		now = now.Add(500 * time.Millisecond)
		for i := range members {
			seen[i], size = exchange(t, &members[i], &relays[i], "m", seen[i], nil, now)
			require.LessOrEqual(t, size, 18*speed.MaxEntries)
			relays[1-i].AddRelay(relays[i].Take(fmt.Sprint(1-i)), now)
		}
	}
	round()
	round()
	want := factors(&members[0], es, now)
	require.Greater(t, want[0], 1.2)
	require.InDeltaSlice(t, want, factors(&members[1], es, now), 0.02)
	for range 4 {
		round()
	}
	require.Less(t, size, 16, "nothing new to tell")
	observe(&members[1], es, 20, now, oneSlow(1.6))
	for range 8 {
		round()
	}
	// What changes an estimate by less than 4% is not sent.
	require.InDeltaSlice(t, factors(&members[0], es, now), factors(&members[1], es, now), 0.08)
}

// A relay that starts anew knows little and must not take from its members what they know; samples
// that did not arrive must be sent again; a cut-off box keeps its own samples.
func TestRelayLost(t *testing.T) {
	es := endpoints(10)
	var member, relay, fresh speed.Estimator
	member.SetReceivers("")
	observe(&member, es, 100, epoch, oneSlow(1.6))
	seen, _ := exchange(t, &member, &relay, "m", 0, nil, epoch)
	before := factors(&member, es, epoch)
	require.Greater(t, before[0], 1.3)
	observe(&fresh, es, 10, epoch, oneSlow(1))
	seen, _ = exchange(t, &member, &fresh, "m", seen, nil, epoch)
	require.Equal(t, before, factors(&member, es, epoch))

	observe(&member, es, 3, epoch, oneSlow(1))
	lost := member.Take("")
	require.Len(t, lost, 10)
	require.Empty(t, member.Take(""))
	member.Return("", lost)
	require.Equal(t, lost, member.Take(""))

	reply := relay.ReplyTo("m", seen+7, nil, epoch)
	require.Len(t, reply.Entries, 10, "a member that has not got the last reply must be told all")
	require.Greater(t, factors(&member, es, epoch.Add(30*time.Second))[0], 1.2)
}

// A member that becomes a relay must send the other relays what it has not sent to its own, also if it
// learns of them only later.
func TestMemberBecomesRelay(t *testing.T) {
	es := endpoints(10)
	var e speed.Estimator
	e.SetReceivers("")
	observe(&e, es, 3, epoch, oneSlow(1.6))
	e.SetReceivers()
	e.SetReceivers("a", "b")
	require.Len(t, e.Take("a"), 10)
	require.Len(t, e.Take("b"), 10)
	e.SetReceivers("a", "b", "c")
	require.Empty(t, e.Take("c"))
}

// A box that is cut off must not send old samples at full weight later, nor keep those of each process
// that has ended meanwhile.
func TestUnsentSamplesDecay(t *testing.T) {
	es := endpoints(10)
	var e speed.Estimator
	e.SetReceivers("")
	observe(&e, es, 60, epoch, oneSlow(1.6))
	factors(&e, es, epoch.Add(time.Minute))
	unsent := e.Take("")
	require.Len(t, unsent, 10)
	require.Equal(t, 30*16, unsent[0].Count)
	e.Return("", unsent)
	factors(&e, es, epoch.Add(15*time.Minute))
	require.Empty(t, e.Take(""))
}

// A faulty message must not give an endpoint an absurd factor, nor outweigh what the others observe.
func TestFaultyEntries(t *testing.T) {
	es := endpoints(10)
	var e speed.Estimator
	bad := make([]speed.Entry, 100)
	for i := range bad {
		bad[i] = speed.Entry{Key: uint64(speed.KeyOf(&es[i%2])), Count: []int{-5, math.MaxInt32}[i%2], Sum: math.MaxInt32}
	}
	e.AddMember(bad, epoch)
	e.Observe(speed.KeyOf(&es[2]), math.NaN(), 1, epoch)
	e.Observe(speed.KeyOf(&es[2]), -1, 1, epoch)
	e.Observe(speed.KeyOf(&es[2]), math.Inf(1), 1, epoch)
	for _, f := range factors(&e, es, epoch) {
		require.Greater(t, f, 0.2)
		require.Less(t, f, 5.0)
	}
	for _, n := range e.ReplyTo("m", 0, nil, epoch).Entries {
		require.LessOrEqual(t, n.Count, 16*64*speed.MaxEntries/2)
	}
}

// Members must be told of endpoints that they do not use only by class, so that the cost of a box
// does not grow with the fleet.
func TestUnusedEndpoints(t *testing.T) {
	es := endpoints(12)
	var relay speed.Estimator
	observe(&relay, es, 500, epoch, oneSlow(0.6))
	factors(&relay, es, epoch)
	r := relay.ReplyTo("m", 0, []speed.Key{speed.KeyOf(&es[5]), speed.KeyOf(&es[6])}, epoch)
	keys := map[uint64]bool{}
	for _, n := range r.Entries {
		keys[n.Key] = true
	}
	require.Equal(t, map[uint64]bool{uint64(speed.KeyOf(&es[0])): true, uint64(speed.KeyOf(&es[5])): true, uint64(speed.KeyOf(&es[6])): true}, keys)
}
