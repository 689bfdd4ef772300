package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/quota"
)

// soleBox is the only box of a fleet, with both settings on.
type soleBox struct {
	*quota.Quota
	now time.Time
}

func newSoleBox() *soleBox {
	boxes := map[string]int{"dc": 1}
	b := &soleBox{
		&quota.Quota{
			Self: quota.Arbiter{Box: "x", DataCentre: "dc"}, Started: time.Unix(1000, 0), Rand: func() float64 { return 0.5 },
			Tolerance: quota.Tolerance{Slack: 30_000}, Reserve: true, ReturnTimes: true,
		},
		time.Unix(1060, 0),
	}
	b.Restore(quota.Before{Division: quota.Division{Version: 1, Boxes: boxes}})
	b.pass(0)
	b.pass(10 * time.Second)
	return b
}

// pass lets time pass.
func (b *soleBox) pass(d time.Duration) {
	for end := b.now.Add(d); ; {
		b.Update(quota.View{Represented: 1, Boxes: map[string]int{"dc": 1}}, []catalog.Account{*account}, b.now)
		if !b.now.Before(end) {
			return
		}
		b.now = b.now.Add(min(10*time.Millisecond, end.Sub(b.now)))
	}
}

// ask asks as the last of the arbiters.
func (b *soleBox) ask(route string, size float64, content uint64, wait time.Duration) quota.Answer {
	return b.Ask(quota.Question{
		Account: account.Name, Size: size, DataCentre: "dc", Urgent: true, Route: route, Content: content, Wait: wait, Last: true,
	}, b.now)
}

// warmUp makes the costs of three routes known: the brief and the small ones are small beside the large
// ones. It leaves a full bucket.
func (b *soleBox) warmUp() {
	for i := range uint64(20) {
		b.ask("brief", 200, i, 200*time.Millisecond)
		b.ask("small", 200, i, 5*time.Second)
		b.ask("large", 3000, i, 2*time.Second)
	}
	b.pass(5 * time.Second)
}

// drain spends the bucket, with one large request that leaves a debt of 11,000.
func (b *soleBox) drain() {
	b.ask("", 80_000, 1<<40, 0)
	b.ask("", 12_000, 1<<41, 0)
}

// Small requests are served beside large ones that have spent the limit, those with less time first,
// and a large request of a small route as the others. Guards against the refusal of requests that cost
// next to nothing.
func TestReserveOfSmallRequests(t *testing.T) {
	b := newSoleBox()
	b.warmUp()
	b.drain()
	require.False(t, b.ask("large", 100, 1, 0).OK, "a request of a large route, though small itself")
	v := b.ask("small", 6000, 1, 0)
	require.True(t, v.OK && v.FromReserve)
	require.False(t, b.ask("small", 200, 2, 0).OK, "the rest of the reserve is for brief waits")
	v = b.ask("brief", 200, 2, 0)
	require.True(t, v.OK && v.FromReserve)
}

// Small requests take from large ones at most a quarter of the rate and the overdraft. Guards against
// an account whose small requests shut out its large ones.
func TestReserveIsBounded(t *testing.T) {
	b := newSoleBox()
	b.warmUp()
	fromReserve, large := 0.0, 0.0
	const period = 10 * time.Second
	for i := range uint64(period / tick) {
		b.pass(tick)
		if b.ask("large", 9000, i, 0).OK {
			large += 9000
		}
		for j := range uint64(50) { // ten times the rate
			if v := b.ask("brief", 200, i<<8|j, 0); v.FromReserve {
				fromReserve += 200
			}
		}
	}
	require.Less(t, fromReserve, (0.25*period.Seconds()+0.1)*1.1*account.Rate)
	require.Greater(t, large, 0.3*account.Rate*period.Seconds())
}

// Small requests use the room that is free at any relay before a reserve. Guards against a fleet that
// refuses an account's large requests after a restart, since the small ones took the reserve of the
// relay that was asked first (TestSmallFleetRestartBelowRate: 0.85 admitted).
func TestReserveIsLast(t *testing.T) {
	b := newSoleBox()
	b.warmUp()
	b.drain()
	x := quota.Question{Account: account.Name, Size: 200, Route: "brief", Urgent: true}
	v := b.Ask(x, b.now)
	require.True(t, v.HasReserve)
	require.False(t, v.OK)
	var asked []bool
	v, _ = b.Take(x, b.now, func(_ quota.Arbiter, x quota.Question) (quota.Answer, bool) {
		asked = append(asked, x.Last)
		return b.Ask(x, b.now), true
	})
	require.True(t, v.OK)
	require.Equal(t, []bool{false, true}, asked)

	b.drain()
	v, _ = b.Take(x, b.now, func(_ quota.Arbiter, x quota.Question) (quota.Answer, bool) { return b.Ask(x, b.now), !x.Last })
	require.False(t, v.OK)
	require.Positive(t, v.After, "the arbiter did not answer again: its caller must not return at once")
}

