package quota

import (
	"slices"
	"time"
)

// boxes remembers how many boxes of each data centre were heard within thereFor. Its
// zero value knows of none.
type boxHistory struct {
	samples []boxSample
}

type boxSample struct {
	at           time.Time
	byDataCentre map[string]int
}

// hear takes how many boxes are heard now.
func (b *boxHistory) record(by map[string]int, now time.Time) {
	b.samples = slices.DeleteFunc(b.samples, func(c boxSample) bool { return now.Sub(c.at) > retainFor })
	if n := len(b.samples); n > 0 && now.Sub(b.samples[n-1].at) < retainFor/40 {
		b.samples[n-1].byDataCentre = maxCounts(b.samples[n-1].byDataCentre, by)
		return
	}
	b.samples = append(b.samples, boxSample{now, by})
}

// most returns the most that were heard at once in each data centre.
func (b *boxHistory) peak() map[string]int {
	out := map[string]int{}
	for _, c := range b.samples {
		out = maxCounts(out, c.byDataCentre)
	}
	return out
}

// all is the number of boxes.
func sumCounts(by map[string]int) int {
	n := 0
	for _, k := range by {
		n += k
	}
	return n
}

// most returns the larger numbers of two.
func maxCounts(a, b map[string]int) map[string]int {
	out := map[string]int{}
	for _, m := range []map[string]int{a, b} {
		for dc, n := range m {
			out[dc] = max(out[dc], n)
		}
	}
	return out
}

// MostBoxes returns how many boxes there may be, also those that are not heard now: a bound on
// all of them together is divided by it. A process that knows of none before it and has heard few
// may be one of many that started anew while the store was away.
func (q *Quota) MaxBoxes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := max(sumCounts(q.boxHistory.peak()), 1)
	switch d := q.divisions.newest(); {
	case d != nil:
		return max(n, d.totalBoxes())
	case q.firstStart:
		return n
	default:
		return max(n, assumedBoxes)
	}
}
