package stream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/reclaim"
)

// Guards against streams that wait for an endpoint and are not handed over when their box stops.
func TestWaitingStreamIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStream(Request{ID: "s", MaxTokens: 9})
		r := newRun(&Service{follower: &configsync.Follower{}, decisions: decisions.New("b", zerolog.Nop())}, s)
		go func() {
			time.Sleep(time.Second)
			s.moveRequests <- moveRequest{box: "other", move: reclaim.Move{ID: "s"}}
			s.moveRequests <- moveRequest{peer: member.Member{Box: "p", Address: "a"}}
		}()
		began := time.Now()
		c, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		e, _ := r.awaitEndpoint(c, errkind.New(errkind.NoEndpoint, "none"))
		require.Equal(t, moveRequested, e)
		require.Equal(t, "p", r.pending.peer.Box)
		require.Equal(t, time.Second, time.Since(began))
	})
}

// Guards against streams that begin on a box after it has handed its streams over: no other box has them.
func TestNoStreamBeginsAfterHandOver(t *testing.T) {
	k := New("", 1, metrics.NewRegistry(), zerolog.Nop())
	k.members, k.base = member.New("b", "dc", nil, zerolog.Nop()), t.Context()
	require.Zero(t, k.HandOver())
	s := k.Run(Request{ID: "s", MaxTokens: 9})
	require.True(t, errkind.Is(s.Wait(t.Context()), errkind.Stopping))
	require.Zero(t, k.Live())
	require.True(t, errkind.Is(context.Cause(k.HandedOver()), errkind.Stopping))
}

// Guards against requests of other data centres that begin on a box that stops: their streams can't be handed over.
func TestNoRelayBeginsWhileStopping(t *testing.T) {
	k := New("", 1, metrics.NewRegistry(), zerolog.Nop())
	k.Drain()
	_, err := k.startRelayed(relayRequest{})
	require.True(t, errkind.Is(err, errkind.Stopping))
}

// Guards against streams that stay on a box that stops, since they have just been asked to move to another endpoint.
func TestHandoverReplacesMove(t *testing.T) {
	s := newStream(Request{})
	s.moveRequests <- moveRequest{box: "e"}
	s.handOverTo(member.Member{Box: "p", Address: "a"})
	require.Equal(t, "p", (<-s.moveRequests).peer.Box)
}
