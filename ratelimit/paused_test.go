package ratelimit_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/throttle"
)

// Guards against a box that skips arbiters because it was paused itself while it waited for their answers, and gets no permits for
// an endpoint for a second, although all arbiters answer.
func TestOwnPauseMakesNoArbiterUnresponsive(t *testing.T) {
	m := start(t, "member")
	var isPaused atomic.Bool
	isPaused.Store(true)
	arbiter := func(name string) quota.Arbiter {
		a := freeAddress(t)
		n := peer.NewNode(a, a, "secret", metrics.NewRegistry())
		peer.Handle(n.Server, "limit.permit", func(c context.Context, _ throttle.Question) (throttle.Answer, error) {
			if isPaused.Load() {
				<-c.Done()
				return throttle.Answer{}, c.Err()
			}
			return throttle.Answer{OK: true, Part: 1}, nil
		})
		require.NoError(t, n.Start(t.Context(), &kernel.Kernel{}))
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
		return quota.Arbiter{Box: name, DataCentre: "dc", Address: a}
	}
	m.setView(0, arbiter("s"), arbiter("t"))
	x := throttle.Question{Endpoint: "e", PerSecond: 1}
	done := make(chan bool)
	go func() { done <- m.Permit(t.Context(), x).OK }()
	for isPaused.Load() {
		select {
		case isPermitted := <-done:
			require.False(t, isPermitted)
			isPaused.Store(false)
		default:
			boottime.SimulateSuspension(time.Second)
			runtime.Gosched()
		}
	}
	require.Zero(t, m.unanswered())
	require.Eventually(t, func() bool { return m.Permit(t.Context(), x).OK }, 20*time.Second, time.Millisecond)
}
