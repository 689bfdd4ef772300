// Package speed estimates how fast the endpoints of a service are relative to each other. Boxes
// exchange their samples, since one box of a large fleet sends to an endpoint only once in some
// seconds. The package does no I/O; the time is an argument.
package speed

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/rendezvous"
)

const (
	// halfLife is the half-life of a sample's weight. Endpoints keep their speed, and at 6 requests
	// a second some 500 samples count, among which one slow period of 600 ms has 4.
	halfLife = time.Minute

	// priorCount is the number of samples at the mean speed that each endpoint is assumed to have:
	// one sample has a sixth of the weight, twenty have four fifths.
	priorCount = 5

	// maxDeviation bounds the difference of a sample from the estimate, as a logarithm. Single
	// answers take up to eight times the expected time, and those of slow periods 2.5 times, while
	// endpoints differ by 1.6 from the mean.
	maxDeviation = 0.5

	// minDeadBand is the logarithm of a factor that is treated as 1. A difference of 18% changes a
	// first event of 300 ms by 54 ms, which is less than one long prompt in the queue does. Load
	// reports that come late make the busiest of equally fast endpoints look up to 10% slower.
	minDeadBand = 0.18

	// sampleNoise is three times the standard deviation of a sample's logarithm, which its bounds
	// keep below maxDeviation. A factor within three times its standard error of 1 is not known to
	// differ from 1.
	sampleNoise = 1.5

	// maxLogFactor bounds the logarithm of a factor.
	maxLogFactor = 1.5
)

// Neighbouring classes differ by the factor classStep in speed. An endpoint leaves its class at a
// distance of classHysteresis steps: boxes with slightly different estimates must agree on classes,
// and with 0.5, the nearest class, an endpoint between two classes would change with each sample.
//
// The weights of neighbouring classes (rendezvous.ClassWeight) differ less than their speeds, since
// fast endpoints also get more of the other requests.
const (
	classStep       = 1.5
	classHysteresis = 0.65
)

// minTotal is the weight of samples below which an endpoint is forgotten.
const minTotal = 0.05

// Key identifies an incarnation of an endpoint in messages. It is shorter than its name, and a
// process that starts under the same ID has another key.
type Key uint64

// KeyOf returns the key of an endpoint. It does not allocate.
func KeyOf(e *endpoint.Endpoint) Key {
	return Key(rendezvous.WeightByHash(uint64(e.StartMillis), rendezvous.Hash(e.ID)))
}

// Rating is the estimated speed of one endpoint. Factor is the ratio of its times to the mean of its
// service; below 1 is faster. Class is its class for rendezvous hashing; above 0 is faster.
type Rating struct {
	Factor float64
	Class  int8

	startMillis int64
}

// Estimator estimates the speeds of endpoints from the samples of all boxes. Its zero value is ready
// to use, and its methods may be called concurrently.
type Estimator struct {
	mu      sync.Mutex
	totals  map[Key]*total
	unsent  map[string]map[Key]sums // samples that a receiver has not got, by receiver
	members map[string]*memberState // what members were told, while this box is a relay
	ratings atomic.Pointer[map[string]Rating]
}

// sums are the weight of samples and the weighted sum of their logarithms.
type sums struct{ count, sum float64 }

// logFactor returns the estimate, shrunk towards 0.
func (s sums) logFactor() float64 { return s.sum / (s.count + priorCount) }

// total holds the samples of one endpoint that are known here, decayed until time at.
type total struct {
	sums
	at    time.Time
	class int8
}

func (t *total) decay(now time.Time) {
	f := math.Exp2(-float64(max(now.Sub(t.at), 0)) / float64(halfLife))
	t.count, t.sum, t.at = t.count*f, t.sum*f, now
}

// Observe records that this box observed a time of an endpoint, as a ratio to what the model of the
// service predicts. Weight is 1, or less for a sample that may be distorted.
func (e *Estimator) Observe(k Key, ratio, weight float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.total(k, now).logFactor()
	x := min(max(math.Log(ratio), estimate-maxDeviation), estimate+maxDeviation)
	e.add(k, sums{weight, weight * x}, now)
}

