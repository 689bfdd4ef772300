package stream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
