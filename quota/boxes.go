package quota

import (
	"slices"
	"time"
)

// boxes remembers how many boxes of each data centre were heard within thereFor. Its
// zero value knows of none.
type boxes struct {
	counts []count
}

type count struct {
	at time.Time
	by map[string]int
}

// hear takes how many boxes are heard now.
func (b *boxes) hear(by map[string]int, now time.Time) {
	b.counts = slices.DeleteFunc(b.counts, func(c count) bool { return now.Sub(c.at) > thereFor })
	if n := len(b.counts); n > 0 && now.Sub(b.counts[n-1].at) < thereFor/40 {
		b.counts[n-1].by = most(b.counts[n-1].by, by)
		return
	}
	b.counts = append(b.counts, count{now, by})
}

// most returns the most that were heard at once in each data centre.
func (b *boxes) most() map[string]int {
	out := map[string]int{}
	for _, c := range b.counts {
		out = most(out, c.by)
	}
	return out
}

// all is the number of boxes.
func all(by map[string]int) int {
	n := 0
	for _, k := range by {
		n += k
	}
	return n
}

// most returns the larger numbers of two.
func most(a, b map[string]int) map[string]int {
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
func (q *Quota) MostBoxes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := max(all(q.boxes.most()), 1)
	switch d := q.divisions.newest(); {
	case d != nil:
		return max(n, d.all())
	case q.first:
		return n
	default:
		return max(n, assumed)
	}
}
