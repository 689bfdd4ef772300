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
	a.BackOff("i-1", 3*time.Second, epoch)
	fmt.Println(a.UnavailableFor("i-1", epoch), a.NextAvailable(es, epoch))
	a.Rates.Observe("i-2", endpoint.Limit{Limited: true, PerSecond: 1}, epoch)
	a.SkipFor("i-2", 1, time.Second, epoch)
	fmt.Println(a.UnavailableFor("i-2", epoch), a.NextAvailable(es, epoch))
	// Output:
	// 3s 0s
	// 1s 1s
}

// An endpoint is skipped until the given time, or until its rate limit is raised or lifted.
func TestSkipFor(t *testing.T) {
	var a availability.Availability
	setLimit := func(l endpoint.Limit, d time.Duration) { a.Rates.Observe("e", l, epoch.Add(d)) }
	require.True(t, a.AllAvailable(epoch))
	setLimit(endpoint.Limit{Limited: true, PerSecond: 1}, 0)
	require.True(t, a.IsRateLimited("e", epoch))
	a.SkipFor("e", 1, 10*time.Second, epoch)
	require.False(t, a.AllAvailable(epoch))
	require.False(t, a.IsBackingOff("e", epoch))
	require.Equal(t, 10*time.Second, a.UnavailableFor("e", epoch))
	setLimit(endpoint.Limit{Limited: true, PerSecond: 0.5}, time.Second)
	require.Equal(t, 9*time.Second, a.UnavailableFor("e", epoch.Add(time.Second)))
	setLimit(endpoint.Limit{Limited: true, PerSecond: 2}, 2*time.Second)
	require.Zero(t, a.UnavailableFor("e", epoch.Add(2*time.Second)))
	a.SkipFor("e", 2, 10*time.Second, epoch.Add(2*time.Second))
	setLimit(endpoint.Limit{}, 4*time.Second)
	require.Zero(t, a.UnavailableFor("e", epoch.Add(4*time.Second)))
	require.True(t, a.AllAvailable(epoch.Add(12*time.Second)))
}

// A back-off period and a used-up rate limit both keep requests from an endpoint.
func TestBackOffAndRateLimit(t *testing.T) {
	var a availability.Availability
	a.Rates.Observe("e", endpoint.Limit{Limited: true, PerSecond: 1}, epoch)
	a.SkipFor("e", 1, time.Second, epoch)
	require.Equal(t, 3*time.Second, a.BackOff("e", 3*time.Second, epoch))
	require.Equal(t, 3*time.Second, a.UnavailableFor("e", epoch))
	require.True(t, a.IsBackingOff("e", epoch.Add(2*time.Second)))
	require.Equal(t, 1, a.CountBackingOff(epoch))
	require.Zero(t, a.NextAvailable(nil, epoch))
}
