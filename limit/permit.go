package limit

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/stated"
	"birchlink.dev/birchlink/throttle"
)

// unheard is when an endpoint's rate is asked for again if no arbiter has answered.
const unheard = time.Second

// Permit asks the arbiters of an endpoint's rate in turn whether one more request may be sent there.
// If none lets it, the answer is the one with the soonest time.
func (l *Limit) Permit(c context.Context, x throttle.Question) throttle.Answer {
	soonest := throttle.Answer{After: unheard}
	for _, a := range l.Quota.Arbiters(x.Endpoint, boottime.Now()) {
		var v throttle.Answer
		switch {
		case a.Box == l.Quota.Self.Box:
			v = l.answer(x)
		case l.doubted(a.Box) || !l.call(c, a, methodPermit, x, &v, askLimit):
			continue
		}
		if v.OK {
			return v
		}
		if v.Part > 0 && (soonest.Part == 0 || v.After < soonest.After) {
			soonest = v
		}
	}
	return soonest
}

// answer answers for the part of an endpoint's rate that is leased to this box. What the endpoint
// said last goes before what the question rests on.
func (l *Limit) answer(x throttle.Question) throttle.Answer {
	now := boottime.Now()
	l.Rates.Hear([]stated.Word{{Incarnation: x.Endpoint, Named: true, PerSecond: x.PerSecond, Age: x.Age}}, now)
	said, _ := l.Rates.Limit(x.Endpoint, now)
	if !said.Named {
		return throttle.Answer{OK: true}
	}
	x.PerSecond = said.PerSecond
	return l.Throttle.Ask(x, now)
}
