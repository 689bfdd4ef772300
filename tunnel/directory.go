package tunnel

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// badFor is how long a box is asked last after it could not serve as a tunnel. It is short, so that
	// boxes whose links have healed take their part again.
	badFor = time.Second

	// sampleTTL is how long a box that another box named is kept, and maxSampled how many are.
	sampleTTL  = 10 * time.Second
	maxSampled = 64
)

// directory keeps which boxes have served as tunnels of late. Its zero value is ready to use.
type directory struct {
	self string // address of this box, which is never chosen

	mu      sync.Mutex
	bad     map[string]time.Time // by address, until when a box is asked last
	sampled map[string]time.Time // by address, when a box was named by another
}

// choose returns up to n boxes in the order in which to ask them: those that have not failed of late
// first, among these the nearby ones, each group in random order. So all boxes that reach endpoints get an equal
// part of the tunnels. Boxes that were named by others replace those far away that are known from the
// start once they are more: these are then a few relays of a large fleet.
func (d *directory) choose(near, far []string, n int, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.bad, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(d.sampled, func(_ string, at time.Time) bool { return now.Sub(at) > sampleTTL })
	near = slices.Clone(near)
	rest := slices.DeleteFunc(slices.Clone(far), func(a string) bool { return slices.Contains(near, a) })
	named := slices.DeleteFunc(slices.Collect(maps.Keys(d.sampled)), func(a string) bool {
		return slices.Contains(near, a) || slices.Contains(rest, a)
	})
	if len(named) > len(rest) {
		rest = nil
	}
	rest = append(rest, named...)
	goodNear, badNear := d.shuffle(near)
	goodRest, badRest := d.shuffle(rest)
	if len(goodNear) >= n && len(goodRest) > 0 {
		// The links of a whole data centre may have failed, so the last one asked is of another.
		goodNear = goodNear[:n-1]
	}
	out := slices.Concat(goodNear, goodRest, badNear, badRest)
	return out[:min(n, len(out))]
}

// shuffle returns the boxes that have not failed of late and those that have, both in random order.
func (d *directory) shuffle(boxes []string) (good, bad []string) {
	slices.Sort(boxes)
	boxes = slices.Compact(boxes)
	for _, i := range rand.Perm(len(boxes)) {
		if _, isBad := d.bad[boxes[i]]; isBad {
			bad = append(bad, boxes[i])
		} else {
			good = append(good, boxes[i])
		}
	}
	return good, bad
}

// record records how a box answered and, if it reached the endpoint, the boxes that it named. Those named by a
// box that is cut off itself may be cut off too.
func (d *directory) record(box string, o Outcome, others []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bad == nil {
		d.bad, d.sampled = map[string]time.Time{}, map[string]time.Time{}
	}
	if o.Reached() {
		delete(d.bad, box)
	} else {
		d.bad[box] = now.Add(badFor)
	}
	if o != Connected {
		return
	}
	for _, a := range others {
		if a != d.self && len(d.sampled) < maxSampled {
			d.sampled[a] = now
		}
	}
}
