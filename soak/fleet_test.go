package soak_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/soak"
)

// The addresses of a box differ.
func TestFreeAddresses(t *testing.T) {
	for range 2000 {
		a, err := soak.FreeAddresses("127.0.1.1", 3)
		require.NoError(t, err)
		require.NotEqual(t, a[0], a[1])
		require.NotEqual(t, a[0], a[2])
		require.NotEqual(t, a[1], a[2])
	}
}

// A box that has been told to stop may cut requests in the last sixth of its limit of 5 s, unless their last byte was sent later than 3 s after
// the first signal.
func TestMayCut(t *testing.T) {
	b := &soak.Box{}
	now := time.Now()
	require.False(t, b.MayCut(now, now.Add(4500*time.Millisecond)))
	b.Signal(syscall.SIGTERM)
	at := func(sent, cut time.Duration) bool { return b.MayCut(now.Add(sent), now.Add(cut)) }
	require.True(t, at(-time.Second, 4500*time.Millisecond))
	require.True(t, at(2900*time.Millisecond, 4500*time.Millisecond))
	b.Signal(syscall.SIGTERM)
	require.Len(t, b.Termed(), 1)
	require.False(t, at(3500*time.Millisecond, 4500*time.Millisecond))
	require.False(t, at(-time.Second, 4*time.Second))
	require.False(t, at(-time.Second, 8*time.Second))
}

// A release goes on to servers that have left meanwhile.
func TestReplaceServerThatHasLeft(t *testing.T) {
	require.NoError(t, (&soak.Fleet{}).Drain(0))
	require.NoError(t, (&soak.Fleet{}).DrainByAnswer(7))
}
