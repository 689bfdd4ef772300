package endpointlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func limited(perSecond float64) endpoint.Limit {
	return endpoint.Limit{Limited: true, PerSecond: perSecond}
}

func ExampleRates() {
	var a, b endpointlimit.Rates
	s, urgent := a.Observe("i-1", endpoint.Limit{Limited: true, PerSecond: 1.5}, epoch)
	fmt.Println(s.PerSecond, urgent)
	b.Merge(a.Report(b.Sum(), at(time.Second)).Words, at(time.Second))
	l, age := b.Limit("i-1", at(2*time.Second))
	fmt.Println(l.PerSecond, age)
	// Output:
	// 1.5 true
	// 1.5 2s
}

// A limit that is new, has dropped or is removed is urgent. Other changes wait for a gossip round.
func TestObserveReportsUrgentChanges(t *testing.T) {
	var r endpointlimit.Rates
	for i, x := range []struct {
		offset time.Duration
		limit  endpoint.Limit
		urgent bool
	}{
		{0, endpoint.Limit{}, false},
		{0, limited(10), true},
		{time.Second, limited(10), false},
		{time.Second, limited(20), false},
		{time.Second, limited(19), false},
		{time.Second, limited(5), true},
		{2 * time.Second, endpoint.Limit{}, false},
		{3 * time.Second, endpoint.Limit{}, true},
		{3 * time.Second, endpoint.Limit{}, false},
		{4 * time.Second, limited(5), true},
	} {
		_, urgent := r.Observe("e", x.limit, at(x.offset))
		require.Equal(t, x.urgent, urgent, i)
	}
}

// An answer without a limit removes the limit only if no answer has carried it for limitTTL, since
// not every answer may carry it.
func TestLimitExpires(t *testing.T) {
	var r endpointlimit.Rates
	r.Observe("e", limited(1), epoch)
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		r.Observe("e", endpoint.Limit{}, at(d))
		if d%time.Second == 0 {
			r.Observe("e", limited(1), at(d))
		}
		require.Equal(t, 1, r.Len())
	}
	r.Observe("e", endpoint.Limit{}, at(12*time.Second))
	require.Zero(t, r.Len())
}

// The newest statement counts, whatever the order of arrival, and an older one does not restore a
// limit that was removed.
func TestMergeOrder(t *testing.T) {
	statements := []endpointlimit.Statement{
		{Incarnation: "e", Limited: true, PerSecond: 1, Age: 4 * time.Second},
		{Incarnation: "e", Limited: true, PerSecond: 2, Age: 3 * time.Second},
		{Incarnation: "e", Age: time.Second},
	}
	for seed := range uint64(20) {
		var r endpointlimit.Rates
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(statements)) {
			r.Merge(statements[i:i+1], epoch)
		}
		l, _ := r.Limit("e", epoch)
		require.False(t, l.Limited)
	}
	var r endpointlimit.Rates
	require.Len(t, r.Merge(statements[:1], epoch), 1)
	require.Empty(t, r.Merge(statements[:2], epoch))
	l, age := r.Limit("e", epoch)
	require.Equal(t, limited(2), l)
	require.Equal(t, 3*time.Second, age)
	require.Empty(t, r.Merge([]endpointlimit.Statement{{Incarnation: "other", Age: time.Minute}}, epoch))
}

// A box with a different set of limited endpoints gets all statements, and one with the same set
// gets the recent ones. The size of a report is bounded.
func TestReport(t *testing.T) {
	var r, other endpointlimit.Rates
	for i := range 100 {
		r.Observe(fmt.Sprint("e", i), limited(1), at(time.Duration(i)*100*time.Millisecond))
	}
	now := at(10 * time.Second)
	require.Len(t, r.Report(0, now).Words, 100)
	require.Len(t, r.Report(r.Sum(), now).Words, 11)
	other.Merge(r.Report(other.Sum(), now).Words, now)
	require.Equal(t, r.Sum(), other.Sum())
	require.Zero(t, (&endpointlimit.Rates{}).Sum())
	for i := range 1000 {
		r.Observe(fmt.Sprint("f", i), limited(1), now)
	}
	require.Len(t, r.Report(0, now).Words, 128)
}

// Forget drops endpoints that are unknown and limits that were removed long ago.
func TestForget(t *testing.T) {
	var r endpointlimit.Rates
	for _, e := range []string{"a", "b", "c"} {
		r.Observe(e, limited(1), epoch)
	}
	r.Observe("c", endpoint.Limit{}, at(3*time.Second))
	r.Forget(func(e string) bool { return e != "a" }, at(20*time.Second))
	require.Equal(t, 1, r.Len())
	statements := r.Report(0, at(20*time.Second)).Words
	require.Len(t, statements, 1)
	require.Equal(t, "b", statements[0].Incarnation)
}

// A report survives encoding, and one statement takes at most 64 bytes on the wire.
func TestEncoding(t *testing.T) {
	in := endpointlimit.Report{Sum: 7, Words: []endpointlimit.Statement{{Incarnation: "e/1", Limited: true, PerSecond: 0.3, Age: time.Second}}}
	b, err := msgpack.Marshal(in)
	require.NoError(t, err)
	var out endpointlimit.Report
	require.NoError(t, msgpack.Unmarshal(b, &out))
	require.Equal(t, in, out)
	require.LessOrEqual(t, len(b), 64)
}
