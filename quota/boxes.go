package quota

import (
	"slices"
	"time"
)

// boxHistory records how many boxes of each data centre were reachable within the last
// retainFor. Its zero value is empty.
type boxHistory struct {
	samples []boxSample
}

type boxSample struct {
	at           time.Time
	byDataCentre map[string]int
}

// record adds the number of boxes that are reachable now, by data centre.
func (b *boxHistory) record(counts map[string]int, now time.Time) {
	b.samples = slices.DeleteFunc(b.samples, func(c boxSample) bool { return now.Sub(c.at) > retainFor })
	if n := len(b.samples); n > 0 && now.Sub(b.samples[n-1].at) < retainFor/40 {
		b.samples[n-1].byDataCentre = maxCounts(b.samples[n-1].byDataCentre, counts)
		return
	}
	b.samples = append(b.samples, boxSample{now, counts})
}

// peak returns the largest number of boxes reachable at once in each data centre.
func (b *boxHistory) peak() map[string]int {
	out := map[string]int{}
	for _, c := range b.samples {
		out = maxCounts(out, c.byDataCentre)
	}
	return out
}

// sumCounts returns the total of all data centres.
func sumCounts(counts map[string]int) int {
	n := 0
	for _, k := range counts {
		n += k
	}
	return n
}

// maxCounts returns the larger of the counts of a and b for each data centre.
func maxCounts(a, b map[string]int) map[string]int {
	out := map[string]int{}
	for _, m := range []map[string]int{a, b} {
		for dc, n := range m {
			out[dc] = max(out[dc], n)
		}
	}
	return out
}

// MaxBoxes returns an upper bound on the number of boxes, including those that are not
// reachable now. Limits on all boxes together are divided by it. It is zero if the number is unknown: a
// process that knows no division may be one of any number that restarted while the store was
// unavailable, unless this is the first start of the fleet.
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
		return 0
	}
}