// Small requests do not overdraw the bucket of an account whose limit tolerates no overage. Guards
// against a reserve that comes on top of a strict limit.
func TestNoReserveWithoutTolerance(t *testing.T) {
	b := newSoleBox()
	b.Tolerance = quota.Tolerance{}
	b.pass(0)
	b.warmUp()
	b.drain()
	for i := range uint64(30) { // of the 48 ms for which the bucket is in debt
		require.False(t, b.ask("brief", 200, 100+i, 0).OK)
		b.pass(time.Millisecond)
	}
}

// An account whose routes cost about the same has no small requests. Guards against decisions that
// change where there is nothing to act on.
func TestNoReserveAmongEquals(t *testing.T) {
	b := newSoleBox()
	for i := range uint64(40) {
		b.ask([]string{"r", "s"}[i%2], 200+10*float64(i%2), i, time.Duration(1+i%2)*time.Second)
	}
	b.drain()
	b.ask("r", 200, 100, 0)
	require.False(t, b.ask("r", 200, 101, 0).OK)
}

// A request that returns early is refused and keeps its place, and no newcomer takes its tokens; when
// due it is served. Guards against callers that gain by returning often.
func TestEarlyReturn(t *testing.T) {
	b := newSoleBox()
	b.drain()
	b.pass(20 * time.Millisecond)
	first := b.ask("r", 5000, 1, 2*time.Second)
	require.True(t, first.Placed)
	due := b.now.Add(first.After)
	for i := uint64(100); b.now.Add(30 * time.Millisecond).Before(due); i++ {
		b.pass(tick)
		v := b.ask("r", 5000, 1, 2*time.Second)
		require.False(t, v.OK)
		require.Equal(t, quota.ReturnedEarly, v.Return)
		require.WithinDuration(t, due, b.now.Add(v.After), 0)
		require.False(t, b.ask("r", 10, i, 0).OK, "a newcomer")
	}
	b.pass(due.Sub(b.now))
	v := b.ask("r", 5000, 1, 2*time.Second)
	require.True(t, v.OK)
	require.Equal(t, quota.ReturnedDue, v.Return)
}

// Places are due in the order of refusal, no closer than the tokens that they hold. Guards against
// callers that are all told to return at once.
func TestReturnTimesFollowTokens(t *testing.T) {
	b := newSoleBox()
	b.drain()
	b.pass(40 * time.Millisecond)
	var after []time.Duration
	for i := range uint64(20) {
		if v := b.ask("r", 3000, i, 2*time.Second); v.Placed {
			after = append(after, v.After)
		}
	}
	require.Greater(t, len(after), 3)
	for i := 1; i < len(after); i++ {
		require.GreaterOrEqual(t, after[i]-after[i-1], 28800*time.Microsecond, "3000 tokens take 28.8 ms")
	}
}

// A caller that cannot wait until there is room gets no place, and is told the time at which there is.
// Guards against tokens that are held for callers that return too early.
func TestNoPlaceBeyondWait(t *testing.T) {
	b := newSoleBox()
	b.drain()
	b.pass(20 * time.Millisecond)
	v := b.ask("r", 200, 1, 60*time.Millisecond)
	require.False(t, v.OK || v.Placed)
	require.Greater(t, v.After, 60*time.Millisecond)
	b.pass(60 * time.Millisecond)
	require.Equal(t, quota.NotReturned, b.ask("r", 200, 1, 0).Return, "its caller waited as long as it could")
}

// A place that nobody claims is given back. Guards against tokens that nobody can use.
func TestUnclaimedPlace(t *testing.T) {
	b := newSoleBox()
	b.drain()
	b.pass(100 * time.Millisecond)
	v := b.ask("r", 50_000, 1, 2*time.Second)
	require.True(t, v.Placed)
	b.pass(v.After + 100*time.Millisecond)
	require.False(t, b.ask("r", 200, 2, 0).OK)
	b.pass(100 * time.Millisecond)
	require.True(t, b.ask("r", 200, 3, 0).OK)
}

