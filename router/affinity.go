package router

import "time"

// prefillFactor is the ratio of the speed at which an engine prefills a prompt to the speed at
// which it generates an answer, both in tokens per second.
const prefillFactor = 40

// preferencePenalty is the cost of a target whose Preference is 0.
const preferencePenalty = 400 * time.Millisecond

// Affinity sends a request to the target with the least expected time, given the streams in flight,
// the measured speed and the cached prefixes. Each prefix has a preferred target: the one with the
// highest rendezvous weight among those whose load is at most LoadBound times the mean.
type Affinity struct {
	LoadBound float64

	// RecomputeWeight is the weight of the time to compute a prompt that is not cached, in addition
	// to the delay of the answer itself.
	RecomputeWeight float64
}

// Pick returns the target with the least expected time.
func (a Affinity) Pick(ts []Target, q Query) Choice {
	if len(ts) == 0 {
		return noTarget
	}
	limit := a.loadLimit(ts)
	hasFree := hasFreeSlot(ts)
	preferred := preferredTarget(ts, q.Prefix, limit, hasFree)
	best := Choice{Index: -1}
	for i := range ts {
		if !isWithinLimit(&ts[i], limit, hasFree) {
			continue
		}
		d := expectedTime(&ts[i], q, i == preferred)
		if i != preferred && !ts[i].PrefixCached {
			d += time.Duration(a.RecomputeWeight * float64(prefillTime(&ts[i], q)))
		}
		if best.Index < 0 || d < best.Expected {
			best = Choice{Index: i, Expected: d, Preferred: i == preferred, Reason: "least expected time"}
		}
	}
	if best.Index < 0 {
		return LeastLoaded{}.Pick(ts, q)
	}
	return best
}

// loadLimit returns the highest ratio of busy to total slots that a target may have.
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

// hasFreeSlot reports whether any target has a free slot.
func hasFreeSlot(ts []Target) bool {
	for i := range ts {
		if ts[i].Busy < ts[i].Slots {
			return true
		}
	}
	return false
}

// isWithinLimit reports whether a target may take one more stream. No stream waits for a slot while
// another target has a free one, regardless of speed, and no target exceeds the load limit. One
// stream is always within the limit, so that the limit does not bind when there is hardly any load.
func isWithinLimit(t *Target, limit float64, hasFree bool) bool {
	if hasFree && t.Busy >= t.Slots {
		return false
	}
	return float64(t.Busy) < limit*float64(t.Slots)+1
}

// preferredTarget returns the index of the target with the highest weight for a prefix, or -1.
func preferredTarget(ts []Target, prefix uint64, limit float64, hasFree bool) int {
	best, top := -1, uint64(0)
	for i := range ts {
		if w := weight(prefix, ts[i].Hash); (best < 0 || w > top) && isWithinLimit(&ts[i], limit, hasFree) {
			best, top = i, w
		}
	}
	return best
}

func weight(key, member uint64) uint64 {
	const golden, mix = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	h := member ^ key*golden
	h ^= h >> 33
	h *= mix
	return h ^ h>>33
}

// expectedTime estimates the time to the first token for an urgent request, and to the last token
// for any other.
func expectedTime(t *Target, q Query, preferred bool) time.Duration {
	speed := max(t.TokensPerSecond, 1)
	stream := seconds(float64(q.AnswerTokens) / speed)
	d := t.NetworkDelay + time.Duration((1-t.Preference)*float64(preferencePenalty))
	if excess := t.Busy + 1 - t.Slots; excess > 0 && t.Slots > 0 {
		d += stream * time.Duration(excess) / time.Duration(t.Slots)
	}
	if !preferred && !t.PrefixCached {
		d += prefillTime(t, q)
	}
	if q.Urgent {
		return d + seconds(1/speed)
	}
	return d + stream
}

// prefillTime returns how long a target takes to compute the prompt.
func prefillTime(t *Target, q Query) time.Duration {
	return seconds(float64(q.PromptTokens) / (max(t.TokensPerSecond, 1) * prefillFactor))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
