package quota

import (
	"math"
	"time"
)

// floorPart is the part of the whole that is divided evenly, so that a box with
// no demand yet can serve the first that comes.
const floorPart = 0.15

// Shares divides accounts over boxes by told demand. Own is this box's demand as
// the others know it, and others theirs.
func Shares(own map[string]float64, others []map[string]float64) (map[string]float64, float64) {
	n := float64(len(others) + 1)
	even := 1 / n
	out := map[string]float64{}
	sums := map[string]float64{}
	for a, d := range own {
		sums[a] += d
	}
	for _, o := range others {
		for a, d := range o {
			sums[a] += d
		}
	}
	for a, sum := range sums {
		if sum <= 0 {
			continue
		}
		out[a] = floorPart*even + (1-floorPart)*own[a]/sum
	}
	return out, even
}

func decay(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(demandHalf))
}