// add adds samples to the total and to what is to be sent.
func (e *Estimator) add(k Key, s sums, now time.Time) {
	e.addTotal(k, s, now)
	for _, m := range e.unsent {
		u := m[k]
		m[k] = sums{u.count + s.count, u.sum + s.sum}.limited(maxUnsent)
	}
}

func (e *Estimator) addTotal(k Key, s sums, now time.Time) {
	t := e.total(k, now)
	t.count, t.sum = t.count+s.count, t.sum+s.sum
}

// limited returns the samples with their weight reduced to a maximum.
func (s sums) limited(maximum float64) sums {
	if s.count <= maximum {
		return s
	}
	return sums{maximum, s.sum * maximum / s.count}
}

// total returns an endpoint's total as of now.
func (e *Estimator) total(k Key, now time.Time) *total {
	if e.totals == nil {
		e.totals = map[Key]*total{}
	}
	t := e.totals[k]
	if t == nil {
		t = &total{at: now}
		e.totals[k] = t
	}
	t.decay(now)
	return t
}

// Update recomputes the ratings of the endpoints, given by service, and forgets old samples. It must be
// called regularly, also while no receiver is reachable.
func (e *Estimator) Update(services [][]endpoint.Endpoint, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, t := range e.totals {
		if t.decay(now); t.count < minTotal {
			delete(e.totals, k)
		}
	}
	e.limitUnsent()
	ratings := map[string]Rating{}
	if len(e.totals) > 0 {
		for _, es := range services {
			e.rate(es, ratings)
		}
	}
	e.ratings.Store(&ratings)
}

// rate computes the ratings of the endpoints of one service that differ from the mean. The mean of
// the logarithms is subtracted: otherwise the factors could all drift one way and the service's
// model, whose observations are divided by them, the other way.
func (e *Estimator) rate(es []endpoint.Endpoint, ratings map[string]Rating) {
	sum, weight := 0.0, 0.0
	known := make(map[int]*total, min(len(es), len(e.totals)))
	for i := range es {
		if t := e.totals[KeyOf(&es[i])]; t != nil {
			known[i] = t
			sum += t.logFactor()
			weight += t.count / (t.count + priorCount)
		}
	}
	if weight == 0 {
		return
	}
	mean := sum / weight
	for i, t := range known {
		x := significant(sums{t.count, t.sum - mean*t.count})
		t.class = nextClass(t.class, x)
		if x != 0 || t.class != 0 {
			ratings[es[i].ID] = Rating{Factor: math.Exp(x), Class: t.class, startMillis: es[i].StartMillis}
		}
	}
}

// significant returns the estimated logarithm of a factor. It is 0 within the dead band and close to
// the plain estimate far outside of it.
func significant(s sums) float64 {
	x := s.logFactor()
	band := max(minDeadBand, sampleNoise*math.Sqrt(s.count)/(s.count+priorCount))
	if math.Abs(x) <= band {
		return 0
	}
	x *= 1 - math.Pow(band/x, 4)
	return min(max(x, -maxLogFactor), maxLogFactor)
}

// nextClass returns the class of an endpoint with a logarithm of its factor and its class before.
func nextClass(before int8, logFactor float64) int8 {
	steps := -logFactor / math.Log(classStep)
	if math.Abs(steps-float64(before)) < classHysteresis {
		return before
	}
	return int8(min(max(math.Round(steps), -rendezvous.MaxClass), rendezvous.MaxClass))
}

// Factor returns the speed factor of an endpoint: 1 if it is not known to differ from the mean.
func (e *Estimator) Factor(p *endpoint.Endpoint) float64 {
	if r, ok := e.Ratings()[p.ID]; ok && r.startMillis == p.StartMillis {
		return r.Factor
	}
	return 1
}

// Class returns the class of an endpoint for weighted rendezvous hashing.
func (e *Estimator) Class(p *endpoint.Endpoint) int8 {
	if r, ok := e.Ratings()[p.ID]; ok && r.startMillis == p.StartMillis {
		return r.Class
	}
	return 0
}

// Ratings returns the ratings of the endpoints that are not of the mean speed, by ID. The map must
// not be modified.
func (e *Estimator) Ratings() map[string]Rating {
	if m := e.ratings.Load(); m != nil {
		return *m
	}
	return nil
}
