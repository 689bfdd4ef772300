package quota

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the demand by which limits are divided over data
// centres. It is long compared with the gaps between an account's requests and short
// compared with the time in which traffic moves to another data centre.
const demandHalfLife = 5 * time.Second

// demand is the exponentially decaying rate of requests for an account in this data
// centre, in units a second.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// add counts a request of the given size in units.
func (d *demand) add(size float64, now time.Time) {
	d.decay(now)
	d.rate += size * math.Ln2 / demandHalfLife.Seconds()
}

func (d *demand) decay(now time.Time) {
	d.rate *= math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(demandHalfLife))
	d.updatedAt = now
}
