package orders_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/cloudapi"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/orders"
	"birchlink.dev/birchlink/scaling"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/wait"
)

// boot is how long an endpoint takes from its order until it serves.
const boot = 4 * time.Second

// kind is one kind of endpoint in a data centre.
type kind struct {
	dataCentre  string
	reclaimable bool
}

// cloud carries orders out: it enters endpoints into the store and has them drain.
type cloud struct {
	store *memstore.Memory

	mu     sync.Mutex
	next   int
	have   map[kind][]string
	coming map[kind]int
	dry    bool // no reclaimable endpoint can be had
}

func (l *cloud) Report(context.Context, cloudapi.Duty, int64, map[string]int) error { return nil }

func (l *cloud) Order(_ context.Context, _ cloudapi.Duty, o cloudapi.Order) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := kind{o.DataCentre, o.Reclaimable}
	for len(l.have[k]) > o.Count {
		l.drain(k)
	}
	more := o.Count - len(l.have[k]) - l.coming[k]
	if more > 0 && l.dry && o.Reclaimable {
		return cloudapi.ErrFenced
	}
	for range max(more, 0) {
		l.coming[k]++
		time.AfterFunc(boot, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.coming[k]--
			l.add(k)
		})
	}
	return nil
}

func (l *cloud) add(k kind) {
	l.next++
	id := fmt.Sprint("i", l.next)
	l.put(id, k, false)
	l.have[k] = append(l.have[k], id)
}

func (l *cloud) put(id string, k kind, draining bool) {
	b, _ := json.Marshal(endpoint.Endpoint{ID: id, Service: "s", DataCentre: k.dataCentre, Reclaimable: k.reclaimable, Draining: draining})
	l.store.Set("e/"+id, string(b))
}

func (l *cloud) drain(k kind) {
	id := l.have[k][0]
	l.have[k] = l.have[k][1:]
	l.put(id, k, true)
}

// reclaim takes all reclaimable endpoints of a data centre: each says that it
// drains, and no more than that.
func (l *cloud) reclaim(dc string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dry = true
	for k := (kind{dc, true}); len(l.have[k]) > 0; {
		l.drain(k)
	}
}

// count returns how many endpoints serve or are on their way.
func (l *cloud) count(reclaimable bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, dc := range dataCentres {
		k := kind{dc, reclaimable}
		n += len(l.have[k]) + l.coming[k]
	}
	return n
}

var dataCentres = []string{"a", "b", "c"}

// fleet is a service with its orders. Tokens is what each data centre's boxes
// have to have read a second.
type fleet struct {
	*cloud
	t *testing.T

	mu     sync.Mutex
	tokens float64
	cut    string   // the data centre that is not heard
	slow   []string // endpoints that take a bounded rate
}

// start begins with endpoints on demand in each data centre; found says how many
// of them are listed at once, and the others follow a second later.
func start(t *testing.T, onDemand, found int) *fleet {
	t.Helper()
	return startMost(t, onDemand, found, 12)
}

// startMost is start where a data centre may have so many endpoints.
func startMost(t *testing.T, onDemand, found, most int) *fleet {
	t.Helper()
	m := &memstore.Memory{}
	text, err := json.Marshal(catalog.Document{Version: 1, Services: []catalog.Service{{
		Name: "s", Scaling: &catalog.Scaling{Min: 1, Max: most, Prices: map[string]float64{"a": 0.8, "b": 1, "c": 1.2}},
	}}})
	require.NoError(t, err)
	m.Set("config", string(text))
	f := &fleet{t: t, cloud: &cloud{store: m, have: map[kind][]string{}, coming: map[kind]int{}}}
	list := func(n int) {
		f.cloud.mu.Lock()
		defer f.cloud.mu.Unlock()
		for _, dc := range dataCentres {
			for range n {
				f.add(kind{dc, false})
			}
		}
	}
	list(found)
	time.AfterFunc(time.Second, func() { list(onDemand - found) })
	s := session.New(m, zerolog.Nop())
	k := known.New(known.Source{
		ConfigKey: "config", EndpointsPrefix: "e/",
		Document: func(v []byte) (*catalog.Document, error) {
			var d catalog.Document
			return &d, json.Unmarshal(v, &d)
		},
		Endpoint: func(k string, v []byte) (endpoint.Endpoint, error) {
			var e endpoint.Endpoint
			return e, json.Unmarshal(v, &e)
		},
	}, m, zerolog.Nop())
	e := &election.Election{Store: m, Key: "duty", Box: "box", Term: 3 * time.Second, Log: zerolog.Nop()}
	o := orders.New(zerolog.Nop())
	o.Box, o.Cloud, o.Election, o.Policy = "box", f, e, scaling.Default
	o.Demand = func(string) map[string]demand.Stats {
		f.mu.Lock()
		defer f.mu.Unlock()
		out := map[string]demand.Stats{}
		for _, dc := range dataCentres {
			if dc != f.cut {
				out[dc] = demand.Stats{Tokens: f.tokens}
			}
		}
		return out
	}
	o.Limited = func(e endpoint.Endpoint) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Contains(f.slow, e.ID)
	}
	o.Bears = func(string, int, time.Duration) scaling.Bears {
		b := estimate.Bearable{Tokens: 20_000, Running: 40}
		return scaling.Bears{Reclaimable: b, OnDemand: b}
	}
	n := &kernel.Kernel{}
	services := []kernel.Service{s, k, e, o}
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

