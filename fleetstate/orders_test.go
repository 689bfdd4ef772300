package fleetstate_test

import (
	"fmt"
	"strings"
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

// Rollout orders arrive with the watch of the configuration, without a call of their own. An order
// that can't be decoded leaves the previous one in place, and a deleted order is removed.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.Set("op/config", `{"Version":3}`)
		s := storesession.New(m, zerolog.Nop())
		src := source
		src.ConfigKey, src.OperatorPrefix = "op/config", "op/"
		src.DecodeOrder = func(i store.Item) (rollout.Order, bool, error) {
			service, ok := strings.CutPrefix(i.Key, "op/rollout/")
			o := rollout.Order{Service: service}
			if !ok || i.Deleted {
				return o, ok, nil
			}
			o.Version, o.Revision = string(i.Value), i.Revision
			if o.Version == "unreadable" {
				return rollout.Order{Service: service}, true, fmt.Errorf("no order")
			}
			return o, true, nil
		}
		k := fleetstate.New(src, m, zerolog.Nop())
		var received []rollout.Orders
		k.OnOrders = func(o rollout.Orders) { received = append(received, o) }
		b := &box{k, s, t}
		n := &kernel.Kernel{}
		require.NoError(t, n.Add(s))
		require.NoError(t, s.Start(t.Context(), n))
		require.NoError(t, k.Start(t.Context(), n))
		defer b.stop()
		wait.For(t.Context(), time.Second)
		require.EqualValues(t, 3, b.version())
		at := m.Set("op/rollout/s", "v2")
		wait.For(t.Context(), applyBound)
		m.Set("op/rollout/s", "unreadable")
		m.Set("op/config", `{"Version":4}`)
		wait.For(t.Context(), applyBound)
		require.EqualValues(t, 4, b.version())
		require.Len(t, received, 1)
		require.Equal(t, []rollout.Order{{Service: "s", Version: "v2", Revision: at}}, received[0].List)
		m.Delete("op/rollout/s")
		wait.For(t.Context(), applyBound)
		require.Len(t, received, 2)
		require.Empty(t, received[1].List)
		require.Greater(t, received[1].Revision, received[0].Revision)
	})
}
