package quota_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/quota"
)

// allSettingsOn runs all tests of the limits with the reserve and the return times switched on:
// QUOTA_SETTINGS=on go test ./quota.
var allSettingsOn = os.Getenv("QUOTA_SETTINGS") == "on"

// settingsSeeds returns the number of simulated runs of each small fleet with the reserve and the return
// times on. QUOTA_SEEDS sets it; with 40, there are as many as with the settings off.
func settingsSeeds(t testing.TB) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(cmp.Or(os.Getenv("QUOTA_SEEDS"), "8"), 10, 64)
	require.NoError(t, err)
	return n
}

// returning is a refused request whose caller returns once, to any box.
type returning struct {
	quota.Question
	at time.Time
}

// takeWithReturn sends a request whose route is given by its size. If it is refused, its caller
// returns when told, or after two seconds.
func (f *fleet) takeWithReturn(i int, x quota.Question) quota.Answer {
	x.Route, x.Content, x.Wait = fmt.Sprint(x.Size), f.rng.Uint64(), 2*time.Second
	v := f.ask(i, x)
	if !v.OK {
		f.returning = append(f.returning, returning{x, f.now.Add(min(v.After, x.Wait))})
	}
	return v
}

// returnCallers lets the callers return whose time has come. They are not counted as further
// requests.
func (f *fleet) returnCallers() {
	attempted, admitted := f.attempted, f.admitted
	f.returning = slices.DeleteFunc(f.returning, func(r returning) bool {
		if r.at.After(f.now) {
			return false
		}
		if i := f.rng.IntN(len(f.nodes)); !f.nodes[i].dead && !f.nodes[i].frozen {
			f.ask(i, r.Question)
		}
		return true
	})
	f.attempted, f.admitted = attempted, admitted
}

// newSettledFleetWith returns a settled fleet with both settings on.
func newSettledFleetWith(n int, seed uint64) *fleet {
	f := newFleet(n, min(n/2, 5), seed)
	f.reserve, f.returnTimes = true, true
	for i := range f.nodes {
		f.startProcess(i, nil)
	}
	f.idle(10 * time.Second)
	return f
}

// An account stays within its limit in every window with the reserve and the return times too, under
// the same faults and with stops. Guards against tokens that are granted once to a place and once to
// another request, and against a reserve that comes on top of the limit. QUOTA_SEEDS=40 runs as many
// seeds as TestLimitUnderRandomFaults.
func TestLimitUnderRandomFaultsWithReturns(t *testing.T) {
	seeds := settingsSeeds(t)
	for n, runs := range map[int]uint64{3: seeds, 6: seeds, 8: seeds / 2, 24: max(seeds/13, 1), 95: seeds / 40} {
		for seed := range runs {
			t.Run(fmt.Sprint(n, "/", seed), func(t *testing.T) {
				t.Parallel()
				f := newSettledFleetWith(n, seed).simulateFaults(faultKinds + 1)
				require.LessOrEqual(t, f.peakWindow(), windowLimit())
			})
		}
	}
}
