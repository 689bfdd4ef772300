// Package accuracy measures how far observed times are from those that were predicted. It does no
// I/O: times are arguments.
package accuracy

import (
	"math"
	"sync"
	"time"
)

// halfLife is the half-life of a sample's weight. It equals that of the latency model's samples, so
// that the errors are those of the fit in use.
const halfLife = 20 * time.Second

// maxSilence is the time without a new sample after which the samples of a key are dropped. If they make
// every request be refused, no new ones arrive, although queues have emptied and endpoints recovered.
const maxSilence = 10 * time.Second

// Ratios are counted in bins of equal width on a logarithmic scale. With four bins for each doubling
// a quantile is off by at most a fifth. The first and the last bin hold all ratios beyond minRatio
// and its 2^(numBins/binsPerDoubling) multiple.
const (
	numBins         = 48
	binsPerDoubling = 4
	minRatio        = 1.0 / 64
)

// maxKeys bounds the number of keys. Samples of further keys are ignored.
const maxKeys = 256

// Key identifies predictions of the same kind. Requests of different routes wait differently at the
// endpoints of one service, because their ranks differ.
type Key struct {
	Service string
	Route   string
}

// Tracker keeps the distribution of the ratios of observed to predicted times by key. Old samples
// decay. Its zero value is ready to use, and its methods may be called concurrently.
type Tracker struct {
	mu         sync.Mutex
	histograms map[Key]*histogram
}

// histogram holds weighted counts of ratios. The weights are relative to updated.
type histogram struct {
	bins    [numBins]float64
	updated time.Time
	newest  time.Time // when the last sample was added
}

// Observe records a prediction and the time observed. Predictions that are not positive are ignored.
func (t *Tracker) Observe(k Key, predicted, observed time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histograms[k]
	if h == nil {
		if len(t.histograms) >= maxKeys {
			return
		}
		if t.histograms == nil {
			t.histograms = map[Key]*histogram{}
		}
		h = &histogram{updated: now, newest: now}
		t.histograms[k] = h
	}
	h.decay(now)
	h.bins[binOf(float64(observed)/float64(predicted))]++
	h.newest = now
}

// Quantile returns the ratio of observed to predicted times that the fraction p of the samples does
// not exceed, and the weighted number of samples. The ratio is 0 if there are none. It is the lower
// bound of the bin, so that it is never too high.
func (t *Tracker) Quantile(k Key, p float64, now time.Time) (ratio, samples float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histograms[k]
	if h == nil {
		return 0, 0
	}
	h.decay(now)
	for _, n := range h.bins {
		samples += n
	}
	sum := 0.0
	for i, n := range h.bins {
		if sum += n; n > 0 && sum >= p*samples {
			return lowerBound(i), samples
		}
	}
	return 0, samples
}

func (h *histogram) decay(now time.Time) {
	if now.Sub(h.newest) > maxSilence {
		h.bins = [numBins]float64{}
	}
	f := math.Exp2(-float64(now.Sub(h.updated)) / float64(halfLife))
	for i := range h.bins {
		h.bins[i] *= f
	}
	h.updated = now
}

// binOf returns the index of the bin of a ratio.
func binOf(ratio float64) int {
	if !(ratio > minRatio) {
		return 0
	}
	return int(min(math.Log2(ratio/minRatio)*binsPerDoubling, numBins-1))
}

// lowerBound returns the smallest ratio of a bin, which is 0 for the first.
func lowerBound(bin int) float64 {
	if bin == 0 {
		return 0
	}
	return minRatio * math.Exp2(float64(bin)/binsPerDoubling)
}
