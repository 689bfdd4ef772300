package usage

import "maps"

// Report holds the counts of one process, by window number and account. Source identifies the box
// and the process.
type Report struct {
	Source  string
	Windows map[int64]map[string]int
}

// Recent returns the counts of window from and all later windows, attributed to source.
func (t *Tally) Recent(source string, from int64) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Report{Source: source, Windows: map[int64]map[string]int{}}
	for w, c := range t.counts {
		if w >= from {
			p.Windows[w] = maps.Clone(c)
		}
	}
	return p
}
