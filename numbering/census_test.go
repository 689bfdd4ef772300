package numbering_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/numbering"
)

func ExampleCensus_Counts() {
	var c numbering.Census
	for range 20 {
		c.Record("clock", false)
	}
	fmt.Println(c.Counts("clock"))
	fmt.Println(c.Counts("chat"))
	// Output:
	// false
	// true
}

// Tests that a service counts its events if most of its newest answers do.
func TestCounts(t *testing.T) {
	for name, v := range map[string]struct {
		counted, others int // first those that counted
		want            bool
	}{
		"none":           {want: true},
		"a few do not":   {others: 7, want: true},
		"most do not":    {others: 8},
		"a few lack one": {counted: 30, others: 12, want: true},
		"no longer":      {counted: 1000, others: 64},
		"not for a bit":  {counted: 1000, others: 20, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var c numbering.Census
			for range v.counted {
				c.Record("s", true)
			}
			for range v.others {
				c.Record("s", false)
			}
			require.Equal(t, v.want, c.Counts("s"))
			for range 64 {
				c.Record("s", true)
			}
			require.True(t, c.Counts("s"), "again")
		})
	}
}
