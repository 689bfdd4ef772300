// Package fairshare divides what a service can do among accounts while it is short of room. Shares
// are weighted max-min shares of the cost of requests: an account that asks for less than its part
// gets all of it, and what it leaves is divided among the others. The load pattern is one account
// that sends several times its usual rate: counted in requests, an account with long prompts would
// take most of the engines' time.
package fairshare

import (
	"cmp"
	"slices"
)

// Demand is what one account asks for. Cost is in any unit that is the same for all accounts and
// for the capacity, such as seconds of engine time per second. A Weight of zero counts as 1.
type Demand struct {
	Account string
	Cost    float64 // per second
	Weight  float64
}

func (d Demand) weight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}

// Divide returns the cost per second that each account may have, in the order of the demands. It is
// the demand if the capacity suffices for all demands.
func Divide(demands []Demand, capacity float64) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.weight()
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := demands[i], demands[j]
		return cmp.Or(cmp.Compare(a.Cost/a.weight(), b.Cost/b.weight()), cmp.Compare(a.Account, b.Account))
	})
	out := make([]float64, len(demands))
	left := max(capacity, 0)
	for _, i := range order {
		w := demands[i].weight()
		out[i] = min(demands[i].Cost, left*w/weights)
		left -= out[i]
		weights -= w
	}
	return out
}
