package autoscaler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/autoscaler"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/cloudapi"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// startDelay is the time from the order of an endpoint until it serves.
const startDelay = 4 * time.Second

// kind is one kind of endpoint in a data centre.
type kind struct {
	dataCentre  string
	reclaimable bool
}

// cloud is a cloud that enters ordered endpoints into the store and marks surplus ones as
// draining.
type cloud struct {
	store *memstore.Store

	mu          sync.Mutex
	next        int
	have        map[kind][]string
	starting    map[kind]int
	outOfSupply bool // no reclaimable endpoints are available

	// loseOnDemand is the time after which the next on-demand order that grows the fleet is executed as
	// an order for one endpoint, or for its own count if keepCount is set, without an answer; zero if orders are answered.
	loseOnDemand time.Duration
	keepCount    bool
}

var errNoAnswer = errors.New("no answer")

func (c *cloud) Report(context.Context, cloudapi.Lease, int64, map[string]int) error { return nil }

func (c *cloud) Order(_ context.Context, _ cloudapi.Lease, o cloudapi.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := kind{o.DataCentre, o.Reclaimable}
	if d := c.loseOnDemand; d > 0 && !o.Reclaimable && o.Count > len(c.have[k]) {
		c.loseOnDemand = 0
		late := 1
		if c.keepCount {
			late = o.Count
		}
		time.AfterFunc(d, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.scale(k, late)
		})
		return errNoAnswer
	}
	return c.scale(k, o.Count)
}

// scale drains or starts endpoints until there are n of a kind. The caller holds c.mu.
func (c *cloud) scale(k kind, n int) error {
	for len(c.have[k]) > n {
		c.drain(k)
	}
	more := n - len(c.have[k]) - c.starting[k]
	if more > 0 && c.outOfSupply && k.reclaimable {
		return cloudapi.ErrFenced
	}
	for range max(more, 0) {
		c.starting[k]++
		time.AfterFunc(startDelay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.starting[k]--
			c.add(k)
		})
	}
	return nil
}

func (c *cloud) add(k kind) {
	c.next++
	id := fmt.Sprint("i", c.next)
	c.put(id, k, false)
	c.have[k] = append(c.have[k], id)
}

func (c *cloud) put(id string, k kind, draining bool) {
	b, _ := json.Marshal(endpoint.Endpoint{ID: id, Service: "s", DataCentre: k.dataCentre, Reclaimable: k.reclaimable, Draining: draining})
	c.store.Set("e/"+id, string(b))
}

func (c *cloud) drain(k kind) {
	id := c.have[k][0]
	c.have[k] = c.have[k][1:]
	c.put(id, k, true)
}

// reclaim reclaims all reclaimable endpoints of a data centre. Their records only say that
// they drain.
func (c *cloud) reclaim(dc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outOfSupply = true
	for k := (kind{dc, true}); len(c.have[k]) > 0; {
		c.drain(k)
	}
}

// count returns how many endpoints of a kind serve or are starting.
func (c *cloud) count(reclaimable bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, dc := range dataCentres {
		k := kind{dc, reclaimable}
		n += len(c.have[k]) + c.starting[k]
	}
	return n
}

var dataCentres = []string{"a", "b", "c"}

// fleet is a service whose size is controlled by an autoscaler.Autoscaler.
type fleet struct {
	*cloud
	t *testing.T

	mu          sync.Mutex
	tokens      float64  // demand in each data centre, in prompt tokens per second
	partitioned string   // the data centre that does not report its demand
	limited     []string // endpoints that accept a bounded rate of requests
}

// start returns a fleet with a number of on-demand endpoints in each data centre. Listed is
// how many of them are in the store at once; the others follow a second later.
func start(t *testing.T, onDemand, listed int) *fleet {
	t.Helper()
	return startWithMax(t, onDemand, listed, 12)
}

