package liveness_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/liveness"
)

// closePeriod is the time after which an answer on any connection counts.
const closePeriod = 50 * time.Millisecond

func ExampleProber() {
	var p liveness.Prober
	ended := boottime.Now() // a connection was closed
	f := p.Outlives(context.Background(), "i-1", ended, func(context.Context) error { return nil })
	fmt.Println(f.Outlived, f.Reason)
	f = p.Outlives(context.Background(), "i-2", ended, func(context.Context) error { return errors.New("connection refused") })
	fmt.Println(f.Outlived, f.Err)
	// Output:
	// true asked
	// false connection refused
}

// An answer to a request that was sent before the moment may have been sent before it as well.
func TestEarlierAnswersVouchForLaterMoments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p liveness.Prober
		sent := boottime.Now()
		time.Sleep(time.Millisecond)
		moment := boottime.Now()
		p.RecordAnswer("i-1", sent)
		f := p.Outlives(t.Context(), "i-1", moment, nil)
		require.False(t, f.Outlived)
		require.Equal(t, liveness.Unanswered, f.Reason)
		p.RecordAnswer("i-1", moment.Add(closePeriod-1)) // it may have been answered while connections were closed
		p.RecordAnswer("i-2", moment.Add(closePeriod))
		require.False(t, p.Outlives(t.Context(), "i-1", moment, nil).Outlived)
		p.RecordAnswer("i-1", moment.Add(closePeriod))
		p.RecordAnswer("i-1", sent) // later in the order of their arrival
		require.Equal(t, liveness.Finding{Outlived: true, Reason: liveness.Answered}, p.Outlives(t.Context(), "i-1", moment, nil))
	})
}

// A question that was under way at the moment says nothing of it: those who ask later share another one.
func TestQuestionsVouchForLaterMoments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p liveness.Prober
		var asked atomic.Int32
		ask := func(context.Context) error {
			time.Sleep(10 * time.Millisecond)
			if asked.Add(1) > 1 {
				return errors.New("connection refused")
			}
			return nil
		}
		findings := make(chan liveness.Finding, 4)
		first := make(chan liveness.Finding, 1)
		go func() { first <- p.Outlives(t.Context(), "i-1", boottime.Now(), ask) }()
		time.Sleep(5 * time.Millisecond)
		for range cap(findings) {
			go func() { findings <- p.Outlives(t.Context(), "i-1", boottime.Now(), ask) }()
		}
		require.True(t, (<-first).Outlived)
		for range cap(findings) {
			require.False(t, (<-findings).Outlived)
		}
		require.EqualValues(t, 2, asked.Load())
	})
}

// A question may wait for room at the endpoint, while a request that was sent after the moment is answered.
func TestAnswersAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p liveness.Prober
		moment := boottime.Now()
		mute := func(c context.Context) error {
			<-c.Done()
			return context.Cause(c)
		}
		go func() {
			time.Sleep(closePeriod + 20*time.Millisecond)
			p.RecordAnswer("i-1", moment.Add(closePeriod))
		}()
		f := p.Outlives(t.Context(), "i-1", moment, mute)
		require.Equal(t, liveness.Finding{Outlived: true, Reason: liveness.Answered}, f)
		require.Equal(t, closePeriod+20*time.Millisecond, time.Since(moment))

		c, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		f = p.Outlives(c, "i-2", moment, mute)
		require.Equal(t, liveness.Cancelled, f.Reason)
		f = p.Outlives(t.Context(), "i-2", moment, mute)
		require.Equal(t, liveness.Unanswered, f.Reason)
		require.ErrorContains(t, f.Err, "no answer within 5s")
		time.Sleep(5 * time.Second) // the first question of i-1 ends
	})
}

// The one who asks may leave while others wait for the same answer.
func TestSharedQuestionEndsWithItsFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p liveness.Prober
		ask := func(c context.Context) error {
			select {
			case <-time.After(10 * time.Millisecond):
				return nil
			case <-c.Done():
				return c.Err()
			}
		}
		moment := boottime.Now()
		first, leave := context.WithTimeout(t.Context(), time.Millisecond)
		defer leave()
		findings := make(chan liveness.Finding, 2)
		go func() { findings <- p.Outlives(first, "i-1", moment, ask) }()
		synctest.Wait()
		go func() { findings <- p.Outlives(t.Context(), "i-1", moment, ask) }()
		require.Equal(t, liveness.Cancelled, (<-findings).Reason)
		require.Equal(t, liveness.Finding{Outlived: true, Reason: liveness.Asked}, <-findings)
	})
}
