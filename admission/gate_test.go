package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/errkind"
)

func newRequest(account string, k admission.Kind) admission.Request {
	return admission.Request{Account: account, Kind: k, Weight: 1, Rate: 1e6}
}

var limits = admission.Limits{Slots: 40, RateShare: 1, PlainSlots: 40}

// fill enters requests until one is refused, and returns the number admitted.
func fill(t require.TestingT, g *admission.Gate, r admission.Request, now time.Time) int {
	for n := range 1000 {
		if _, err := g.Enter(r, limits, now); err != nil {
			require.True(t, errkind.Is(err, errkind.Overloaded))
			require.Positive(t, errkind.Of(err).RetryAfter)
			return n
		}
	}
	return 1000
}

// Tests that requests of a kind that is not urgent leave the reserve to urgent ones.
func TestReserveForUrgentKinds(t *testing.T) {
	g := admission.Gate{Reserve: 0.25}
	drafts := fill(t, &g, newRequest("a", admission.Draft), time.Now())
	require.Equal(t, 45, drafts)
	require.Equal(t, 15, fill(t, &g, newRequest("b", admission.Alert), time.Now()))
}

// Tests that capacity released by an account that used all of it goes to another account up to that
// account's share.
func TestFairShareByAccount(t *testing.T) {
	var g admission.Gate
	now := time.Now()
	var release []func()
	for {
		f, err := g.Enter(newRequest("large", admission.Draft), limits, now)
		if err != nil {
			break
		}
		release = append(release, f)
	}
	_, err := g.Enter(newRequest("small", admission.Draft), limits, now)
	require.Error(t, err, "the room is full")
	for _, f := range release[:20] {
		f()
	}
	require.Equal(t, 20, fill(t, &g, newRequest("small", admission.Draft), now))
	_, err = g.Enter(newRequest("large", admission.Draft), limits, now)
	require.Error(t, err)
}

// Tests that after any sequence of admitted and ended requests the whole capacity is available.
func TestReleaseRestoresCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g admission.Gate
		now := time.Now()
		var release []func()
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			r := newRequest(rapid.StringMatching("[a-c]").Draw(t, "account"), rapid.SampledFrom(admission.Kinds()).Draw(t, "kind"))
			r.Plain = rapid.Bool().Draw(t, "plain")
			if f, err := g.Enter(r, limits, now); err == nil {
				release = append(release, f)
			}
			if len(release) > 0 && rapid.Bool().Draw(t, "leave") {
				release[0]()
				release = release[1:]
			}
		}
		for _, f := range release {
			f()
		}
		now = now.Add(time.Hour)
		require.Equal(t, 60, fill(t, &g, newRequest("fresh", admission.Draft), now))
	})
}

// Tests that boxes which divide the rate of an account admit no more together than the rate.
func TestRateHoldsAcrossBoxes(t *testing.T) {
	now := time.Now()
	boxes := make([]admission.Gate, 4)
	shares := []float64{0.4, 0.3, 0.2, 0.1}
	admitted := 0
	const seconds = 20
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for i := range boxes {
			r := admission.Request{Account: "a", Kind: admission.Tick, Weight: 1, Rate: 50, Plain: true}
			if f, err := boxes[i].Enter(r, admission.Limits{RateShare: shares[i], PlainSlots: 1e6}, now); err == nil {
				admitted++
				f()
			} else {
				require.True(t, errkind.Is(err, errkind.LimitReached))
			}
		}
	}
	require.InDelta(t, 50*(seconds+2), admitted, 50)
}

func BenchmarkEnter(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			g := admission.Gate{Reserve: 0.2}
			now := time.Now()
			rs := make([]admission.Request, n)
			for i := range rs {
				rs[i] = newRequest(fmt.Sprint(i), admission.Draft)
			}
			m := admission.Limits{Slots: 1e6, RateShare: 1}
			for i := 0; b.Loop(); i++ {
				if f, err := g.Enter(rs[i%n], m, now); err == nil {
					f()
				}
			}
		})
	}
}