// startWithMax is start with at most maxPerSite endpoints in each data centre.
func startWithMax(t *testing.T, onDemand, listed, maxPerSite int) *fleet {
	t.Helper()
	m := &memstore.Store{}
	text, err := json.Marshal(catalog.Document{Version: 1, Services: []catalog.Service{{
		Name: "s", Scaling: &catalog.Scaling{Min: 1, Max: maxPerSite, Prices: map[string]float64{"a": 0.8, "b": 1, "c": 1.2}},
	}}})
	require.NoError(t, err)
	m.Set("config", string(text))
	f := &fleet{t: t, cloud: &cloud{store: m, have: map[kind][]string{}, starting: map[kind]int{}}}
	list := func(n int) {
		f.cloud.mu.Lock()
		defer f.cloud.mu.Unlock()
		for _, dc := range dataCentres {
			for range n {
				f.add(kind{dc, false})
			}
		}
	}
	list(listed)
	time.AfterFunc(time.Second, func() { list(onDemand - listed) })
	s := storesession.New(m, zerolog.Nop())
	k := fleetstate.New(fleetstate.Source{
		ConfigKey: "config", EndpointsPrefix: "e/",
		DecodeConfig: func(v []byte) (*catalog.Document, error) {
			var d catalog.Document
			return &d, json.Unmarshal(v, &d)
		},
		DecodeEndpoint: func(k string, v []byte) (endpoint.Endpoint, error) {
			var e endpoint.Endpoint
			return e, json.Unmarshal(v, &e)
		},
	}, m, zerolog.Nop())
	e := &election.Election{Store: m, Key: "duty", Box: "box", Term: 3 * time.Second, Log: zerolog.Nop()}
	a := autoscaler.New(zerolog.Nop())
	a.Box, a.Cloud, a.Election, a.Policy = "box", f, e, scaling.Default
	a.Demand = func(string) map[string]demand.Stats {
		f.mu.Lock()
		defer f.mu.Unlock()
		out := map[string]demand.Stats{}
		for _, dc := range dataCentres {
			if dc != f.partitioned {
				out[dc] = demand.Stats{Tokens: f.tokens}
			}
		}
		return out
	}
	a.Limited = func(e endpoint.Endpoint) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Contains(f.limited, e.ID)
	}
	a.Capacity = func(string, int, time.Duration) scaling.Capacity {
		c := estimate.Capacity{TokensPerSecond: 20_000, Running: 40}
		return scaling.Capacity{Reclaimable: c, OnDemand: c}
	}
	n := &kernel.Kernel{}
	services := []kernel.Service{s, k, e, a}
	for _, x := range services {
		require.NoError(t, n.Add(x))
		require.NoError(t, x.Start(t.Context(), n))
	}
	f.cleanup(services)
	return f
}

func (f *fleet) cleanup(ss []kernel.Service) {
	f.t.Cleanup(func() {
		slices.Reverse(ss)
		for _, x := range ss {
			require.NoError(f.t, x.Stop(context.Background()), strings.ToLower(x.Name()))
		}
	})
}

// setDemand sets the demand of each data centre in prompt tokens per second.
func (f *fleet) setDemand(tokens float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens = tokens
}

func (f *fleet) advance(d time.Duration) { wait.For(f.t.Context(), d) }

// An initial fleet on demand is replaced by reclaimable endpoints, and is not given up
// before these serve. Endpoints that are listed late belong to it as well.
func TestInitialFleetReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 1)
		f.advance(7 * time.Second)
		require.Equal(t, 12, f.count(false))
		f.advance(20 * time.Second)
		require.Equal(t, 1, f.count(false))
		require.GreaterOrEqual(t, f.count(true), 2*9)
	})
}

// Without callers the load cannot swing, so the initial fleet is given up as soon as its
// replacement serves.
func TestIdleFleetScalesDownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 4)
		for f.count(true) == 0 {
			f.advance(10 * time.Millisecond)
		}
		f.advance(startDelay + 900*time.Millisecond)
		require.Equal(t, 1, f.count(false))
	})
}

// The first demand orders nothing, since the speed of the endpoints is unknown. After some
// seconds it does.
func TestFirstDemandIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 4)
		f.advance(15 * time.Second)
		before := f.count(true)
		f.setDemand(200_000)
		f.advance(2 * time.Second)
		require.Equal(t, before, f.count(true))
		f.advance(4 * time.Second)
		require.Greater(t, f.count(true), before)
	})
}

// When the reclaimable endpoints of a data centre are reclaimed, of which draining is the
// only sign, the insured share of the load after another such loss is ordered on demand at
// once. These endpoints are given up when reclaimable ones serve again.
func TestReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.setDemand(60_000)
		f.advance(40 * time.Second)
		require.Equal(t, 1, f.count(false))
		f.reclaim("a")
		f.advance(time.Second)
		require.Equal(t, 6, f.count(false))
		f.advance(15 * time.Second)
		f.cloud.mu.Lock()
		f.outOfSupply = false
		f.cloud.mu.Unlock()
		f.advance(30 * time.Second)
		require.Equal(t, 1, f.count(false))
	})
}

// Endpoints that accept a bounded rate are replaced, and their replacements are given up
// once they accept any rate again. If endpoints that accept one request per second counted
// as capacity, nothing would be ordered, the few others would carry all of the load, and
// streams would miss their deadlines.
func TestLimitedEndpointsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.setDemand(60_000)
		f.advance(40 * time.Second)
		before := f.count(true)
		f.setLimited(f.reclaimableIDs(3))
		f.advance(10 * time.Second)
		require.Equal(t, before+3, f.count(true))
		f.setLimited(nil)
		f.advance(20 * time.Second)
		require.Equal(t, before, f.count(true))
	})
}

// setLimited sets which endpoints accept a bounded rate of requests only.
func (f *fleet) setLimited(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limited = ids
}

// reclaimableIDs returns n reclaimable endpoints of one data centre.
func (f *fleet) reclaimableIDs(n int) []string {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	return slices.Clone(f.have[kind{"a", true}][:n])
}

