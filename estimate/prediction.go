package estimate

import "time"

// Prediction holds what a Model predicts at one moment.
type Prediction struct {
	// SlotTime is the mean time for which an answer holds its slot, zero if unknown.
	SlotTime time.Duration

	fit fit
}

// FirstEvent returns the expected time to the first event under a load.
func (p *Prediction) FirstEvent(l Load) time.Duration { return seconds(p.fit.firstEventSeconds(l)) }

// Pause returns the expected pause between events at an endpoint with a number of running requests.
func (p *Prediction) Pause(running int) time.Duration {
	return seconds(p.fit.pause[0] + p.fit.pause[1]*float64(running))
}

// PrefillTime returns the expected time that an endpoint takes to prefill a number of tokens.
func (p *Prediction) PrefillTime(tokens int) time.Duration {
	t := float64(tokens) / thousand
	return seconds(p.fit.prefillSeconds(t, t*t))
}

// PrefillRate returns how many tokens per second an endpoint prefills for prompts of usual length.
// It leaves out the term that is quadratic in the length of the prompt.
func (p *Prediction) PrefillRate() float64 {
	return thousand / max(p.fit.firstEvent[perPrefill], epsilon)
}
