package fleetstate_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// Guards against orders that go back to an earlier revision: a box that stops watching and begins again while it applies a change
// applies what it read before over what it reads then.
func TestOrdersDoNotGoBackWithAnotherWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.Set("op/config", `{"Version":3}`)
		s := storesession.New(m, zerolog.Nop())
		src := source
		src.ConfigKey, src.OperatorPrefix = "op/config", "op/"
		var once sync.Once
		release := make(chan struct{})
		src.DecodeOrder = func(i store.Item) (rollout.Order, bool, error) {
			service, ok := strings.CutPrefix(i.Key, "op/rollout/")
			if string(i.Value) == "v1" {
				once.Do(func() { <-release })
			}
			return rollout.Order{Service: service, Version: string(i.Value), Revision: i.Revision}, ok, nil
		}
		k := fleetstate.New(src, m, zerolog.Nop())
		var mu sync.Mutex
		var last rollout.Orders
		k.OnOrders = func(o rollout.Orders) {
			mu.Lock()
			defer mu.Unlock()
			last = o
		}
		n := &kernel.Kernel{}
		require.NoError(t, n.Add(s))
		require.NoError(t, s.Start(t.Context(), n))
		require.NoError(t, k.Start(t.Context(), n))
		defer (&box{k, s, t}).stop()
		wait.For(t.Context(), time.Second)
		m.Set("op/rollout/s", "v1")
		wait.For(t.Context(), applyBound)
		k.SetWatching(false)
		at := m.Set("op/rollout/s", "v2")
		k.SetWatching(true)
		wait.For(t.Context(), applyBound)
		close(release)
		synctest.Wait()
		other := m.Set("op/rollout/other", "v9")
		wait.For(t.Context(), applyBound)
		mu.Lock()
		defer mu.Unlock()
		require.ElementsMatch(t, []rollout.Order{{Service: "s", Version: "v2", Revision: at}, {Service: "other", Version: "v9", Revision: other}}, last.List)
	})
}
