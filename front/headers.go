package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/errkind"
)

// The headers of requests and responses. docs/API.md describes them.
const (
	RequestIDHeader  = "Birchlink-Request-Id"
	KindHeader       = "Birchlink-Kind"
	MemberHeader     = "Birchlink-Member"
	MatchHeader      = "Birchlink-Match"
	DeadlineHeader   = "Birchlink-Deadline"
	RepeatableHeader = "Birchlink-Repeatable"
	TicketHeader     = "Birchlink-Ticket"
	KeyHeader        = "Idempotency-Key"
	RunHeader        = "Birchlink-Run"
	BoxHeader        = "Birchlink-Box"
)

// The limits of header values.
const (
	maxNameBytes    = 64
	maxKeyBytes     = 256
	minDeadline     = 50 * time.Millisecond
	maxDeadline     = 15 * time.Minute
	defaultDeadline = 2 * time.Minute
)

// callerHeaders holds the validated headers of a request.
type callerHeaders struct {
	kind       admission.Kind
	member     string
	match      string
	key        string
	ticket     string
	deadline   time.Time
	repeatable bool
}

// bearerToken returns the token of the Authorization header, or an empty string if there is none.
func bearerToken(r *http.Request) string {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return k
}

// parseHeaders parses and validates the headers of a request from account a. Whether a request to a
// plain service is repeatable also depends on its method; see isRepeatable.
func parseHeaders(h http.Header, a config.Account) (callerHeaders, error) {
	f := callerHeaders{kind: admission.Chat, repeatable: true}
	if k := h.Get(KindHeader); k != "" {
		f.kind = admission.Kind(k)
	}
	if _, ok := f.kind.Priority(); !ok {
		return f, errkind.New(errkind.HeaderOutOfRange, "%s: %q is none of %v", KindHeader, f.kind, admission.Kinds())
	}
	if len(a.Kinds) > 0 && !slices.Contains(a.Kinds, string(f.kind)) {
		return f, errkind.New(errkind.Forbidden, "account %s may not send kind %s", a.Name, f.kind)
	}
	var err error
	if f.member, err = headerValue(h, MemberHeader, maxNameBytes); err != nil {
		return f, err
	}
	if f.match, err = headerValue(h, MatchHeader, maxNameBytes); err != nil {
		return f, err
	}
	if f.key, err = headerValue(h, KeyHeader, maxKeyBytes); err != nil {
		return f, err
	}
	if f.ticket, err = headerValue(h, TicketHeader, maxKeyBytes); err != nil {
		return f, err
	}
	if f.key != "" && f.ticket != "" {
		return f, errkind.New(errkind.HeaderOutOfRange, "a request has a key or a ticket, not both")
	}
	if f.deadline, err = parseDeadline(h); err != nil {
		return f, err
	}
	f.repeatable, err = parseRepeatable(h, true)
	f.repeatable = f.repeatable && f.key == "" && f.ticket == ""
	return f, err
}

// headerValue returns the value of a header, or an error if it is too long.
func headerValue(h http.Header, key string, maxBytes int) (string, error) {
	v := h.Get(key)
	if len(v) > maxBytes {
		return "", errkind.New(errkind.HeaderOutOfRange, "%s: at most %d characters", key, maxBytes)
	}
	return v, nil
}

// parseDeadline returns the time at which the request expires.
func parseDeadline(h http.Header) (time.Time, error) {
	v := h.Get(DeadlineHeader)
	if v == "" {
		return time.Now().Add(defaultDeadline), nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minDeadline || d > maxDeadline {
		return time.Time{}, errkind.New(errkind.HeaderOutOfRange, "%s: a duration from %v to %v, such as 30s", DeadlineHeader, minDeadline, maxDeadline)
	}
	return time.Now().Add(d), nil
}

// parseRepeatable parses the header RepeatableHeader. It returns d if there is none.
func parseRepeatable(h http.Header, d bool) (bool, error) {
	switch h.Get(RepeatableHeader) {
	case "":
		return d, nil
	case "yes":
		return true, nil
	case "no":
		return false, nil
	default:
		return false, errkind.New(errkind.HeaderOutOfRange, "%s: yes or no", RepeatableHeader)
	}
}

// isRepeatable reports whether a request to a plain service may be sent again: if RepeatableHeader
// allows it or, without that header, if its method is idempotent according to the HTTP standard.
func isRepeatable(r *http.Request, f callerHeaders) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return f.repeatable
	default:
		return f.repeatable && r.Header.Get(RepeatableHeader) == "yes"
	}
}
