package stated_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/stated"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func named(perSecond float64) endpoint.Limit {
	return endpoint.Limit{Named: true, PerSecond: perSecond}
}

func ExampleRates() {
	var a, b stated.Rates
	w, news := a.Say("i-1", endpoint.Limit{Named: true, PerSecond: 1.5}, epoch)
	fmt.Println(w.PerSecond, news)
	b.Hear(a.Report(b.Sum(), at(time.Second)).Words, at(time.Second))
	l, age := b.Limit("i-1", at(2*time.Second))
	fmt.Println(l.PerSecond, age)
	// Output:
	// 1.5 true
	// 1.5 2s
}

// Others are told at once of a limit that is new, has fallen or has ended; of the rest in rounds.
func TestNews(t *testing.T) {
	var r stated.Rates
	for i, x := range []struct {
		after time.Duration
		limit endpoint.Limit
		news  bool
	}{
		{0, endpoint.Limit{}, false},
		{0, named(10), true},
		{time.Second, named(10), false},
		{time.Second, named(20), false},
		{time.Second, named(19), false},
		{time.Second, named(5), true},
		{2 * time.Second, endpoint.Limit{}, false},
		{3 * time.Second, endpoint.Limit{}, true},
		{3 * time.Second, endpoint.Limit{}, false},
		{4 * time.Second, named(5), true},
	} {
		_, news := r.Say("e", x.limit, at(x.after))
		require.Equal(t, x.news, news, i)
	}
}

// Answers without a limit end one only when none has named it for a while: not each may name it.
func TestEnds(t *testing.T) {
	var r stated.Rates
	r.Say("e", named(1), epoch)
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		r.Say("e", endpoint.Limit{}, at(d))
		if d%time.Second == 0 {
			r.Say("e", named(1), at(d))
		}
		require.Equal(t, 1, r.Len())
	}
	r.Say("e", endpoint.Limit{}, at(12*time.Second))
	require.Zero(t, r.Len())
}

// The newest word counts, in whatever order words come, and an old one does not bring back what
// has ended.
func TestOrderOfWords(t *testing.T) {
	words := []stated.Word{
		{Incarnation: "e", Named: true, PerSecond: 1, Age: 4 * time.Second},
		{Incarnation: "e", Named: true, PerSecond: 2, Age: 3 * time.Second},
		{Incarnation: "e", Age: time.Second},
	}
	for seed := range uint64(20) {
		var r stated.Rates
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(words)) {
			r.Hear(words[i:i+1], epoch)
		}
		l, _ := r.Limit("e", epoch)
		require.False(t, l.Named)
	}
	var r stated.Rates
	require.Len(t, r.Hear(words[:1], epoch), 1)
	require.Empty(t, r.Hear(words[:2], epoch))
	l, age := r.Limit("e", epoch)
	require.Equal(t, named(2), l)
	require.Equal(t, 3*time.Second, age)
	require.Empty(t, r.Hear([]stated.Word{{Incarnation: "other", Age: time.Minute}}, epoch))
}

// A box that has other endpoints with a limit is told of all; one that has the same, of what was
// heard lately. A message is bounded.
func TestReport(t *testing.T) {
	var r, other stated.Rates
	for i := range 100 {
		r.Say(fmt.Sprint("e", i), named(1), at(time.Duration(i)*100*time.Millisecond))
	}
	now := at(10 * time.Second)
	require.Len(t, r.Report(0, now).Words, 100)
	require.Len(t, r.Report(r.Sum(), now).Words, 11)
	other.Hear(r.Report(other.Sum(), now).Words, now)
	require.Equal(t, r.Sum(), other.Sum())
	require.Zero(t, (&stated.Rates{}).Sum())
	for i := range 1000 {
		r.Say(fmt.Sprint("f", i), named(1), now)
	}
	require.Len(t, r.Report(0, now).Words, 128)
}

// Endpoints that are gone are forgotten, and limits that ended.
func TestForget(t *testing.T) {
	var r stated.Rates
	for _, e := range []string{"a", "b", "c"} {
		r.Say(e, named(1), epoch)
	}
	r.Say("c", endpoint.Limit{}, at(3*time.Second))
	r.Forget(func(e string) bool { return e != "a" }, at(20*time.Second))
	require.Equal(t, 1, r.Len())
	words := r.Report(0, at(20*time.Second)).Words
	require.Len(t, words, 1)
	require.Equal(t, "b", words[0].Incarnation)
}

// A word goes between boxes as it is.
func TestEncoding(t *testing.T) {
	in := stated.Report{Sum: 7, Words: []stated.Word{{Incarnation: "e/1", Named: true, PerSecond: 0.3, Age: time.Second}}}
	b, err := msgpack.Marshal(in)
	require.NoError(t, err)
	var out stated.Report
	require.NoError(t, msgpack.Unmarshal(b, &out))
	require.Equal(t, in, out)
	require.LessOrEqual(t, len(b), 64)
}