// spendAll spends the limit of an account at all relays.
func (f *fleet) spendAll() {
	for i := range f.nodes {
		for f.ask(i, quota.Question{Account: account.Name, Size: 20_000, Urgent: true}).OK {
		}
	}
}

// A caller that returns to another box of its data centre when due is served while newcomers ask for
// whatever is left. Guards against places that are found only at the box that refused.
func TestReturnToAnotherBox(t *testing.T) {
	f := newSettledFleetWith(30, 1)
	f.spendAll()
	placed := 0
	for n := range uint64(60) {
		i := f.rng.IntN(30)
		x := quota.Question{Account: account.Name, Size: 3000, Urgent: true, Route: "r", Content: n, Wait: 2 * time.Second}
		v := f.ask(i, x)
		if !v.Placed {
			f.idle(tick)
			continue
		}
		placed++
		for due := f.now.Add(v.After); f.now.Before(due); {
			f.step()
			f.ask(f.rng.IntN(30), quota.Question{Account: account.Name, Size: 3000, Urgent: true})
		}
		v = f.ask((i+5*f.rng.IntN(6))%30, x)
		require.True(t, v.OK)
	}
	require.Greater(t, placed, 10)
}

// The places of a relay that ends are lost: its callers are treated as new by those that are left.
// Guards against answers that rest on a relay that is gone.
func TestPlacesEndWithRelay(t *testing.T) {
	f := newSettledFleetWith(30, 1)
	f.spendAll()
	x := quota.Question{Account: account.Name, Size: 3000, Urgent: true, Route: "r", Wait: 2 * time.Second}
	ask := func() (quota.Answer, quota.Arbiter) {
		return f.nodes[12].Take(x, f.now, func(a quota.Arbiter, x quota.Question) (quota.Answer, bool) {
			j := boxIndex(a)
			return f.nodes[j].Ask(x, f.now), f.reaches(12, j)
		})
	}
	v, by := ask()
	for ; !v.Placed; v, by = ask() {
		f.idle(tick)
		x.Content++
	}
	f.kill(boxIndex(by))
	f.idle(v.After)
	v, other := ask()
	require.NotEqual(t, by, other)
	require.Positive(t, v.Part, "an arbiter that is left has decided")
	require.Equal(t, quota.NotReturned, v.Return)
}

// Boxes of the version before and of this one understand each other. Guards against refusals during an
// update of the boxes.
func TestQuestionOfOtherVersion(t *testing.T) {
	type question struct {
		Account    string
		Size       float64
		DataCentre string
		Urgent     bool
	}
	type answer struct {
		OK    bool
		After time.Duration
		Level float64
		Part  float64
	}
	b := newSoleBox()
	b.drain()
	send := func(from, to any) {
		t.Helper()
		m, err := msgpack.Marshal(from)
		require.NoError(t, err)
		require.NoError(t, msgpack.Unmarshal(m, to), fmt.Sprintf("%T to %T", from, to))
	}
	var received quota.Question
	send(question{account.Name, 200, "dc", true}, &received)
	v := b.Ask(received, b.now)
	require.False(t, v.OK || v.Keeps || v.Placed)
	var old answer
	send(v, &old)
	require.Equal(t, answer{false, v.After, v.Level, v.Part}, old)

	var q question
	send(quota.Question{Account: "a", Size: 200, DataCentre: "dc", Urgent: true, Route: "r", Content: 1 << 63, Wait: time.Second, Last: true}, &q)
	require.Equal(t, question{"a", 200, "dc", true}, q)
	var w quota.Answer
	send(answer{true, time.Second, 3, 0.5}, &w)
	require.Equal(t, quota.Answer{OK: true, After: time.Second, Level: 3, Part: 0.5}, w)
}

// BenchmarkAskWithPlaces measures a question at an arbiter that keeps as many return times as it can.
func BenchmarkAskWithPlaces(b *testing.B) {
	x := newSoleBox()
	x.warmUp()
	x.drain()
	for i := range uint64(600) {
		x.ask("large", 1, 1000+i, 2*time.Second)
	}
	b.ReportAllocs()
	for b.Loop() {
		x.Ask(quota.Question{Account: account.Name, Size: 500, DataCentre: "dc", Urgent: true, Route: "large", Wait: time.Second}, x.now)
	}
}
