package quota

import (
	"slices"
	"time"
)

// Division describes how the limits are divided: over the data centres by the demand for
// each account there, and within each data centre evenly over its boxes. It is kept in the
// store, and its version is the store's revision, so that of two boxes that both believe
// they are the writer only one succeeds.
type Division struct {
	Version uint64
	Boxes   map[string]int                // by data centre
	Weights map[string]map[string]float64 // by account and data centre; an account without weights is divided evenly
}

// retainFor is how long a division is respected after its replacement, and how long a box is
// counted after it was last reachable. A partitioned box may still use the old division.
// Partitions of 12 s are common.
const retainFor = 20 * time.Second

// assumedBoxes is the number of boxes assumed while no division is known.
const assumedBoxes = 100

// weight returns a data centre's share of an account.
func (d *Division) weight(account, dc string) float64 {
	if w, ok := d.Weights[account]; ok {
		return w[dc]
	}
	if d.Boxes[dc] == 0 {
		return 0
	}
	return 1 / float64(len(d.Boxes))
}

// totalBoxes returns the number of boxes in all data centres.
func (d *Division) totalBoxes() int { return sumCounts(d.Boxes) }

// divisionHistory holds the divisions that some box may still use. Its zero value is
// empty.
type divisionHistory struct {
	entries []divisionEntry // oldest first
}

type divisionEntry struct {
	Division
	replacedAt time.Time // zero for the newest
}

// add appends a division that is newer than all known ones and ignores any other.
func (h *divisionHistory) add(d Division, now time.Time) {
	if len(d.Boxes) == 0 || d.Version <= h.version() {
		return
	}
	if n := len(h.entries); n > 0 {
		h.entries[n-1].replacedAt = now
	}
	h.entries = append(h.entries, divisionEntry{Division: d})
}

// dropReplaced drops all divisions but the newest, once no box uses an older one.
func (h *divisionHistory) dropReplaced() {
	h.entries = h.entries[max(len(h.entries)-1, 0):]
}

// newest returns the division in force, or nil if none is known.
func (h *divisionHistory) newest() *Division {
	if len(h.entries) == 0 {
		return nil
	}
	return &h.entries[len(h.entries)-1].Division
}

func (h *divisionHistory) version() uint64 {
	if d := h.newest(); d != nil {
		return d.Version
	}
	return 0
}

// share returns the share of an account that the given number of boxes of a data centre
// have together. reachable is how many boxes were reachable there. The result is the
// smallest share by any division that an unreachable box may still use, so that all shares
// together never exceed the whole.
func (h *divisionHistory) share(account, dc string, boxes, reachable int, now time.Time) float64 {
	h.entries = slices.DeleteFunc(h.entries, func(t divisionEntry) bool { return !t.replacedAt.IsZero() && now.Sub(t.replacedAt) > retainFor })
	if len(h.entries) == 0 {
		return float64(boxes) / assumedBoxes
	}
	least := 1.0
	for _, t := range h.entries {
		n := max(t.Boxes[dc], reachable, boxes, 1)
		least = min(least, t.weight(account, dc)*float64(boxes)/float64(n))
	}
	return least
}

// evenShare returns the share of an evenly divided rate that the given number of boxes of a
// data centre have together.
func (h *divisionHistory) evenShare(dc string, boxes, reachable int, now time.Time) float64 {
	return h.share(evenlyDivided, dc, boxes, reachable, now)
}

// evenlyDivided is the key for all rates that are divided evenly. No account has this name.
const evenlyDivided = ""

// evenWeight is the share of an account that is divided evenly over the data centres,
// since demand may move between them.
const evenWeight = 0.3

// computeDivision returns a new division for the given number of boxes of each data centre
// and the demand by account and data centre, in units a second.
func computeDivision(boxes map[string]int, demand map[string]map[string]float64) Division {
	d := Division{Boxes: boxes, Weights: map[string]map[string]float64{}}
	even := 1 / float64(max(len(boxes), 1))
	for a, byDataCentre := range demand {
		total := 0.0
		for dc := range boxes {
			total += byDataCentre[dc]
		}
		if total <= 0 {
			continue
		}
		w := map[string]float64{}
		for dc := range boxes {
			w[dc] = evenWeight*even + (1-evenWeight)*byDataCentre[dc]/total
		}
		d.Weights[a] = w
	}
	return d
}
