package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/jsonhttp"
	standengine "birchlink.dev/birchlink/stand/engine"
	"birchlink.dev/birchlink/stand/service"
)

// Audit holds the runs of the stand-ins by request ID. RecomputedTokens counts the tokens that engines
// computed again to continue an answer. Unread lists the sources that could not be read.
type Audit struct {
	Engine           map[string][]standengine.Run
	Service          map[string][]service.Run
	RecomputedTokens int
	Unread           []string
}

// ReadAudit reads the audits of engines and services. Each source is an address, or the absolute path
// of a file that a terminated stand-in wrote.
func ReadAudit(c context.Context, engines, services []string) Audit {
	a := Audit{Engine: map[string][]standengine.Run{}, Service: map[string][]service.Run{}}
	for _, e := range engines {
		var rs []standengine.Run
		if err := readAudit(c, e, &rs); err != nil {
			a.Unread = append(a.Unread, e)
			continue
		}
		for _, r := range rs {
			id := callerRequestID(r.RequestID)
			a.Engine[id] = append(a.Engine[id], r)
			if r.From > 0 {
				a.RecomputedTokens += r.Prefill
			}
		}
	}
	for _, s := range services {
		var rs []service.Run
		if err := readAudit(c, s, &rs); err != nil {
			a.Unread = append(a.Unread, s)
			continue
		}
		for _, r := range rs {
			a.Service[r.RequestID] = append(a.Service[r.RequestID], r)
		}
	}
	return a
}

// callerRequestID returns the request ID that the caller knows. A relay between data centres appends
// to it.
func callerRequestID(id string) string {
	const uuidLength = 36
	return id[:min(len(id), uuidLength)]
}

func readAudit(c context.Context, source string, v any) error {
	const timeout = 5 * time.Second
	if filepath.IsAbs(source) {
		b, err := os.ReadFile(source)
		if err != nil {
			return fmt.Errorf("read audit: %w", err)
		}
		return json.Unmarshal(b, v)
	}
	return jsonhttp.New(source, "load", timeout).Do(c, http.MethodGet, "/audit", nil, v)
}

// Violations describes how an outcome violates the guarantees of the system, by the runs of the
// stand-ins. A guarded request must run at most once, a guarded request that was refused as not run
// must not have run, and an answer must be correct.
func (a Audit) Violations(o Outcome) []string {
	var vs []string
	runs := 0
	for _, id := range o.IDs {
		runs += len(a.Service[id]) + countRuns(a.Engine[id])
	}
	if o.Spec.Guard != Unguarded && runs > 1 {
		vs = append(vs, fmt.Sprintf("%s ran %d times", o.ID, runs))
	}
	if !o.Answered && o.Spec.Guard != Unguarded && len(o.Refusals) > 0 && runs > 0 && notRunKinds[o.LastRefusal] {
		vs = append(vs, fmt.Sprintf("%s was refused as not run (%s) and ran", o.ID, o.LastRefusal))
	}
	if o.Mismatch != "" {
		vs = append(vs, fmt.Sprintf("%s: %s", o.ID, o.Mismatch))
	}
	return vs
}

// countRuns counts the attempts that computed the first token of an answer. An attempt that starts at
// a later token continues the same run on another engine.
func countRuns(rs []standengine.Run) int {
	n := 0
	for _, r := range rs {
		if r.Tokens > 0 && r.From == 0 && r.State != engine.NotStarted {
			n++
		}
	}
	return n
}

// notRunKinds are the error kinds which state that the request did not run.
var notRunKinds = map[string]bool{
	"limit_reached": true, "overloaded": true, "no_endpoint": true, "not_ready": true, "stopping": true,
	"deadline_too_short": true, "claim_unavailable": true,
}

// PrintVerdict prints the violations and the unanswered requests, and returns an error if there are
// any.
func PrintVerdict(w io.Writer, r *Report, a Audit) error {
	violations := 0
	for _, o := range r.Outcomes {
		for _, s := range a.Violations(o) {
			violations++
			fmt.Fprintf(w, "BROKEN (%s): %s\n", o.Spec.Kind, s)
		}
	}
	unanswered := r.Unanswered()
	for _, o := range unanswered {
		fmt.Fprintf(w, "unanswered (%s, guard %d): %s after %d sends: %v\n", o.Spec.Kind, o.Spec.Guard, o.ID, o.Sends, o.Refusals)
	}
	fmt.Fprintf(w, "recomputed tokens %d, audits not read %d, promises broken %d, unanswered %d of %d\n",
		a.RecomputedTokens, len(a.Unread), violations, len(unanswered), len(r.Outcomes))
	if violations > 0 || len(unanswered) > 0 {
		return fmt.Errorf("%d promises broken, %d requests unanswered", violations, len(unanswered))
	}
	return nil
}
