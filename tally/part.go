package tally

import "maps"

// Part is what one process counted, by window and account. Source names the box
// and the process.
type Part struct {
	Source  string
	Windows map[int64]map[string]int
}

// Recent returns the counts of the windows from one on.
func (t *Tally) Recent(source string, from int64) Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Part{Source: source, Windows: map[int64]map[string]int{}}
	for w, c := range t.counts {
		if w >= from {
			p.Windows[w] = maps.Clone(c)
		}
	}
	return p
}
