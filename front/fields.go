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

// The headers of callers; docs/API.md has the table.
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

// The ranges of the headers.
const (
	maxName         = 64
	maxKey          = 256
	minDeadline     = 50 * time.Millisecond
	maxDeadline     = 15 * time.Minute
	defaultDeadline = 2 * time.Minute
)

// fields are the headers of a request, checked.
type fields struct {
	kind       admission.Kind
	member     string
	match      string
	key        string
	ticket     string
	deadline   time.Time
	repeatable bool
}

func bearer(r *http.Request) string {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return k
}

// readFields checks the headers. A call of a plain service is repeatable by its
// method unless the header says otherwise; see callRepeatable.
func readFields(h http.Header, a config.Account) (fields, error) {
	f := fields{kind: admission.Chat, repeatable: true}
	if k := h.Get(KindHeader); k != "" {
		f.kind = admission.Kind(k)
	}
	if _, ok := f.kind.Priority(); !ok {
		return f, errkind.New(errkind.HeaderRange, "%s: %q is none of %v", KindHeader, f.kind, admission.Kinds())
	}
	if len(a.Kinds) > 0 && !slices.Contains(a.Kinds, string(f.kind)) {
		return f, errkind.New(errkind.Forbidden, "account %s may not send kind %s", a.Name, f.kind)
	}
	var err error
	if f.member, err = name(h, MemberHeader, maxName); err != nil {
		return f, err
	}
	if f.match, err = name(h, MatchHeader, maxName); err != nil {
		return f, err
	}
	if f.key, err = name(h, KeyHeader, maxKey); err != nil {
		return f, err
	}
	if f.ticket, err = name(h, TicketHeader, maxKey); err != nil {
		return f, err
	}
	if f.key != "" && f.ticket != "" {
		return f, errkind.New(errkind.HeaderRange, "a request has a key or a ticket, not both")
	}
	if f.deadline, err = deadline(h); err != nil {
		return f, err
	}
	f.repeatable, err = repeatable(h, true)
	f.repeatable = f.repeatable && f.key == "" && f.ticket == ""
	return f, err
}

func name(h http.Header, key string, most int) (string, error) {
	v := h.Get(key)
	if len(v) > most {
		return "", errkind.New(errkind.HeaderRange, "%s: at most %d characters", key, most)
	}
	return v, nil
}

func deadline(h http.Header) (time.Time, error) {
	v := h.Get(DeadlineHeader)
	if v == "" {
		return time.Now().Add(defaultDeadline), nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minDeadline || d > maxDeadline {
		return time.Time{}, errkind.New(errkind.HeaderRange, "%s: a duration from %v to %v, such as 30s", DeadlineHeader, minDeadline, maxDeadline)
	}
	return time.Now().Add(d), nil
}

// repeatable reads the mark; without one it is d.
func repeatable(h http.Header, d bool) (bool, error) {
	switch h.Get(RepeatableHeader) {
	case "":
		return d, nil
	case "yes":
		return true, nil
	case "no":
		return false, nil
	default:
		return false, errkind.New(errkind.HeaderRange, "%s: yes or no", RepeatableHeader)
	}
}

// callRepeatable says whether a plain call may be sent again: as its mark says,
// or else if its method is idempotent by the HTTP standard.
func callRepeatable(r *http.Request, f fields) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return f.repeatable
	default:
		return f.repeatable && r.Header.Get(RepeatableHeader) == "yes"
	}
}
