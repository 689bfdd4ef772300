package admission

import (
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/view"
)

// Capacity is how many streams a data centre's engines, and calls its plain
// services, can carry. Kept is the part of all engines that is left after the
// worst announced reclaim: that of one data centre's reclaimable boxes.
type Capacity struct {
	Engines  float64
	Services float64
	Kept     float64
}

// Measure adds up the usable endpoints of a data centre, and weighs how much of
// the whole fleet one reclaim may take.
func Measure(ss []*view.EndpointState, dc string) Capacity {
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
			c.Engines += float64(s.Slots)
		} else {
			c.Services += float64(s.Slots)
		}
	}
	if all > 0 {
		c.Kept = float64(all-worst) / float64(all)
	}
	return c
}
