package returntime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/returntime"
)

var now = time.Unix(1000, 0)

func key(content uint64) returntime.Key {
	return returntime.Key{Route: "r", Size: 100, Content: content}
}

// A place holds the tokens of its request for those behind it, until it is removed or was not claimed
// in time. Guards against tokens that are promised twice, and against callers that do not return and
// hold tokens for ever.
func TestPlaces(t *testing.T) {
	l := &returntime.Line{}
	l.Add(key(1), now.Add(100*time.Millisecond))
	l.Add(key(2), now.Add(200*time.Millisecond))
	i, due, ahead := l.Find(key(2))
	require.Equal(t, 1, i)
	require.Equal(t, now.Add(200*time.Millisecond), due)
	require.InDelta(t, 100, ahead, 0)
	i, _, ahead = l.Find(key(3))
	require.Equal(t, -1, i)
	require.InDelta(t, 200, ahead, 0)

	l.Expire(now.Add(100*time.Millisecond + returntime.ClaimWithin))
	_, _, ahead = l.Find(key(2))
	require.InDelta(t, 100, ahead, 0, "a place can be claimed for ClaimWithin")
	l.Expire(now.Add(101*time.Millisecond + returntime.ClaimWithin))
	i, _, ahead = l.Find(key(2))
	require.Zero(t, i)
	require.Zero(t, ahead)
	l.Remove(i)
	_, _, ahead = l.Find(key(2))
	require.Zero(t, ahead)
}

// A request of another route or size does not take a place. Guards against a small request that is
// admitted with the tokens of a large one.
func TestKeysDiffer(t *testing.T) {
	l := &returntime.Line{}
	l.Add(key(1), now)
	for _, k := range []returntime.Key{{Route: "r", Size: 99, Content: 1}, {Route: "s", Size: 100, Content: 1}} {
		i, _, _ := l.Find(k)
		require.Equal(t, -1, i)
	}
}

// A request without a place is remembered until it may return, and not for longer. Guards against a
// caller that follows its return time and is taken for one that returns early.
func TestTold(t *testing.T) {
	l := &returntime.Line{}
	l.Tell(key(1), now.Add(time.Second), now)
	due, ok := l.Told(key(1), now)
	require.True(t, ok)
	require.Equal(t, now.Add(time.Second), due)
	_, ok = l.Told(key(1), now.Add(time.Second-returntime.RoundingError))
	require.False(t, ok)
}

// What a line remembers is bounded. Guards against an account that makes a box store its refusals.
func TestBounds(t *testing.T) {
	l := &returntime.Line{}
	n := uint64(0)
	for ; !l.Full(); n++ {
		l.Add(key(n), now)
	}
	require.EqualValues(t, 128, n)
	for i := range uint64(1000) {
		l.Tell(key(i), now.Add(time.Second), now)
	}
	_, ok := l.Told(key(999), now)
	require.False(t, ok)
	later := now.Add(2 * time.Second)
	l.Tell(key(999), later.Add(time.Second), later)
	_, ok = l.Told(key(999), later)
	require.True(t, ok, "those that may return have made room")
}
