package orders

import (
	"slices"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/scaling"
)

// isPartitioned reports whether a data centre's boxes were heard until a while ago and are not
// now. Its endpoints' records lapse then, though they serve: that is no reclaim, and
// what is ordered there stays.
func (o *Orders) isPartitioned(p serviceSite, told bool, now time.Time) bool {
	if told {
		o.lastReport[p] = now
		return false
	}
	return now.Sub(o.lastReport[p]) < partitionTimeout
}

// initialSize returns how many endpoints a service is taken to need while its demand
// is not known, by those that it was found with: the most that there were, since
// they are learnt of one after the other. Where there are reclaimable ones, an
// earlier holder of the duty has ordered the fleet, and it says nothing of that.
// Nothing ordered before the demand is known costs 0.04 of a day's worth: endpoints on
// demand then stay until reclaimable ones have started, with callers waiting.
func (o *Orders) initialSize(service string, sites []scaling.Site) int {
	n := 0
	for _, s := range sites {
		if s.Have.Reclaimable > 0 && o.initialCount[service] == 0 {
			return 0
		}
		n += s.Have.OnDemand
	}
	o.initialCount[service] = max(o.initialCount[service], n)
	return o.initialCount[service]
}

// demandKnown reports whether a service's demand has been seen for long enough to judge
// it. Before that the fleet keeps the size that it was found with.
func (o *Orders) demandKnown(service string, load map[string]demand.Figure, now time.Time) bool {
	busy := false
	for _, f := range load {
		busy = busy || f.Tokens > 0 || f.Running > 0
	}
	if !busy {
		return !o.demandSince[service].IsZero()
	}
	if o.demandSince[service].IsZero() {
		o.demandSince[service] = now
	}
	return now.Sub(o.demandSince[service]) >= observationPeriod
}

// detectReclaim notes when a data centre's reclaimable endpoints begin to be taken:
// fewer than half of those that were ordered and have served still serve. A new
// holder of the duty, which has ordered none, goes by those that drain with none
// left that serves.
func (o *Orders) detectReclaim(all []endpoint.Endpoint, service string, site scaling.Site, now time.Time) {
	s := pool{service, site.DataCentre, true}
	have := site.Have.Reclaimable
	p, ordered := o.lastOrders[s]
	if !ordered {
		if have == 0 && hasDraining(all, service, site.DataCentre) {
			o.reclaimStart[site.DataCentre] = now
		}
		return
	}
	p.maxServing = min(max(p.maxServing, have), p.count)
	taken := 2*have < p.maxServing
	if taken && !p.reclaiming {
		o.reclaimStart[site.DataCentre] = now
		o.log.Info().Str("event", "reclaim").Str("service", service).Str("data_centre", site.DataCentre).
			Int("served", p.maxServing).Int("have", have).Msg("reclaimable endpoints are being taken")
	}
	p.reclaiming = taken
	o.lastOrders[s] = p
}

// hasDraining reports whether a reclaimable endpoint of a data centre drains.
func hasDraining(all []endpoint.Endpoint, service, dc string) bool {
	return slices.ContainsFunc(all, func(e endpoint.Endpoint) bool {
		return e.Service == service && e.DataCentre == dc && e.Reclaimable && e.Draining
	})
}

// minSlots returns the slots of a service's endpoints: the least that one has, else what
// the configuration says.
func minSlots(all []endpoint.Endpoint, s *catalog.Service) int {
	n := 0
	for i := range all {
		if e := &all[i]; e.Service == s.Name && e.Slots > 0 && (n == 0 || e.Slots < n) {
			n = e.Slots
		}
	}
	if n == 0 && s.Engine != nil {
		n = s.Engine.Slots
	}
	return n
}
