package forward

import (
	"context"
	"errors"
	"syscall"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
)

// suspect reports an interrupted attempt to the quarantine unless the endpoint was draining, and
// checks at once whether the endpoint has crashed. A request that crashes endpoints is repeated
// within a second, and without the check each other request would detect the crash by itself.
func (r *run) suspect(c context.Context, out ended, e endpoint.Endpoint) {
	switch {
	case errors.Is(out.err, syscall.ECONNREFUSED):
		r.ended(e)
		return
	case out.breakage != recovery.Gone || out.answered || c.Err() != nil:
		return
	}
	if errors.Is(out.err, errReplaced) {
		r.f.Quarantine.RecordFailure(r.trace.Content, e.Incarnation(), boottime.Now())
		r.f.Quarantine.RecordCrash(e.Incarnation(), "another started under its ID", boottime.Now())
		return
	}
	if !r.f.serves(e) {
		return
	}
	r.f.Quarantine.RecordFailure(r.trace.Content, e.Incarnation(), boottime.Now())
	if errors.Is(out.err, errSilent) || !r.f.Pool.Refused(c, e.Address) {
		return
	}
	r.ended(e)
}

// ended records that an endpoint has crashed, since it refuses connections.
func (r *run) ended(e endpoint.Endpoint) {
	now := boottime.Now()
	r.f.Book.Crashed(e.ID, now)
	r.f.Quarantine.RecordCrash(e.Incarnation(), "it refuses connections", now)
	r.f.Ended(e)
}
