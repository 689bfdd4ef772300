package rest_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/rest"
)

var now = time.Unix(1_000_000, 0)

func itself(name string) string { return name }

func ExampleRests() {
	var r rest.Rests
	r.Ask("a", 3*time.Second, now)
	r.Ask("b", time.Second, now)
	fmt.Println(r.Left("a", now), rest.First(&r, []string{"a", "b"}, itself, now))
	fmt.Println(r.Left("b", now.Add(time.Second)))
	// Output:
	// 3s 1s
	// 0s
}

// A number of seconds that is none asks for nothing, and a date counts by the clock of who asks.
func TestOf(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "": 0,
		"1e30": rest.Longest, "+Inf": rest.Longest, "Thu, 01 Jan 2026 00:00:07 GMT": 7 * time.Second,
		"Wed, 31 Dec 2025 00:00:00 GMT": 0, "Sat, 01 Jan 2028 00:00:00 GMT": rest.Longest,
	} {
		require.Equal(t, want, rest.Of(http.Header{"Retry-After": {v}, "Date": {"Thu, 01 Jan 2026 00:00:00 GMT"}}), v)
	}
	require.Zero(t, rest.Of(http.Header{"Retry-After": {"Thu, 01 Jan 2026 00:00:07 GMT"}}))
}

// FuzzOf holds that no head gives a rest that is negative or longer than any that is believed.
func FuzzOf(f *testing.F) {
	f.Add("3", "")
	f.Add("-0x1p-2", "Thu, 01 Jan 2026 00:00:00 GMT")
	f.Fuzz(func(t *testing.T, after, date string) {
		d := rest.Of(http.Header{"Retry-After": {after}, "Date": {date}})
		require.GreaterOrEqual(t, d, time.Duration(0))
		require.LessOrEqual(t, d, rest.Longest)
	})
}

func TestAsk(t *testing.T) {
	var r rest.Rests
	require.True(t, r.None(now))
	r.Ask("a", 0, now)
	require.True(t, r.None(now))
	r.Ask("a", 3*time.Second, now)
	r.Ask("a", time.Second, now)
	require.False(t, r.None(now))
	require.Equal(t, 3*time.Second, r.Left("a", now))
	require.Equal(t, 1, r.Len(now))
	require.Zero(t, rest.First(&r, []string{"a", "b"}, itself, now))
	require.Zero(t, rest.First(&r, nil, itself, now))
	end := now.Add(3 * time.Second)
	require.Equal(t, time.Nanosecond, r.Left("a", end.Add(-1)))
	require.Zero(t, r.Left("a", end))
	require.Zero(t, r.Len(end))
	require.True(t, r.None(end))
}
