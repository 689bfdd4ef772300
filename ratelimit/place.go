package ratelimit

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/quota"
)

// Place asks the arbiters of an endpoint in turn for a place there. If it gets one, it returns a
// function that returns the place and must be called once. If no arbiter answers, all are asked once
// more with finalAskTimeout. If none does then, there is no place: a box that is cut off from all
// others gets a share of its own after a while.
func (s *Service) Place(c context.Context, x occupancy.Question) (occupancy.Answer, func(refused bool)) {
	arbiters := s.Quota.Arbiters(x.Endpoint, boottime.Now())
	a, by := s.askForPlace(c, arbiters, x, askTimeout)
	if a.Part == 0 {
		x.Holder += "/again" // the places of the first questions are being returned
		a, by = s.askForPlace(c, arbiters, x, finalAskTimeout)
	}
	if !a.OK {
		return a, nil
	}
	return a, func(refused bool) {
		s.returnPlace(by, occupancy.Return{Endpoint: x.Endpoint, Holder: x.Holder, Refused: refused})
	}
}

// askForPlace asks arbiters in turn until one gives a place. With askTimeout it skips those that did not
// answer a moment ago. It returns the refusal with the shortest After among those that hold a share.
func (s *Service) askForPlace(c context.Context, arbiters []quota.Arbiter, x occupancy.Question, timeout time.Duration) (occupancy.Answer, quota.Arbiter) {
	soonest := occupancy.Answer{After: askTimeout}
	for _, a := range arbiters {
		var v occupancy.Answer
		switch {
		case a.Box == s.Quota.Self.Box:
			v = s.Occupancy.Ask(x, boottime.Now())
		case timeout == askTimeout && s.coolingDown(a.Box):
			continue
		case !s.call(c, a, methodPlace, x, &v, timeout):
			// The arbiter may have given a place and answered too late.
			s.returnPlace(a, occupancy.Return{Endpoint: x.Endpoint, Holder: x.Holder})
			continue
		}
		if v.OK {
			return v, a
		}
		if v.Part > 0 && (soonest.Part == 0 || v.After < soonest.After) {
			soonest = v
		}
	}
	return soonest, quota.Arbiter{}
}

// returnPlace returns a place to the arbiter that gave it. One that does not get it back keeps it until
// it lapses.
func (s *Service) returnPlace(a quota.Arbiter, x occupancy.Return) {
	if a.Box == s.Quota.Self.Box {
		s.Occupancy.Return(x, boottime.Now())
		return
	}
	go s.call(context.Background(), a, methodReturn, x, nil, finalAskTimeout)
}
