package accuracy_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/accuracy"
)

var key = accuracy.Key{Service: "s", Route: "r"}

// A ratio above the true quantile would make the deadline check refuse requests that could be served.
func TestQuantileIsNotTooHigh(t *testing.T) {
	var k accuracy.Tracker
	now := time.Now()
	for i := range 100 {
		k.Observe(key, time.Second, time.Duration(i+1)*100*time.Millisecond, now)
	}
	for _, p := range []float64{0.05, 0.25, 0.5, 0.95} {
		ratio, samples := k.Quantile(key, p, now)
		require.InDelta(t, 100, samples, 1e-9)
		require.LessOrEqual(t, ratio, 10*p+1e-9)
		require.Greater(t, ratio, 10*p*0.83)
	}
}

// Old errors say nothing about the present load. Samples of another route or without a prediction
// must not count.
func TestSamplesDecay(t *testing.T) {
	var k accuracy.Tracker
	now := time.Now()
	for range 40 {
		k.Observe(key, time.Second, 3*time.Second, now)
		k.Observe(key, 0, time.Hour, now)
	}
	_, samples := k.Quantile(key, 0.5, now.Add(10*time.Second))
	require.InDelta(t, 40/math.Sqrt2, samples, 1e-6)
	_, samples = k.Quantile(accuracy.Key{Service: "s", Route: "other"}, 0.5, now)
	require.Zero(t, samples)
}

// Errors of an outage must not refuse all requests after it: if all are refused, no answers arrive that
// would show the recovery.
func TestSamplesEndWithoutNewOnes(t *testing.T) {
	var k accuracy.Tracker
	now := time.Now()
	for range 10_000 {
		k.Observe(key, time.Millisecond, time.Second, now)
	}
	now = now.Add(10*time.Second + 1)
	_, samples := k.Quantile(key, 0.25, now)
	require.Zero(t, samples)
	k.Observe(key, time.Second, time.Second, now)
	ratio, samples := k.Quantile(key, 0.25, now)
	require.InDelta(t, 1, ratio, 1e-9)
	require.InDelta(t, 1, samples, 1e-9)
}

// Ratios beyond the bins count in the first or the last one, and the first one has the bound 0.
func TestExtremeRatios(t *testing.T) {
	var k accuracy.Tracker
	now := time.Now()
	k.Observe(key, time.Hour, 0, now)
	ratio, _ := k.Quantile(key, 1, now)
	require.Zero(t, ratio)
	k.Observe(key, 1, time.Hour, now)
	ratio, _ = k.Quantile(key, 1, now)
	require.Greater(t, ratio, 50.0)
}
