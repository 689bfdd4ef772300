package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/ledger"
)

// fakeStore holds one page in memory. Each call takes 1 ms. A swap fails with an unknown result with
// probability lossRate before it takes effect, and with the same probability after it.
type fakeStore struct {
	mu          sync.Mutex
	entry       kv.Entry
	swaps       int
	unavailable bool
	rng         *rand.Rand
	lossRate    float64
}

func (f *fakeStore) Get(context.Context, string) (kv.Entry, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return f.entry, nil
}

func (f *fakeStore) Swap(_ context.Context, e kv.Entry) (kv.Entry, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unavailable:
		return kv.Entry{}, kv.ErrUnavailable
	case f.rng.Float64() < f.lossRate:
		return kv.Entry{}, kv.ErrOutcomeUnknown
	case e.Rev != f.entry.Rev:
		return f.entry, kv.ErrConflict
	}
	f.swaps++
	f.entry = kv.Entry{Key: e.Key, Rev: f.entry.Rev + 1, Value: e.Value}
	if f.rng.Float64() < f.lossRate {
		return kv.Entry{}, kv.ErrOutcomeUnknown
	}
	return f.entry, nil
}

func newClaim(key, holder string, nonce uint64) ledger.Claim {
	k := ledger.NewKey("account", key)
	return ledger.Claim{Key: k[:], Holder: holder, Nonce: nonce, At: time.Now().Unix()}
}

// Two owners of a slot commit the same keys at the same time, while a quarter of the swaps are lost
// before they take effect, and a quarter of the answers after that. All callers that get an answer
// for a key get the same holder.
func TestTwoOwnersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rng: rand.New(rand.NewPCG(1, 2)), lossRate: 0.25}
		a := &committer{store: f, key: "p", ttl: time.Hour, interval: commitInterval}
		b := &committer{store: f, key: "p", ttl: time.Hour, interval: commitInterval}
		var mu sync.Mutex
		holders := map[string]map[string]bool{}
		var g sync.WaitGroup
		for n := range 400 {
			m, box := a, "box-a"
			if n%2 == 1 {
				m, box = b, "box-b"
			}
			key := fmt.Sprint(n / 4)
			g.Go(func() {
				c, err := m.submit(t.Context(), newClaim(key, box, uint64(n)), func(f func()) { g.Go(f) })
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if holders[key] == nil {
					holders[key] = map[string]bool{}
				}
				holders[key][fmt.Sprint(c.Holder, c.Nonce)] = true
			})
		}
		g.Wait()
		require.Len(t, holders, 100)
		for k, h := range holders {
			require.Len(t, h, 1, "key %s", k)
		}
		require.Less(t, f.swaps, 100, "claims are committed in groups")
	})
}

// A claim is refused, and the page unchanged, while the platform is unreachable.
func TestClaimRefusedWhileUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rng: rand.New(rand.NewPCG(1, 2)), unavailable: true}
		m := &committer{store: f, key: "p", ttl: time.Hour, interval: commitInterval}
		var g sync.WaitGroup
		_, err := m.submit(t.Context(), newClaim("k", "a", 1), func(f func()) { g.Go(f) })
		require.True(t, errkind.Is(err, errkind.ClaimUnavailable))
		require.Positive(t, errkind.Of(err).RetryAfter)
		g.Wait()
		require.Zero(t, f.entry.Rev)
	})
}

// A page that is nearly as large as the service's limit refuses claims, and accepts them again when
// old ones have expired.
func TestFullPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{rng: rand.New(rand.NewPCG(1, 2))}
		m := &committer{store: f, key: "p", ttl: time.Hour, interval: commitInterval}
		m.page = &ledger.Page{Claims: map[ledger.Key]ledger.Claim{}}
		holder := "0fd6a3a4-8f3c-4d0e-b6f9-4d8c1e0b2a77"
		for n := range maxPageBytes / 60 {
			m.page.Add(newClaim(fmt.Sprint(n), holder, uint64(n)))
		}
		var g sync.WaitGroup
		spawn := func(f func()) { g.Go(f) }
		_, err := m.submit(t.Context(), newClaim("more", holder, 1), spawn)
		require.True(t, errkind.Is(err, errkind.ClaimUnavailable), "%v", err)
		g.Wait()
		m.page = &ledger.Page{Claims: map[ledger.Key]ledger.Claim{}}
		m.page.Add(newClaim("old", holder, 1))
		time.Sleep(2 * time.Hour)
		_, err = m.submit(t.Context(), newClaim("new", holder, 2), spawn)
		require.NoError(t, err)
		g.Wait()
		p, err := ledger.Parse(f.entry.Value)
		require.NoError(t, err)
		require.Len(t, p.Claims, 1)
	})
}

// BenchmarkCommit measures expiring and encoding a page by its number of claims.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{100, 1000, 8000} {
		b.Run(fmt.Sprintf("page=%d", n), func(b *testing.B) {
			p := &ledger.Page{Claims: map[ledger.Key]ledger.Claim{}}
			for i := range n {
				p.Add(newClaim(fmt.Sprint(i), "0fd6a3a4-8f3c-4d0e-b6f9-4d8c1e0b2a77", uint64(i)))
			}
			size := 0
			for b.Loop() {
				p.Expire(time.Now(), time.Hour)
				v, err := p.Bytes()
				require.NoError(b, err)
				size = len(v)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/claim")
		})
	}
}
