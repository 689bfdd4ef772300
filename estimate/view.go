package estimate

import "time"

// View is what a model expects at one moment.
type Prediction struct {
	// Held is how long an answer holds its slot on average; zero if that is not known.
	SlotTime time.Duration

	fit fit
}

// Expect returns the expected time to the first event.
func (v *Prediction) FirstEvent(l Load) time.Duration { return seconds(v.fit.firstEventSeconds(l)) }

// Pause returns the expected pause between events at an endpoint that runs so many requests.
func (v *Prediction) Pause(running int) time.Duration {
	return seconds(v.fit.pause[0] + v.fit.pause[1]*float64(running))
}

// Reading returns the expected time that an endpoint takes to read so many tokens.
func (v *Prediction) PrefillTime(tokens int) time.Duration {
	t := float64(tokens) / thousand
	return seconds(v.fit.prefillSeconds(t, t*t))
}

// Pace returns how many tokens of a prompt of usual length an endpoint reads a second.
func (v *Prediction) PrefillRate() float64 {
	return thousand / max(v.fit.firstEvent[perPrefill], epsilon)
}
