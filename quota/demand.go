package quota

import (
	"math"
	"time"
)

// demandHalf is the half-life of the demand by which limits are divided over data
// centres: long against the gaps between an account's requests, short against the time
// in which users move.
const demandHalfLife = 5 * time.Second

// demand is what an account is asked for in this data centre, in units a second.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// add counts a request.
func (d *demand) add(size float64, now time.Time) {
	d.decay(now)
	d.rate += size * math.Ln2 / demandHalfLife.Seconds()
}

func (d *demand) decay(now time.Time) {
	d.rate *= math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(demandHalfLife))
	d.updatedAt = now
}