func (f *fleet) ask(tokens float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens = tokens
}

func (f *fleet) pass(d time.Duration) { wait.For(f.t.Context(), d) }

// A fleet that is found on demand is replaced by reclaimable endpoints, and is not
// given up before those serve. Endpoints that are listed late count as well.
func TestFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 1)
		f.pass(7 * time.Second)
		require.Equal(t, 12, f.count(false))
		f.pass(20 * time.Second)
		require.Equal(t, 1, f.count(false))
		require.GreaterOrEqual(t, f.count(true), 2*9)
	})
}

// What was found is given up as soon as what replaces it serves, while there are no
// callers whose load could swing.
func TestReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 4)
		for f.count(true) == 0 {
			f.pass(10 * time.Millisecond)
		}
		f.pass(boot + 900*time.Millisecond)
		require.Equal(t, 1, f.count(false))
	})
}

// The first callers order nothing, as nothing is known of the endpoints' speed yet; after
// some seconds their load does.
func TestFirstCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 4, 4)
		f.pass(15 * time.Second)
		before := f.count(true)
		f.ask(200_000)
		f.pass(2 * time.Second)
		require.Equal(t, before, f.count(true))
		f.pass(4 * time.Second)
		require.Greater(t, f.count(true), before)
	})
}

// When a data centre's reclaimable endpoints are taken, which they tell by
// draining only, the insured part of what another such loss would leave missing is
// ordered on demand at once; it is given up when reclaimable ones serve again.
func TestReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.ask(60_000)
		f.pass(40 * time.Second)
		require.Equal(t, 1, f.count(false))
		f.reclaim("a")
		f.pass(time.Second)
		require.Equal(t, 6, f.count(false))
		f.pass(15 * time.Second)
		f.cloud.mu.Lock()
		f.dry = false
		f.cloud.mu.Unlock()
		f.pass(30 * time.Second)
		require.Equal(t, 1, f.count(false))
	})
}

// Endpoints that took one request a second each were counted as if they carried their part of the
// load, and nothing was ordered for them: two others carried all, with up to 72 requests under way,
// and one stream in thirty failed, most at their deadline.
// Endpoints that take a bounded rate are stood in for, and no longer once they take any rate.
func TestLimitedAreStoodInFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.ask(60_000)
		f.pass(40 * time.Second)
		before := f.count(true)
		f.limit(f.some(3))
		f.pass(10 * time.Second)
		require.Equal(t, before+3, f.count(true))
		f.limit(nil)
		f.pass(20 * time.Second)
		require.Equal(t, before, f.count(true))
	})
}

// limit lets some endpoints take a bounded rate, and the others any.
func (f *fleet) limit(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = ids
}

// some returns some reclaimable endpoints of one data centre.
func (f *fleet) some(n int) []string {
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	return slices.Clone(f.have[kind{"a", true}][:n])
}

// A data centre that is cut off, whose endpoints' records lapse, has not lost them:
// what is ordered there stays.
func TestCutIsNoReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.ask(60_000)
		f.pass(40 * time.Second)
		before := f.count(true)
		f.hide("a")
		f.pass(6 * time.Second)
		require.Equal(t, before, f.count(true))
	})
}

// hide cuts a data centre off.
func (f *fleet) hide(dc string) {
	f.mu.Lock()
	f.cut = dc
	f.mu.Unlock()
	f.cloud.mu.Lock()
	defer f.cloud.mu.Unlock()
	for _, r := range []bool{false, true} {
		for _, id := range f.have[kind{dc, r}] {
			f.store.Unset("e/" + id)
		}
	}
}

// A load that swings within the time in which a smaller count settles changes
// nothing.
func TestSwings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 3, 3)
		f.ask(60_000)
		f.pass(40 * time.Second)
		n := f.next
		for range 10 {
			f.ask(30_000)
			f.pass(3 * time.Second)
			f.ask(60_000)
			f.pass(3 * time.Second)
		}
		require.Equal(t, n, f.next)
	})
}

// 9,695 endpoints that were found stood in for each other, 27 times what the load needed, for all
// of a day: the count that was wanted went up and down by a few with the load, which began the time
// anew after which a smaller one is ordered. Most of a large surplus goes within seconds, and the
// rest when the count has been about the same for as long as before.
func TestSurplusGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startMost(t, 400, 400, 1000)
		f.pass(15 * time.Second)
		require.GreaterOrEqual(t, f.count(true), 1200)
		wave := func(d time.Duration) {
			for i := range int(d / (400 * time.Millisecond)) {
				f.ask(float64(600_000 + 20_000*(i%3)))
				f.pass(400 * time.Millisecond)
			}
		}
		// Three data centres ask for 1.8 to 1.9 million tokens a second: 93 endpoints bear them.
		wave(8 * time.Second)
		require.LessOrEqual(t, f.count(true), 3*2*73)
		require.GreaterOrEqual(t, f.count(true), 3*70)
		wave(24 * time.Second)
		require.LessOrEqual(t, f.count(true), 3*80)
		require.GreaterOrEqual(t, f.count(true), 3*68)
	})
}
