package ratelimit

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/throttle"
)

// noAnswerDelay is the time after which a permit may be requested again if no arbiter answered.
const noAnswerDelay = time.Second

// Permit asks the arbiters of an endpoint's rate in turn whether one more request may be sent to
// the endpoint. If all refuse, it returns the refusal with the shortest After among the arbiters
// that hold a share of the rate.
func (s *Service) Permit(c context.Context, x throttle.Question) throttle.Answer {
	soonest := throttle.Answer{After: noAnswerDelay}
	for _, a := range s.Quota.Arbiters(x.Endpoint, boottime.Now()) {
		var v throttle.Answer
		switch {
		case a.Box == s.Quota.Self.Box:
			v = s.answerPermit(x)
		case s.coolingDown(a.Box) || !s.call(c, a, methodPermit, x, &v, askTimeout):
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

// answerPermit answers from the share of an endpoint's rate that is leased to this box. It uses
// the rate that the endpoint stated last, which may be newer than the one in the question.
func (s *Service) answerPermit(x throttle.Question) throttle.Answer {
	now := boottime.Now()
	s.Rates.Merge([]endpointlimit.Statement{{Incarnation: x.Endpoint, Limited: true, PerSecond: x.PerSecond, Age: x.Age}}, now)
	latest, _ := s.Rates.Limit(x.Endpoint, now)
	if !latest.Limited {
		return throttle.Answer{OK: true}
	}
	x.PerSecond = latest.PerSecond
	return s.Throttle.Ask(x, now)
}
