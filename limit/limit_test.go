package limit_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/limit"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/stated"
)

func address(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// box is one box with the service.
type box struct {
	*limit.Limit
	metrics metrics.Registry
}

func start(t testing.TB, name string) *box {
	t.Helper()
	a := address(t)
	n := peer.NewNode(a, a, "secret", metrics.NewRegistry())
	b := &box{metrics: metrics.NewRegistry()}
	q := &quota.Quota{
		Terms:       quota.Terms{Window: 8 * time.Second},
		Self:        quota.Arbiter{Box: name, DataCentre: "dc", Address: a},
		Incarnation: name, Started: time.Now().Add(-time.Minute), Chance: rand.Float64,
	}
	b.Limit = limit.New(q, &stated.Rates{}, b.metrics, zerolog.Nop())
	k := &kernel.Kernel{}
	for _, s := range []kernel.Service{n, b.Limit} {
		require.NoError(t, k.Add(s))
		require.NoError(t, s.Start(t.Context(), k))
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	return b
}

// accounts have different relays that are asked first.
var accounts = []catalog.Account{
	{Name: "a", Rate: 900, Burst: 900},
	{Name: "b", Rate: 900, Burst: 900},
	{Name: "c", Rate: 900, Burst: 900},
	{Name: "d", Rate: 900, Burst: 900},
	{Name: "e", Rate: 900, Burst: 900},
	{Name: "f", Rate: 900, Burst: 900},
}

// knows tells a box of the relays, and of how many boxes there are; one that counts
// somebody is a relay.
func (b *box) knows(counted int, among ...quota.Arbiter) {
	boxes := map[string]int{"dc": 3}
	v := quota.View{Arbiters: among, Represented: counted, Boxes: boxes, Division: quota.Division{Version: 1, Boxes: boxes}}
	b.Quota.Update(v, accounts, time.Now())
}

func (b *box) unanswered() int64 {
	return metrics.GetOrRegisterCounter("limit.unanswered", b.metrics).Count()
}

// A member asks the relays. One that does not answer is not asked again at once, and
// the other's answer counts.
func TestAsksAnother(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	m.Doubt = time.Hour
	r.knows(3, r.Quota.Self)
	gone := quota.Arbiter{Box: "gone", DataCentre: "dc", Address: address(t)}
	m.knows(0, gone, r.Quota.Self)
	for _, a := range accounts {
		x := quota.Question{Account: a.Name, Size: 0.001, Urgent: true}
		require.Eventually(t, func() bool {
			v, by := m.Take(t.Context(), x)
			return v.OK && by == r.Quota.Self
		}, 30*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 1, m.unanswered())
}

// Where nobody answers, the caller is told when to come back, and no box is named.
func TestNobodyAnswers(t *testing.T) {
	m := start(t, "member")
	m.knows(0, quota.Arbiter{Box: "gone", DataCentre: "dc", Address: address(t)})
	v, by := m.Take(t.Context(), quota.Question{Account: "a", Size: 1})
	require.False(t, v.OK)
	require.Positive(t, v.After)
	require.Empty(t, by.Box)
}

// A caller that leaves says nothing of the box that was asked.
func TestCallerLeaves(t *testing.T) {
	m, r := start(t, "member"), start(t, "relay")
	m.knows(0, r.Quota.Self)
	c, cancel := context.WithCancel(t.Context())
	cancel()
	m.Take(c, quota.Question{Account: "a", Size: 1})
	require.Zero(t, m.unanswered())
}

// BenchmarkTake is a question to another box over loopback, about 98 µs at both ends
// together; spending a share of what others told took 0.2.
func BenchmarkTake(b *testing.B) {
	m, r := start(b, "member"), start(b, "relay")
	r.knows(3, r.Quota.Self)
	m.knows(0, r.Quota.Self)
	for b.Loop() {
		m.Take(b.Context(), quota.Question{Account: "a"})
	}
}
