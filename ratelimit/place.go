package ratelimit

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/occupancy"
	"birchlink.dev/birchlink/quota"
)

// wholeLease leases everything to this box.
type wholeLease struct{}

// Accrued returns the whole share.
func (wholeLease) Accrued(string, time.Time) (seconds, share float64) { return 0, 1 }

// Place asks the arbiters of an endpoint in turn for a place there. If it gets one, it returns a
// function that returns the place and must be called once. If no arbiter answers, one request of
// this box at a time may be sent.
func (s *Service) Place(c context.Context, x occupancy.Question) (occupancy.Answer, func(refused bool)) {
	var soonest occupancy.Answer
	for _, a := range s.Quota.Arbiters(x.Endpoint, boottime.Now()) {
		var v occupancy.Answer
		switch {
		case a.Box == s.Quota.Self.Box:
			v = s.Occupancy.Ask(x, boottime.Now())
		case s.coolingDown(a.Box) || !s.call(c, a, methodPlace, x, &v, askTimeout):
			continue
		}
		if v.OK {
			return v, func(refused bool) {
				s.returnPlace(a, occupancy.Return{Endpoint: x.Endpoint, Holder: x.Holder, Refused: refused})
			}
		}
		if v.Part > 0 && (soonest.Part == 0 || v.After < soonest.After) {
			soonest = v
		}
	}
	if soonest.Part > 0 || c.Err() != nil {
		return soonest, nil
	}
	x.Room = 1
	v := s.Lone.Ask(x, boottime.Now())
	return v, func(refused bool) {
		s.Lone.Return(occupancy.Return{Endpoint: x.Endpoint, Holder: x.Holder, Refused: refused}, boottime.Now())
	}
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
