package availability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/availability"
	"birchlink.dev/birchlink/endpoint"
)

var epoch = time.Unix(1_000_000, 0)

func ExampleAvailability() {
	var a availability.Availability
	es := []endpoint.Endpoint{{ID: "i-1"}, {ID: "i-2"}}
	a.Rest("i-1", 3*time.Second, epoch)
	fmt.Println(a.Left("i-1", epoch), a.First(es, epoch))
	a.Rates.Observe("i-2", endpoint.Limit{Named: true, PerSecond: 1}, epoch)
	a.Defer("i-2", 1, time.Second, epoch)
	fmt.Println(a.Left("i-2", epoch), a.First(es, epoch))
	// Output:
	// 3s 0s
	// 1s 1s
}

// A rate that is used up is asked for again when it has risen or has ended, and at its time.
func TestDefer(t *testing.T) {
	var a availability.Availability
	say := func(l endpoint.Limit, d time.Duration) { a.Rates.Observe("e", l, epoch.Add(d)) }
	require.True(t, a.All(epoch))
	say(endpoint.Limit{Named: true, PerSecond: 1}, 0)
	require.True(t, a.Limited("e", epoch))
	a.Defer("e", 1, 10*time.Second, epoch)
	require.False(t, a.All(epoch))
	require.False(t, a.Rests("e", epoch))
	require.Equal(t, 10*time.Second, a.Left("e", epoch))
	say(endpoint.Limit{Named: true, PerSecond: 0.5}, time.Second)
	require.Equal(t, 9*time.Second, a.Left("e", epoch.Add(time.Second)))
	say(endpoint.Limit{Named: true, PerSecond: 2}, 2*time.Second)
	require.Zero(t, a.Left("e", epoch.Add(2*time.Second)))
	a.Defer("e", 2, 10*time.Second, epoch.Add(2*time.Second))
	say(endpoint.Limit{}, 4*time.Second)
	require.Zero(t, a.Left("e", epoch.Add(4*time.Second)))
	require.True(t, a.All(epoch.Add(12*time.Second)))
}

// Both what an endpoint asked this box for and its rate keep a request from it.
func TestBoth(t *testing.T) {
	var a availability.Availability
	a.Rates.Observe("e", endpoint.Limit{Named: true, PerSecond: 1}, epoch)
	a.Defer("e", 1, time.Second, epoch)
	require.Equal(t, 3*time.Second, a.Rest("e", 3*time.Second, epoch))
	require.Equal(t, 3*time.Second, a.Left("e", epoch))
	require.True(t, a.Rests("e", epoch.Add(2*time.Second)))
	require.Equal(t, 1, a.Resting(epoch))
	require.Zero(t, a.First(nil, epoch))
}
