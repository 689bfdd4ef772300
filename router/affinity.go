package router

import "time"

// prefillFactor is how many times faster an engine computes a prompt than an
// answer.
const prefillFactor = 40

// preferencePenalty is what an endpoint that meets no preference is taken to
// cost.
const preferencePenalty = 400 * time.Millisecond

// Affinity sends a request where the answer is expected first: work in flight,
// measured speed and the prompt's cached prefix decide. A prefix has a home by
// rendezvous hash among the targets whose load is within Bound times the mean.
type Affinity struct {
	LoadBound float64

	// RecomputeWeight is the weight on tokens computed again: a prompt that must be
	// computed counts for so much more than the time that it takes.
	RecomputeWeight float64
}

// Pick returns the target with the least expected time.
func (a Affinity) Pick(ts []Target, q Query) Choice {
	if len(ts) == 0 {
		return noTarget
	}
	limit := a.loadLimit(ts)
	open := hasFreeSlot(ts)
	home := preferredTarget(ts, q.Prefix, limit, open)
	best := Choice{Index: -1}
	for i := range ts {
		if !isWithinLimit(&ts[i], limit, open) {
			continue
		}
		d := expectedTime(&ts[i], q, i == home)
		if i != home && !ts[i].PrefixCached {
			d += time.Duration(a.RecomputeWeight * float64(prefillTime(&ts[i], q)))
		}
		if best.Index < 0 || d < best.Expected {
			best = Choice{Index: i, Expected: d, Preferred: i == home, Reason: "least expected time"}
		}
	}
	if best.Index < 0 {
		return LeastLoaded{}.Pick(ts, q)
	}
	return best
}

// loadLimit is the share of its slots that a target may have busy.
func (a Affinity) loadLimit(ts []Target) float64 {
	busy, slots := 1, 0
	for i := range ts {
		busy += ts[i].Busy
		slots += ts[i].Slots
	}
	if slots == 0 {
		return 1
	}
	return max(a.LoadBound, 1) * float64(busy) / float64(slots)
}

// hasFreeSlot reports whether a target has a free slot.
func hasFreeSlot(ts []Target) bool {
	for i := range ts {
		if ts[i].Busy < ts[i].Slots {
			return true
		}
	}
	return false
}

// isWithinLimit reports whether a target may take one more stream: no stream waits
// for a slot while another target has one free, however fast its hardware, and
// none takes more than its share of the load. Hardly any load is no bound.
func isWithinLimit(t *Target, limit float64, open bool) bool {
	if open && t.Busy >= t.Slots {
		return false
	}
	return float64(t.Busy) < limit*float64(t.Slots)+1
}

// preferredTarget returns the target with the highest weight for a prefix.
func preferredTarget(ts []Target, prefix uint64, limit float64, open bool) int {
	home, top := -1, uint64(0)
	for i := range ts {
		if w := weight(prefix, ts[i].Hash); (home < 0 || w > top) && isWithinLimit(&ts[i], limit, open) {
			home, top = i, w
		}
	}
	return home
}

func weight(key, member uint64) uint64 {
	const golden, mix = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	h := member ^ key*golden
	h ^= h >> 33
	h *= mix
	return h ^ h>>33
}

// expectedTime estimates the time to the first token for an urgent request and to
// the last for any other.
func expectedTime(t *Target, q Query, home bool) time.Duration {
	v := max(t.TokensPerSecond, 1)
	stream := seconds(float64(q.AnswerTokens) / v)
	d := t.NetworkDelay + time.Duration((1-t.Preference)*float64(preferencePenalty))
	if over := t.Busy + 1 - t.Slots; over > 0 && t.Slots > 0 {
		d += stream * time.Duration(over) / time.Duration(t.Slots)
	}
	if !home && !t.PrefixCached {
		d += prefillTime(t, q)
	}
	if q.Urgent {
		return d + seconds(1/v)
	}
	return d + stream
}

// prefillTime is how long a target takes to compute the prompt.
func prefillTime(t *Target, q Query) time.Duration {
	return seconds(float64(q.PromptTokens) / (max(t.TokensPerSecond, 1) * prefillFactor))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
