package fleetstate

import (
	"maps"
	"slices"

	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/store"
)

// applyOrders updates the rollout orders from the operators' keys. It is called by one goroutine.
// An order that can't be decoded leaves the previous order in place, as with a configuration.
func (k *Service) applyOrders(items []store.Item, whole bool, revision uint64) {
	previous := maps.Clone(k.orders)
	if k.orders == nil || whole {
		k.orders = map[string]rollout.Order{}
	}
	for _, i := range items {
		o, ok, err := k.DecodeOrder(i)
		switch {
		case err != nil:
			k.log.Error().Str("event", "rollout").Str("key", i.Key).Uint64("revision", i.Revision).Err(err).Msg("not taken")
			if old, had := previous[o.Service]; had {
				k.orders[o.Service] = old
			}
		case !ok:
		case i.Deleted:
			delete(k.orders, o.Service)
		default:
			k.orders[o.Service] = o
		}
	}
	if maps.Equal(previous, k.orders) {
		return
	}
	for s, o := range k.orders {
		if previous[s] != o {
			k.log.Info().Str("event", "rollout").Str("service", s).Str("version", o.Version).Dur("duration", o.Duration).
				Uint64("order", o.Revision).Msg("ordered")
		}
	}
	k.OnOrders(rollout.Orders{Revision: revision, List: slices.Collect(maps.Values(k.orders))})
}
