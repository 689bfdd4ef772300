package forward

import (
	"context"
	"errors"
	"syscall"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/recovery"
)

// suspect notes that an attempt broke off at an endpoint which did not say that it leaves,
// and looks at once whether the endpoint has ended: a request that ends endpoints comes
// again within a second, and others would find the endpoint gone one by one.
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

// ended notes that an endpoint refuses connections: its process has ended.
func (r *run) ended(e endpoint.Endpoint) {
	now := boottime.Now()
	r.f.Book.Crashed(e.ID, now)
	r.f.Quarantine.RecordCrash(e.Incarnation(), "it refuses connections", now)
	r.f.Ended(e)
}
