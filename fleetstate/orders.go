package fleetstate

import (
	"maps"
	"slices"

	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/store"
)

// applyOrders updates the rollout orders from the operators' keys. It is called by one goroutine.
// An order that can't be decoded leaves the previous order in place, as with a configuration.
func (s *Service) applyOrders(items []store.Item, whole bool, revision uint64) {
	previous := maps.Clone(s.orders)
	if s.orders == nil || whole {
		s.orders = map[string]rollout.Order{}
	}
	for _, i := range items {
		o, ok, err := s.DecodeOrder(i)
		switch {
		case err != nil:
			s.log.Error().Str("event", "rollout").Str("key", i.Key).Uint64("revision", i.Revision).Err(err).Msg("not taken")
			if old, had := previous[o.Service]; had {
				s.orders[o.Service] = old
			}
		case !ok:
		case i.Deleted:
			delete(s.orders, o.Service)
		default:
			s.orders[o.Service] = o
		}
	}
	if maps.Equal(previous, s.orders) {
		return
	}
	for service, o := range s.orders {
		if previous[service] != o {
			s.log.Info().Str("event", "rollout").Str("service", service).Str("version", o.Version).Dur("duration", o.Duration).
				Uint64("order", o.Revision).Msg("ordered")
		}
	}
	s.OnOrders(rollout.Orders{Revision: revision, List: slices.Collect(maps.Values(s.orders))})
}
