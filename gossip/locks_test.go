package gossip

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
)

// A relay reports suspects while the quarantine asks whether the relay sends the trial of one. Neither may hold its lock while
// it takes the other's.
func TestRelayReportsWhileTrialIsDue(t *testing.T) {
	g := newTestRelay(5, 2, 10)
	m := &memstore.Store{}
	g.state, g.session = fleetstate.New(fleetstate.Source{}, m, zerolog.Nop()), storesession.New(m, zerolog.Nop())
	g.Quarantine.SendsTrials = g.sendsTrials
	a := quarantine.Attempt{Request: quarantine.Request{Content: 1}}
	now := boottime.Now().Add(-time.Minute)
	for i := range 3 {
		a.Endpoint = fmt.Sprint("e", i)
		g.Quarantine.RecordFailure(a, now, now)
		g.Quarantine.RecordCrash(a.Endpoint, "test", now)
	}
	const rounds = 20_000
	var w sync.WaitGroup
	w.Go(func() {
		for range rounds {
			g.Quarantine.Judge(a.Request, func() []string { return nil }, boottime.Now())
		}
	})
	for range rounds {
		require.NotEmpty(t, g.relayStatus().Box)
	}
	w.Wait()
}
