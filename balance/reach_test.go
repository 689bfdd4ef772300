package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/estimate"
)

// learnt returns a book that knows its endpoints: 30 ms and 100,000 tokens a second.
func learnt() (*balance.Book, time.Time) {
	b := &balance.Book{}
	now := time.Unix(1000, 0)
	for i := range 300 {
		l := estimate.Load{Prefill: 100 * (i % 200), RemoteQueued: 50 * (i % 30)}
		b.Model("s").Observe(l, 30*time.Millisecond+time.Duration(l.Prefill+l.RemoteQueued)*10*time.Microsecond, time.Second, now)
	}
	return b, now
}

// The longer a prompt keeps others waiting, the more boxes are told of it.
func TestReach(t *testing.T) {
	b, now := learnt()
	for tokens, want := range map[int]balance.Reach{
		0: balance.ToNone, 500: balance.ToNone, 2000: balance.ToNear, 9000: balance.ToNear, 15_000: balance.ToAll,
	} {
		require.Equal(t, want, b.Reach("s", tokens, now), "%d tokens", tokens)
	}
}

// What choices know of others' prompts follows from how many boxes tell of which, and
// from how much of what is sent is in very long prompts.
func TestBlind(t *testing.T) {
	b, now := learnt()
	b.Tell(nil, 70, now)
	b.Peers(20, 50)
	require.InDelta(t, 5.0/7, b.Blind(), 1e-9)
	for range 30 {
		b.Reach("s", 5000, now)
		b.Reach("s", 15_000, now)
	}
	require.InDelta(t, 1-(20+0.75*50)/70, b.Blind(), 1e-9)
}

// Where 197 boxes are nearby each was sent a datagram for nearly every prompt of the data centre,
// 88 a second: what a box hears follows the fleet. Only prompts that keep others waiting for longer
// are told there, and what choices know of others' prompts is less by the others.
func TestReachWithManyNearby(t *testing.T) {
	b, now := learnt()
	b.Tell(nil, 984, now)
	b.Peers(196, 0)
	for range 30 {
		require.Equal(t, balance.ToNone, b.Reach("s", 5000, now))
		require.Equal(t, balance.ToNear, b.Reach("s", 10_000, now))
	}
	require.InDelta(t, 1-2.0/3*196/984, b.Blind(), 1e-9)
}
