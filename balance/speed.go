package balance

import (
	"time"

	"birchlink.dev/birchlink/endpoint"
)

const (
	// minModelSamples is the number of answers that a service's model must rest on before ratios to
	// its predictions tell anything about an endpoint. In the first second after a start, the model
	// still changes by more than endpoints differ.
	minModelSamples = 50

	// minPauses is the number of pauses from which their mean is a sample.
	minPauses = 3

	// stallFactor bounds a pause, as a multiple of the expected one. A longer gap means that the
	// endpoint is in a slow period or prefills another prompt, which says little about its speed.
	// Such gaps are bounded rather than dropped, so that an endpoint that stays slow is found to be.
	stallFactor = 2.0

	// firstEventWeight is the weight of a first event, relative to that of a mean pause. Its time
	// depends on the queue, of which a box knows only a part: with weight 1, the busiest of equally
	// fast endpoints of a replay get factors up to 1.4, and with 0.2 up to 1.1.
	firstEventWeight = 0.25

	// stalledWeight is the part of a first event's weight that is left if it came while another
	// stream at the endpoint had stalled.
	stalledWeight = 0.25
)

// SpeedFactor returns the ratio of an endpoint's times to the mean of its service. It is 1 if the
// endpoint isn't known to differ from the mean.
func (b *Balancer) SpeedFactor(id string) float64 {
	if b.Speeds != nil {
		if r, ok := b.Speeds.Ratings()[id]; ok {
			return r.Factor
		}
	}
	return 1
}

func (b *Balancer) speedFactor(e *endpoint.Endpoint) float64 {
	if b.Speeds == nil {
		return 1
	}
	return b.Speeds.Factor(e)
}

func (b *Balancer) speedClass(e *endpoint.Endpoint) int8 {
	if b.Speeds == nil {
		return 0
	}
	return b.Speeds.Class(e)
}

// normalized returns how long an endpoint of mean speed would have taken. The service's model is
// fitted to these times.
func (a *Attempt) normalized(d time.Duration) time.Duration {
	if a.speedFactor == 1 {
		return d
	}
	return time.Duration(float64(d) / a.speedFactor)
}

// recordPause records the time since the last event. The balancer's lock must be held.
func (a *Attempt) recordPause(now time.Time) {
	gap, limit := now.Sub(a.lastEvent), a.maxPause()
	a.longest = max(a.longest, gap)
	if limit > 0 && gap > limit {
		a.state.stalledAt = now
		gap = limit
	}
	a.steady += gap
}

// observeStall records whether the stream paused for longer than its route allows. The balancer's
// lock must be held.
func (a *Attempt) observeStall(now time.Time) {
	if a.balancer.Speeds == nil || a.gapTarget <= 0 {
		return
	}
	a.balancer.stalls.Observe(a.service, a.speedClass, a.events, a.longest > a.gapTarget, now)
}

// maxPause returns the time to which a pause is bounded.
func (a *Attempt) maxPause() time.Duration {
	return time.Duration(stallFactor * a.speedFactor * float64(a.prediction.Pause(a.load.Running)))
}

// observeFirstEvent makes the time to the first event a sample of the endpoint's speed. The
// balancer's lock must be held.
func (a *Attempt) observeFirstEvent(took time.Duration) {
	if a.meanExpected <= 0 || !a.givesSamples() {
		return
	}
	weight := firstEventWeight
	if a.state.stalledAt.After(a.start) {
		weight *= stalledWeight
	}
	a.balancer.Speeds.Observe(a.key, float64(took)/float64(a.meanExpected), weight, a.lastEvent)
}

// observePause makes the mean pause between events a sample of the endpoint's speed. The expected
// pause is that under the mean of the loads at the choice and now, since other boxes report theirs
// late. The balancer's lock must be held.
func (a *Attempt) observePause() {
	n := a.events - 1
	if n < minPauses || !a.givesSamples() {
		return
	}
	running := (a.load.Running + a.state.running + a.state.remote.running) / 2
	expected := a.prediction.Pause(running)
	if expected <= 0 {
		return
	}
	a.balancer.Speeds.Observe(a.key, float64(a.steady)/float64(n)/float64(expected), 1, a.lastEvent)
}

func (a *Attempt) givesSamples() bool {
	return a.balancer.Speeds != nil && a.model.Samples() >= minModelSamples
}
