package backoff_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/backoff"
)

var now = time.Unix(1_000_000, 0)

func identity(name string) string { return name }

func ExampleBackOffs() {
	var r backoff.BackOffs
	r.Extend("a", 3*time.Second, now)
	r.Extend("b", time.Second, now)
	fmt.Println(r.Remaining("a", now), backoff.MinRemaining(&r, []string{"a", "b"}, identity, now))
	fmt.Println(r.Remaining("b", now.Add(time.Second)))
	// Output:
	// 3s 1s
	// 0s
}

// Invalid and negative numbers of seconds are ignored, and a date is relative to the Date header.
func TestParseRetryAfter(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "": 0,
		"1e30": backoff.MaxBackOff, "+Inf": backoff.MaxBackOff, "Thu, 01 Jan 2026 00:00:07 GMT": 7 * time.Second,
		"Wed, 31 Dec 2025 00:00:00 GMT": 0, "Sat, 01 Jan 2028 00:00:00 GMT": backoff.MaxBackOff,
	} {
		require.Equal(t, want, backoff.ParseRetryAfter(http.Header{"Retry-After": {v}, "Date": {"Thu, 01 Jan 2026 00:00:00 GMT"}}), v)
	}
	require.Zero(t, backoff.ParseRetryAfter(http.Header{"Retry-After": {"Thu, 01 Jan 2026 00:00:07 GMT"}}))
}

// FuzzParseRetryAfter checks that the result is never negative or longer than MaxBackOff.
func FuzzParseRetryAfter(f *testing.F) {
	f.Add("3", "")
	f.Add("-0x1p-2", "Thu, 01 Jan 2026 00:00:00 GMT")
	f.Fuzz(func(t *testing.T, after, date string) {
		d := backoff.ParseRetryAfter(http.Header{"Retry-After": {after}, "Date": {date}})
		require.GreaterOrEqual(t, d, time.Duration(0))
		require.LessOrEqual(t, d, backoff.MaxBackOff)
	})
}

func TestExtend(t *testing.T) {
	var r backoff.BackOffs
	require.True(t, r.IsEmpty(now))
	r.Extend("a", 0, now)
	require.True(t, r.IsEmpty(now))
	r.Extend("a", 3*time.Second, now)
	r.Extend("a", time.Second, now)
	require.False(t, r.IsEmpty(now))
	require.Equal(t, 3*time.Second, r.Remaining("a", now))
	require.Equal(t, 1, r.Len(now))
	require.Zero(t, backoff.MinRemaining(&r, []string{"a", "b"}, identity, now))
	require.Zero(t, backoff.MinRemaining(&r, nil, identity, now))
	end := now.Add(3 * time.Second)
	require.Equal(t, time.Nanosecond, r.Remaining("a", end.Add(-1)))
	require.Zero(t, r.Remaining("a", end))
	require.Zero(t, r.Len(end))
	require.True(t, r.IsEmpty(end))
}
