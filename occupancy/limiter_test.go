package occupancy_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/occupancy"
)

var epoch = time.Unix(1_000_000, 0)

// share is a lease of a fixed share.
type share float64

func (s share) Accrued(string, time.Time) (seconds, part float64) { return 0, float64(s) }

func ExampleLimiter() {
	l := &occupancy.Limiter{Leases: share(1)}
	q := occupancy.Question{Endpoint: "e", Holder: "r-1", Room: 1, RefusalsPerSecond: 5, TTL: time.Minute}
	fmt.Println(l.Ask(q, epoch).OK)
	q.Holder = "r-2"
	fmt.Println(l.Ask(q, epoch).OK)
	l.Return(occupancy.Return{Endpoint: "e", Holder: "r-1"}, epoch)
	fmt.Println(l.Ask(q, epoch).OK)
	// Output:
	// true
	// false
	// true
}

// A place lapses if it is not returned, so that a box that ends takes none with it.
func TestPlaceLapses(t *testing.T) {
	l := &occupancy.Limiter{Leases: share(1)}
	ask := func(holder string, after time.Duration) bool {
		q := occupancy.Question{Endpoint: "e", Holder: holder, Room: 1, RefusalsPerSecond: 5, TTL: time.Second}
		return l.Ask(q, epoch.Add(after)).OK
	}
	require.True(t, ask("a", 0))
	require.True(t, ask("a", 0), "the answer was lost")
	require.False(t, ask("b", 999*time.Millisecond))
	require.True(t, ask("b", time.Second))
}

// A box to which no share is leased gives no place.
func TestNoShare(t *testing.T) {
	l := &occupancy.Limiter{Leases: share(0)}
	a := l.Ask(occupancy.Question{Endpoint: "e", Holder: "a", Room: 9, RefusalsPerSecond: 5}, epoch)
	require.False(t, a.OK)
	require.Zero(t, a.Part)
	l.Return(occupancy.Return{Endpoint: "e", Holder: "a", Refused: true}, epoch)
}

// load is a course of requests at one endpoint that has less room than it states, from boxes which
// ask the arbiters for places.
type load struct {
	arbiters []*occupancy.Limiter
	slots    int // stated
	room     int // that there is
	refusals float64
	perSec   float64 // requests
	work     time.Duration
}

// step is the time in which a message between boxes or to an endpoint arrives.
const step = 2 * time.Millisecond

// request is a request that holds a place.
type request struct {
	arbiter *occupancy.Limiter
	holder  string
	ends    int // step in which the endpoint has answered
	refused bool
}

// run returns the most refusals within a second after the first three seconds, and the part of the
// room that was used.
func (l load) run(seed uint64, length time.Duration) (most int, used float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var refused []int
	sent, done := map[int][]request{}, map[int][]request{}
	running, busy, steps, settled := 0, 0, int(length/step), int(3*time.Second/step)
	for n := range steps {
		now := epoch.Add(time.Duration(n) * step)
		for _, q := range done[n] {
			if !q.refused {
				running--
			}
			q.arbiter.Return(occupancy.Return{Endpoint: "e", Holder: q.holder, Refused: q.refused}, now)
		}
		for _, q := range sent[n] {
			if running >= l.room {
				q.refused, q.ends = true, n+1
				if n > settled {
					refused = append(refused, n)
				}
			} else {
				running++
				q.ends = n + 1 + int(r.ExpFloat64()*float64(l.work/step))
			}
			done[q.ends] = append(done[q.ends], q)
		}
		if n > settled {
			busy += running
		}
		for i := 0; r.Float64() < l.perSec*step.Seconds() && i < 9; i++ {
			q := occupancy.Question{Endpoint: "e", Holder: fmt.Sprint(n, "-", i), Room: l.slots, RefusalsPerSecond: l.refusals, TTL: 10 * time.Second}
			for _, k := range r.Perm(len(l.arbiters)) {
				if l.arbiters[k].Ask(q, now).OK {
					sent[n+1] = append(sent[n+1], request{arbiter: l.arbiters[k], holder: q.Holder})
					break
				}
			}
		}
	}
	for i := range refused {
		n := 0
		for _, at := range refused[i:] {
			if time.Duration(at-refused[i])*step < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, float64(busy) / float64(steps-settled) / float64(l.room)
}

// seeds returns the number of courses, 2 unless OCCUPANCY_SEEDS says otherwise.
func seeds(t *testing.T) int {
	t.Helper()
	v := os.Getenv("OCCUPANCY_SEEDS")
	if v == "" {
		return 2
	}
	n, err := strconv.Atoi(v)
	require.NoError(t, err)
	return n
}

// An endpoint that has less room than it states refuses fewer requests than it bears, and most of its
// room is used. The load is three times what it can run.
func TestRefusalsAreBounded(t *testing.T) {
	for _, refusals := range []float64{2, 5, 20} {
		for _, room := range []int{6, 24, 100} {
			for seed := range uint64(seeds(t)) {
				l := load{slots: room * 3 / 2, room: room, refusals: refusals, work: 300 * time.Millisecond}
				l.perSec = 3 * float64(room) / l.work.Seconds()
				l.arbiters = []*occupancy.Limiter{{Leases: share(0.5)}, {Leases: share(0.5)}}
				most, used := l.run(seed, time.Minute)
				require.LessOrEqual(t, float64(most), refusals, "room %d, seed %d", room, seed)
				require.Greater(t, used, 0.6, "room %d, refusals %v, seed %d", room, refusals, seed)
			}
		}
	}
}

// An endpoint that has the room which it states refuses nothing, and its room is used.
func TestStatedRoomIsUsed(t *testing.T) {
	for _, room := range []int{2, 6, 128} {
		l := load{slots: room, room: room, refusals: 1, work: 100 * time.Millisecond}
		l.perSec = 3 * float64(room) / l.work.Seconds()
		l.arbiters = []*occupancy.Limiter{{Leases: share(0.5)}, {Leases: share(0.5)}}
		most, used := l.run(1, time.Minute)
		require.Zero(t, most, room)
		require.Greater(t, used, 0.8, room)
	}
}
