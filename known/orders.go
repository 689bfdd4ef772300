package known

import (
	"maps"
	"slices"

	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/store"
)

// applyOrders takes the orders of roll-outs out of what operators have written. It is called by one
// goroutine. An order that cannot be read leaves the one before it standing, as a configuration
// does.
func (k *Service) applyOrders(items []store.Item, whole bool, revision uint64) {
	before := maps.Clone(k.orders)
	if k.orders == nil || whole {
		k.orders = map[string]rollout.Order{}
	}
	for _, i := range items {
		o, ok, err := k.DecodeOrder(i)
		switch {
		case err != nil:
			k.log.Error().Str("event", "rollout").Str("key", i.Key).Uint64("revision", i.Revision).Err(err).Msg("not taken")
			if old, had := before[o.Service]; had {
				k.orders[o.Service] = old
			}
		case !ok:
		case i.Deleted:
			delete(k.orders, o.Service)
		default:
			k.orders[o.Service] = o
		}
	}
	if maps.Equal(before, k.orders) {
		return
	}
	for s, o := range k.orders {
		if before[s] != o {
			k.log.Info().Str("event", "rollout").Str("service", s).Str("version", o.Version).Dur("duration", o.Duration).
				Uint64("order", o.Revision).Msg("ordered")
		}
	}
	k.OnOrders(rollout.Orders{Revision: revision, List: slices.Collect(maps.Values(k.orders))})
}
