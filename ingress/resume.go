package ingress

import (
	"context"
	"slices"
	"time"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/forward"
)

// originRetryAfter is the time after which boxes that have just started have read the records of streams.
const originRetryAfter = time.Second

// findOrigin sets the service and the software version at which the stream began that a request takes up again.
// What two versions write does not fit together, so a request whose stream's version is not known is refused.
func (i *Ingress) findOrigin(c context.Context, q *forward.Request) error {
	cl := q.Call
	if q.Route.Kind != catalog.Stream || cl.Resumes == "" && cl.LastEventID == "" {
		return nil
	}
	if cl.LastEventID != "" && !q.Route.Repeatable() {
		return i.denial(errkind.BadRequest, "a stream of the route %s may not be resumed, since another run would follow the events that the caller has", q.Route.Name)
	}
	if cl.Resumes == "" && len(q.Route.Shares) > 1 {
		return errkind.New(errkind.VersionUnknown, "the request names the last event of a stream, and not the request that brought its first one; without that,"+
			" it is not known at which service of the route %s the stream began", q.Route.Name).WithRetryAfter(originRetryAfter)
	}
	o := i.Origins.Find(c, cl.ID, cl.Resumes, q.Service.Name, q.AccountName())
	switch {
	case o.Foreign:
		return errkind.New(errkind.Forbidden, "the stream %s was begun by another account", cl.Resumes)
	case !o.Known && cl.Resumes == "":
		return errkind.New(errkind.VersionUnknown, "the request names the last event of a stream, and not the request that brought its first one; without that,"+
			" it is not known at which version of %s the stream began", q.Service.Name).WithRetryAfter(originRetryAfter)
	case !o.Known:
		return errkind.New(errkind.VersionUnknown, "it is not known at which version of %s the stream %q began", q.Service.Name, cl.Resumes).
			WithRetryAfter(originRetryAfter)
	}
	if o.Service != q.Service.Name {
		if !slices.ContainsFunc(q.Route.Shares, func(s catalog.Share) bool { return s.Service == o.Service }) {
			return errkind.New(errkind.VersionUnavailable, "the stream %s began at %s, to which its route no longer leads", cl.Resumes, o.Service).
				WithRetryAfter(originRetryAfter)
		}
		if q.Service = i.state.Table().Service(o.Service); q.Service == nil {
			q.Service = &catalog.Service{Name: o.Service}
		}
	}
	q.Version = o.Version
	return nil
}
