package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
)

// Endpoints distinguish ten ranks only. Priorities that no request to the service can have must not
// use them up, and an account's priority must count more than the route's.
func TestUrgency(t *testing.T) {
	shares := func(s string) []catalog.Share { return []catalog.Share{{Service: s, Weight: 1}} }
	d := &catalog.Document{
		Routes: []catalog.Route{
			{Name: "a", Priority: 0, Shares: shares("s")},
			{Name: "b", Priority: 7, Shares: shares("s")},
			{Name: "c", Priority: 7, Shares: shares("s")},
			{Name: "d", Priority: 3, Shares: shares("other"), Public: true},
		},
		Accounts: []catalog.Account{{Name: "x", Priority: 2}, {Name: "y", Priority: 5}, {Name: "z", Priority: 5}},
	}
	table := catalog.NewTable(d)
	urgency := func(route, account int) [2]int {
		class, classes := table.Urgency("s", &d.Routes[route], &d.Accounts[account])
		return [2]int{class, classes}
	}
	require.Equal(t, [2]int{2, 6}, urgency(0, 0))
	require.Equal(t, [2]int{3, 6}, urgency(2, 0))
	require.Equal(t, [2]int{4, 6}, urgency(0, 1))
	require.Equal(t, [2]int{5, 6}, urgency(1, 2))
	class, classes := table.Urgency("other", &d.Routes[3], nil)
	require.Equal(t, [2]int{0, 3}, [2]int{class, classes})
	class, classes = catalog.NewTable(&catalog.Document{}).Urgency("unknown", &d.Routes[1], nil)
	require.Equal(t, [2]int{0, 0}, [2]int{class, classes})
}
