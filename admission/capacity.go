package admission

import (
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/view"
)

// Capacity is the number of slots of the usable endpoints of a data centre: one for each stream
// of an engine (EngineSlots) and for each call of a plain service (ServiceSlots). RetainedShare
// is the fraction of the engines of all data centres that remains after the worst announced
// reclaim, which takes all reclaimable boxes of one data centre.
type Capacity struct {
	EngineSlots   float64
	ServiceSlots  float64
	RetainedShare float64
}

// MeasureCapacity returns the capacity of the data centre dc, given the endpoints of all data
// centres.
func MeasureCapacity(ss []*view.EndpointState, dc string) Capacity {
	var c Capacity
	all, worst := 0, 0
	lost := map[string]int{}
	for _, s := range ss {
		if s.State != fleet.Live {
			continue
		}
		if s.Role == fleet.EngineRole {
			all++
			if s.Reclaimable {
				lost[s.DataCentre]++
				worst = max(worst, lost[s.DataCentre])
			}
		}
		if s.DataCentre != dc || !s.Usable() {
			continue
		}
		if s.Role == fleet.EngineRole {
			c.EngineSlots += float64(s.Slots)
		} else {
			c.ServiceSlots += float64(s.Slots)
		}
	}
	if all > 0 {
		c.RetainedShare = float64(all-worst) / float64(all)
	}
	return c
}
