package quota

import (
	"slices"
	"time"
)

// Division says how the limits are divided: over the data centres by what accounts
// are asked for there, and within each over its boxes. It is kept in the store, whose
// revision is its version, so that of two boxes which take themselves for the one that
// writes it only one does.
type Division struct {
	Version uint64
	Boxes   map[string]int                // by data centre
	Weights map[string]map[string]float64 // by account and data centre; even for none
}

// thereFor is how long a division is kept to after another has replaced it, and a box
// counted after it was last heard: a box that is cut off may not know better. Cuts of
// 12 s are usual.
const retainFor = 20 * time.Second

// assumed is the number of boxes taken where no division is known.
const assumedBoxes = 100

// weight is a data centre's part of an account.
func (d *Division) weight(account, dc string) float64 {
	if w, ok := d.Weights[account]; ok {
		return w[dc]
	}
	if d.Boxes[dc] == 0 {
		return 0
	}
	return 1 / float64(len(d.Boxes))
}

// all is the number of boxes.
func (d *Division) totalBoxes() int { return sumCounts(d.Boxes) }

// divisions are those that some box may keep to. The zero value knows of none.
type divisionHistory struct {
	entries []divisionEntry // the newest last
}

type divisionEntry struct {
	Division
	replacedAt time.Time // zero while it is the newest
}

// take adds a division that is newer than those known.
func (s *divisionHistory) add(d Division, now time.Time) {
	if len(d.Boxes) == 0 || d.Version <= s.version() {
		return
	}
	if n := len(s.entries); n > 0 {
		s.entries[n-1].replacedAt = now
	}
	s.entries = append(s.entries, divisionEntry{Division: d})
}

// settle forgets the divisions before the newest, which nobody keeps to any more.
func (s *divisionHistory) dropReplaced() {
	s.entries = s.entries[max(len(s.entries)-1, 0):]
}

// newest returns the division in force, nil if none is known.
func (s *divisionHistory) newest() *Division {
	if len(s.entries) == 0 {
		return nil
	}
	return &s.entries[len(s.entries)-1].Division
}

func (s *divisionHistory) version() uint64 {
	if d := s.newest(); d != nil {
		return d.Version
	}
	return 0
}

// part returns the part of an account that some boxes of a data centre have, of those
// heard there. It is the least by any division that a box which is not heard may keep
// to, so that all parts together are never more than the whole.
func (s *divisionHistory) share(account, dc string, boxes, heard int, now time.Time) float64 {
	s.entries = slices.DeleteFunc(s.entries, func(t divisionEntry) bool { return !t.replacedAt.IsZero() && now.Sub(t.replacedAt) > retainFor })
	if len(s.entries) == 0 {
		return float64(boxes) / assumedBoxes
	}
	least := 1.0
	for _, t := range s.entries {
		n := max(t.Boxes[dc], heard, boxes, 1)
		least = min(least, t.weight(account, dc)*float64(boxes)/float64(n))
	}
	return least
}

// even returns the part that some boxes of a data centre have of a rate that is divided evenly.
func (s *divisionHistory) evenShare(dc string, boxes, heard int, now time.Time) float64 {
	return s.share(evenlyDivided, dc, boxes, heard, now)
}

// everything stands for all rates that are divided evenly. No account has this name.
const evenlyDivided = ""

// evenWeight is the part of an account that is divided evenly over the data centres:
// what is asked for there may move.
const evenWeight = 0.3

// divide returns a new division, by the boxes that were heard and by what accounts are
// asked for in each data centre.
func computeDivision(boxes map[string]int, asked map[string]map[string]float64) Division {
	d := Division{Boxes: boxes, Weights: map[string]map[string]float64{}}
	even := 1 / float64(max(len(boxes), 1))
	for a, by := range asked {
		sum := 0.0
		for dc := range boxes {
			sum += by[dc]
		}
		if sum <= 0 {
			continue
		}
		w := map[string]float64{}
		for dc := range boxes {
			w[dc] = evenWeight*even + (1-evenWeight)*by[dc]/sum
		}
		d.Weights[a] = w
	}
	return d
}