// The records of the endpoints of a partitioned data centre expire, but the endpoints still
// serve, so the orders there remain unchanged.
func TestPartitionIsNoReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.setDemand(60_000)
		f.advance(40 * time.Second)
		before := f.count(true)
		f.partition("a")
		f.advance(6 * time.Second)
		require.Equal(t, before, f.count(true))
	})
}

// partition makes a data centre unreachable: its demand is not reported, and the records of
// its endpoints expire.
func (f *fleet) partition(dc string) {
	f.mu.Lock()
	f.partitioned = dc
	f.mu.Unlock()
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	for _, r := range []bool{false, true} {
		for _, id := range f.have[kind{dc, r}] {
			f.store.Delete("e/" + id)
		}
	}
}

// A load that swings faster than the scale-down delay starts no endpoints.
func TestDemandSwings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.setDemand(60_000)
		f.advance(40 * time.Second)
		n := f.next
		for range 10 {
			f.setDemand(30_000)
			f.advance(3 * time.Second)
			f.setDemand(60_000)
			f.advance(3 * time.Second)
		}
		require.Equal(t, n, f.next)
	})
}

// Most of a large surplus is given up within seconds, and the rest once the wanted count has
// stayed about the same for the scale-down delay. If every small change of the wanted count
// restarted the delay, an initial fleet of many times the needed size would never shrink.
func TestSurplusScaledDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startWithMax(t, 400, 400, 1000)
		f.advance(15 * time.Second)
		require.GreaterOrEqual(t, f.count(true), 1200)
		oscillate := func(d time.Duration) {
			for i := range int(d / (400 * time.Millisecond)) {
				f.setDemand(float64(600_000 + 20_000*(i%3)))
				f.advance(400 * time.Millisecond)
			}
		}
		// Three data centres need 1.8 to 1.9 million tokens per second, which is 93 endpoints.
		oscillate(8 * time.Second)
		require.LessOrEqual(t, f.count(true), 3*2*73)
		require.GreaterOrEqual(t, f.count(true), 3*70)
		oscillate(24 * time.Second)
		require.LessOrEqual(t, f.count(true), 3*80)
		require.GreaterOrEqual(t, f.count(true), 3*68)
	})
}

// An order without an answer that is executed after newer ones must be undone at once, and not when
// an accepted order whose endpoints don't appear is repeated.
func TestOrderExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 4)
		f.setDemand(60_000)
		f.advance(30 * time.Second)
		f.cloud.mu.Lock()
		f.loseOnDemand = 5 * time.Second
		f.cloud.mu.Unlock()
		for _, dc := range dataCentres {
			f.reclaim(dc)
		}
		f.advance(4500 * time.Millisecond)
		before := f.count(false)
		require.GreaterOrEqual(t, before, 9)
		f.advance(2500 * time.Millisecond)
		require.Equal(t, before, f.count(false), "lost endpoints are ordered again")
	})
}

// Guards against endpoints that stay for good since an order for more without an answer is executed after a newer one for fewer.
func TestLargerOrderExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lateBy = 16 * time.Second
		f := start(t, 3, 3)
		f.setDemand(60_000)
		f.advance(40 * time.Second)
		require.Equal(t, 1, f.count(false))
		f.cloud.mu.Lock()
		f.loseOnDemand, f.keepCount = lateBy, true
		f.cloud.mu.Unlock()
		f.reclaim("a")
		f.advance(2 * time.Second)
		require.Equal(t, 6, f.count(false))
		f.cloud.mu.Lock()
		f.outOfSupply = false
		f.cloud.mu.Unlock()
		f.advance(lateBy - 3*time.Second)
		require.Equal(t, 1, f.count(false))
		f.advance(startDelay)
		require.Greater(t, f.count(false), 1, "the order is executed late")
		f.advance(4 * time.Second)
		require.Equal(t, 1, f.count(false))
	})
}

// Guards against endpoints that are given up after a pause of the box: that fewer were wanted for the scale-down delay of 1.5 s
// must have been seen, and not only before and after the pause.
func TestPauseIsNoScaleDownDelay(t *testing.T) {
	const poll = 410 * time.Millisecond // a little more than between two computations of the counts
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		for _, pause := range []time.Duration{0, 900 * time.Millisecond, 1600 * time.Millisecond} {
			t.Run(pause.String()+" "+offset.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := start(t, 3, 3)
					f.setDemand(60_000)
					f.advance(40 * time.Second)
					f.reclaim("a")
					f.advance(3*time.Second + offset)
					n := f.count(false)
					require.Equal(t, 6, n)
					f.setDemand(5_000)
					f.advance(poll)
					boottime.SimulateSuspension(pause)
					f.advance(2 * poll)
					require.Equal(t, n, f.count(false))
					f.advance(10 * time.Second)
					require.Less(t, f.count(false), n)
				})
			})
		}
	}
}
