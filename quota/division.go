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
const thereFor = 20 * time.Second

// assumed is the number of boxes taken where no division is known.
const assumed = 100

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
func (d *Division) all() int { return all(d.Boxes) }

// divisions are those that some box may keep to. The zero value knows of none.
type divisions struct {
	tables []table // the newest last
}

type table struct {
	Division
	replaced time.Time // zero while it is the newest
}

// take adds a division that is newer than those known.
func (s *divisions) take(d Division, now time.Time) {
	if len(d.Boxes) == 0 || d.Version <= s.version() {
		return
	}
	if n := len(s.tables); n > 0 {
		s.tables[n-1].replaced = now
	}
	s.tables = append(s.tables, table{Division: d})
}

// settle forgets the divisions before the newest, which nobody keeps to any more.
func (s *divisions) settle() {
	s.tables = s.tables[max(len(s.tables)-1, 0):]
}

// newest returns the division in force, nil if none is known.
func (s *divisions) newest() *Division {
	if len(s.tables) == 0 {
		return nil
	}
	return &s.tables[len(s.tables)-1].Division
}

func (s *divisions) version() uint64 {
	if d := s.newest(); d != nil {
		return d.Version
	}
	return 0
}

// part returns the part of an account that some boxes of a data centre have, of those
// heard there. It is the least by any division that a box which is not heard may keep
// to, so that all parts together are never more than the whole.
func (s *divisions) part(account, dc string, boxes, heard int, now time.Time) float64 {
	s.tables = slices.DeleteFunc(s.tables, func(t table) bool { return !t.replaced.IsZero() && now.Sub(t.replaced) > thereFor })
	if len(s.tables) == 0 {
		return float64(boxes) / assumed
	}
	least := 1.0
	for _, t := range s.tables {
		n := max(t.Boxes[dc], heard, boxes, 1)
		least = min(least, t.weight(account, dc)*float64(boxes)/float64(n))
	}
	return least
}

// even returns the part that some boxes of a data centre have of a rate that is divided evenly.
func (s *divisions) even(dc string, boxes, heard int, now time.Time) float64 {
	return s.part(everything, dc, boxes, heard, now)
}

// everything stands for all rates that are divided evenly. No account has this name.
const everything = ""

// evenWeight is the part of an account that is divided evenly over the data centres:
// what is asked for there may move.
const evenWeight = 0.3

// divide returns a new division, by the boxes that were heard and by what accounts are
// asked for in each data centre.
func divide(boxes map[string]int, asked map[string]map[string]float64) Division {
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
