package budget

// buckets is the number of buckets per window. Counts expire with the granularity of one bucket.
const buckets = 20

// counter counts what happened within the last window.
type counter struct {
	slot    int64 // current slot, counted in bucket widths
	buckets [buckets]int
}

// moveTo makes a slot the current one, which clears the buckets that expired since.
func (c *counter) moveTo(slot int64) {
	if slot-c.slot >= buckets {
		c.buckets, c.slot = [buckets]int{}, slot
	}
	for c.slot < slot {
		c.slot++
		c.buckets[c.slot%buckets] = 0
	}
}

func (c *counter) inc() { c.buckets[c.slot%buckets]++ }

func (c *counter) sum() int {
	n := 0
	for _, k := range c.buckets {
		n += k
	}
	return n
}
