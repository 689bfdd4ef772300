package answertimes_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/answertimes"
	"birchlink.dev/birchlink/stand/script"
)

func ExampleTracker() {
	var t answertimes.Tracker
	k, now := accuracy.Key{Service: "s", Route: "r"}, time.Now()
	fmt.Println(t.Long(k, 1, now).Long)
	t.Record(k, 2*time.Second, now)
	fmt.Println(t.Long(k, 1, now).Long)
	// Output:
	// 0s
	// 6s
}

// shares are the parts of the answers that end within an estimate, by command.
var shares = map[string]float64{"long": 0.95, "longest": 1}

// TestScripts plays the commands "record COUNT TIME", "other COUNT TIME" for another route, "foreign COUNT TIME" for one of another
// service, "wait TIME" "bound COUNT TIME", "long TIME SAMPLES AGE" and "longest TIME SAMPLES AGE", both with the word longer for a bound.
func TestScripts(t *testing.T) {
	for _, s := range script.Read(t, "testdata/scripts.txt") {
		t.Run(s.Name, func(t *testing.T) {
			var k answertimes.Tracker
			key, now := accuracy.Key{Service: "s", Route: "r"}, time.Now()
			for _, l := range s.Lines {
				f := strings.Fields(l)
				switch f[0] {
				case "record", "bound", "other", "foreign":
					at := key
					if f[0] == "other" || f[0] == "foreign" {
						at.Route = f[0]
					}
					if f[0] == "foreign" {
						at.Service = f[0]
					}
					n, err := strconv.Atoi(f[1])
					require.NoError(t, err, l)
					for range n {
						if f[0] == "bound" {
							k.RecordBound(at, duration(t, f[2]), now)
							continue
						}
						k.Record(at, duration(t, f[2]), now)
					}
				case "wait":
					now = now.Add(duration(t, f[1]))
				case "long", "longest":
					n, err := strconv.Atoi(f[2])
					require.NoError(t, err, l)
					require.Equal(t, answertimes.Estimate{Long: duration(t, f[1]), IsBound: len(f) > 4, Samples: n, Age: duration(t, f[3])}, k.Long(key, shares[f[0]], now), l)
				default:
					t.Fatalf("unknown command %q", l)
				}
			}
		})
	}
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	require.NoError(t, err)
	return d
}

func TestBoundedKeys(t *testing.T) {
	var k answertimes.Tracker
	now, known := time.Now(), 0
	key := func(i int) accuracy.Key { return accuracy.Key{Service: strconv.Itoa(i), Route: "r"} }
	for i := range 1000 {
		k.Record(key(i), time.Second, now)
	}
	for i := range 1000 {
		known += k.Long(key(i), 1, now).Samples
	}
	require.Equal(t, 256, known)
}

// Routes that are no longer used keep new ones from being measured.
func TestUnusedRoutesBlockNewOnes(t *testing.T) {
	var k answertimes.Tracker
	now := time.Now()
	for i := range 1000 {
		k.Record(accuracy.Key{Service: strconv.Itoa(i), Route: "r"}, time.Second, now)
	}
	now = now.Add(time.Hour)
	key := accuracy.Key{Service: "new", Route: "r"}
	k.Record(key, time.Second, now)
	require.Equal(t, answertimes.Estimate{Long: 3 * time.Second, Samples: 1}, k.Long(key, 1, now))
}

func TestConcurrentUse(t *testing.T) {
	var k answertimes.Tracker
	key, now := accuracy.Key{Service: "s", Route: "r"}, time.Now()
	var g sync.WaitGroup
	for range 8 {
		g.Go(func() {
			for range 100 {
				k.Record(key, time.Second, now)
				k.Long(key, 1, now)
			}
		})
	}
	g.Wait()
	require.Equal(t, answertimes.Estimate{Long: 1031250 * time.Microsecond, Samples: 64}, k.Long(key, 1, now))
}
