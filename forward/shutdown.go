package forward

import (
	"context"
	"errors"

	"birchlink.dev/birchlink/boottime"
)

// recordAnswerTime records how long the answer to a request took that ended with err. The time of one that was ended by its deadline
// counts too, since the answer would have taken longer.
func (r *run) recordAnswerTime(c context.Context, err error) {
	sent, now := r.trace.FirstSent, boottime.Now()
	switch {
	case sent.IsZero():
	case err == nil && r.shared.succeeded.Load():
		r.f.AnswerTimes.Record(r.accuracyKey(), now.Sub(sent), now)
	case err != nil && r.mayHaveRun && !now.Before(r.q.Expires) && !errors.Is(c.Err(), context.Canceled):
		r.f.AnswerTimes.Record(r.accuracyKey(), r.q.Expires.Sub(sent), now)
	}
}
