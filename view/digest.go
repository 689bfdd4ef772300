package view

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/fleet"
)

func compareNames(a, b string) int { return cmp.Compare(a, b) }

// digest returns a hash of the fields of a box list that all entry boxes must agree on.
func digest(bs []fleet.Box) uint64 {
	h := xxhash.New()
	for _, b := range bs {
		fmt.Fprintf(h, "%s|%s|%s|%s|%s|%v;", b.Name, b.Address, b.State, b.Role, b.Service, b.Reclaimable)
	}
	return h.Sum64()
}
