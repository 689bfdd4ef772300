package numbering_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/numbering"
)

func ExampleCensus_Counts() {
	var c numbering.Census
	for range 8 {
		c.Record("chat", true)
	}
	fmt.Println(c.Counts("chat"))
	fmt.Println(c.Counts("search"))
	// Output:
	// true true
	// false false
}

// Tests that a service is known by the majority of its newest answers.
func TestCounts(t *testing.T) {
	for name, v := range map[string]struct {
		counted, others int
		counts, known   bool
	}{
		"few":             {counted: 7},
		"all":             {counted: 8, counts: true, known: true},
		"a few lack one":  {counted: 30, others: 5, counts: true, known: true},
		"mixed":           {counted: 8, others: 8},
		"none":            {others: 8, known: true},
		"no longer":       {counted: 1000, others: 300, known: true},
		"again":           {others: 1000, counted: 0, known: true},
		"others came few": {counted: 1000, others: 3, counts: true, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			var c numbering.Census
			for range v.counted {
				c.Record("s", true)
			}
			for range v.others {
				c.Record("s", false)
			}
			counts, known := c.Counts("s")
			require.Equal(t, []bool{v.counts, v.known}, []bool{counts, known})
		})
	}
}
