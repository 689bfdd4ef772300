package ratelimit_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/ratelimit"
)

// freeAddress returns a loopback address that is not in use.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// box is a box that runs the service.
type box struct {
	*ratelimit.Service
	metrics metrics.Registry
}

func start(t testing.TB, name string) *box {
	t.Helper()
	a := freeAddress(t)
	n := peer.NewNode(a, a, "secret", metrics.NewRegistry())
	b := &box{metrics: metrics.NewRegistry()}
	q := &quota.Quota{
		Tolerance:   quota.Tolerance{Window: 8 * time.Second},
		Self:        quota.Arbiter{Box: name, DataCentre: "dc", Address: a},
		Incarnation: name, Started: boottime.Now().Add(-time.Minute), Rand: rand.Float64,
	}
	b.Service = ratelimit.New(q, &endpointlimit.Rates{}, b.metrics, zerolog.Nop())
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{n, b.Service} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	return b
}

// accounts has enough entries that their first arbiters differ.
var accounts = []catalog.Account{
	{Name: "a", Rate: 900, Burst: 900},
	{Name: "b", Rate: 900, Burst: 900},
	{Name: "c", Rate: 900, Burst: 900},
	{Name: "d", Rate: 900, Burst: 900},
	{Name: "e", Rate: 900, Burst: 900},
	{Name: "f", Rate: 900, Burst: 900},
}

// setView sets the relays that a box knows in a fleet of three boxes, and the number of boxes
// that it represents. A box that represents any is a relay.
func (b *box) setView(represented int, arbiters ...quota.Arbiter) {
	boxes := map[string]int{"dc": 3}
	v := quota.View{Arbiters: arbiters, Represented: represented, Boxes: boxes, Division: quota.Division{Version: 1, Boxes: boxes}}
	b.Quota.Update(v, accounts, boottime.Now())
}

func (b *box) unanswered() int64 {
	return metrics.GetOrRegisterCounter("limit.unanswered", b.metrics).Count()
}

// An arbiter that does not answer is called once and then skipped during the cooldown, and the
// other arbiter decides.
func TestSkipsUnresponsiveArbiter(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	m.Cooldown = time.Hour
	r.setView(3, r.Quota.Self)
	gone := quota.Arbiter{Box: "gone", DataCentre: "dc", Address: freeAddress(t)}
	m.setView(0, gone, r.Quota.Self)
	for _, a := range accounts {
		x := quota.Question{Account: a.Name, Size: 0.001, Urgent: true}
		require.Eventually(t, func() bool {
			v, by := m.Take(t.Context(), x)
			return v.OK && by == r.Quota.Self
		}, 30*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 1, m.unanswered())
}

// If no arbiter answers, the request is refused with a retry time and no arbiter is named.
func TestNoArbiterAnswers(t *testing.T) {
	m := start(t, "member")
	m.setView(0, quota.Arbiter{Box: "gone", DataCentre: "dc", Address: freeAddress(t)})
	v, by := m.Take(t.Context(), quota.Question{Account: "a", Size: 1})
	require.False(t, v.OK)
	require.Positive(t, v.After)
	require.Empty(t, by.Box)
}

// Early returns and the use of the reserve are counted at the box that asks. Guards against a reserve and
// return times that act unseen.
func TestCountsReturns(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	r.Quota.Reserve, r.Quota.ReturnTimes, r.Quota.Slack = true, true, 600
	r.setView(3, r.Quota.Self)
	m.setView(0, r.Quota.Self)
	x := quota.Question{Account: "a", Size: 6000, Urgent: true, Route: "large", Wait: 10 * time.Second}
	require.Eventually(t, func() bool { // the first one leaves a debt of six seconds
		v, _ := m.Take(t.Context(), x)
		return v.OK
	}, 30*time.Second, time.Millisecond)
	for x.Content = range uint64(12) {
		m.Take(t.Context(), x)
	}
	m.Take(t.Context(), x)
	m.Take(t.Context(), quota.Question{Account: "a", Size: 0.1, Urgent: true, Route: "small"})
	for _, name := range []string{"limit.returned_early", "limit.from_reserve"} {
		require.Positive(t, metrics.GetOrRegisterCounter(name, m.metrics).Count(), name)
	}
}

// An arbiter is not asked again after two others took their time-outs: the refusal names a delay without
// a place. Guards against refusals that come later than 60 ms for the sake of a return time.
func TestNoSecondQuestionWhenLate(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	r.Quota.ReturnTimes = true
	r.setView(3, r.Quota.Self)
	m.setView(0, r.Quota.Self)
	x := quota.Question{Account: "a", Size: 6000, Urgent: true, Route: "large", Wait: 10 * time.Second}
	require.Eventually(t, func() bool {
		v, _ := m.Take(t.Context(), x)
		return v.OK
	}, 30*time.Second, time.Millisecond)
	silent := func(name string) quota.Arbiter {
		a := freeAddress(t)
		n := peer.NewNode(a, a, "secret", metrics.NewRegistry())
		peer.Handle(n.Server, "limit.ask", func(c context.Context, _ quota.Question) (quota.Answer, error) {
			<-c.Done()
			return quota.Answer{}, c.Err()
		})
		require.NoError(t, n.Start(t.Context(), &kernel.Kernel{}))
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
		return quota.Arbiter{Box: name, DataCentre: "dc", Address: a}
	}
	m.setView(0, silent("s"), silent("t"), r.Quota.Self)
	v, by := m.Take(t.Context(), x)
	require.EqualValues(t, 2, m.unanswered())
	require.Equal(t, r.Quota.Self, by)
	require.False(t, v.OK)
	require.True(t, v.Keeps)
	require.Positive(t, v.After)
	v, _ = m.Take(t.Context(), x)
	require.Equal(t, quota.NotReturned, v.Return, "the first refusal left no return time")
}

// A call that the caller cancels does not mark the arbiter as unresponsive.
func TestCancelledCallerNotCounted(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	m.setView(0, r.Quota.Self)
	c, cancel := context.WithCancel(t.Context())
	cancel()
	m.Take(c, quota.Question{Account: "a", Size: 1})
	require.Zero(t, m.unanswered())
}

// BenchmarkTake measures a call to another box over loopback: about 98 µs of both processes
// together, compared with 0.2 µs for a decision from a share held locally.
func BenchmarkTake(b *testing.B) {
	m, r := start(b, "member"), start(b, "relay")
	r.setView(3, r.Quota.Self)
	m.setView(0, r.Quota.Self)
	for b.Loop() {
		m.Take(b.Context(), quota.Question{Account: "a"})
	}
}
