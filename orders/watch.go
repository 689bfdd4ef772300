package orders

import (
	"slices"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/scaling"
)

// cut reports whether a data centre's boxes were heard until a while ago and are not
// now. Its endpoints' records lapse then, though they serve: that is no reclaim, and
// what is ordered there stays.
func (o *Orders) cut(p place, told bool, now time.Time) bool {
	if told {
		o.heard[p] = now
		return false
	}
	return now.Sub(o.heard[p]) < cutFor
}

// foundOf returns how many endpoints a service is taken to need while its demand
// is not known, by those that it was found with: the most that there were, since
// they are learnt of one after the other. Where there are reclaimable ones, an
// earlier holder of the duty has ordered the fleet, and it says nothing of that.
// Nothing ordered before the demand is known costs 0.04 of a day's worth: endpoints on
// demand then stay until reclaimable ones have started, with callers waiting.
func (o *Orders) foundOf(service string, sites []scaling.Site) int {
	n := 0
	for _, s := range sites {
		if s.Have.Reclaimable > 0 && o.found[service] == 0 {
			return 0
		}
		n += s.Have.OnDemand
	}
	o.found[service] = max(o.found[service], n)
	return o.found[service]
}

// seen reports whether a service's demand has been seen for long enough to judge
// it. Before that the fleet keeps the size that it was found with.
func (o *Orders) seen(service string, load map[string]demand.Stats, now time.Time) bool {
	busy := false
	for _, f := range load {
		busy = busy || f.Tokens > 0 || f.Running > 0
	}
	if !busy {
		return !o.first[service].IsZero()
	}
	if o.first[service].IsZero() {
		o.first[service] = now
	}
	return now.Sub(o.first[service]) >= judge
}

// watchReclaim notes when a data centre's reclaimable endpoints begin to be taken:
// fewer than half of those that were ordered and have served still serve. A new
// holder of the duty, which has ordered none, goes by those that drain with none
// left that serves.
func (o *Orders) watchReclaim(all []endpoint.Endpoint, service string, site scaling.Site, now time.Time) {
	s := subject{service, site.DataCentre, true}
	have := site.Have.Reclaimable
	p, ordered := o.placed[s]
	if !ordered {
		if have == 0 && draining(all, service, site.DataCentre) {
			o.reclaim[site.DataCentre] = now
		}
		return
	}
	p.served = min(max(p.served, have), p.count)
	taken := 2*have < p.served
	if taken && !p.taken {
		o.reclaim[site.DataCentre] = now
		o.log.Info().Str("event", "reclaim").Str("service", service).Str("data_centre", site.DataCentre).
			Int("served", p.served).Int("have", have).Msg("reclaimable endpoints are being taken")
	}
	p.taken = taken
	o.placed[s] = p
}

// draining reports whether a reclaimable endpoint of a data centre drains.
func draining(all []endpoint.Endpoint, service, dc string) bool {
	return slices.ContainsFunc(all, func(e endpoint.Endpoint) bool {
		return e.Service == service && e.DataCentre == dc && e.Reclaimable && e.Draining
	})
}

// slotsOf returns the slots of a service's endpoints: the least that one has, else what
// the configuration says.
func slotsOf(all []endpoint.Endpoint, s *catalog.Service) int {
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
