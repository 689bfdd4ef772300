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

// Audit is what the stand-ins ran, by request id.
type Audit struct {
	Engine     map[string][]standengine.Run
	Service    map[string][]service.Run
	Recomputed int
	Unread     []string
}

// ReadAudit gathers the audits of engines and services, from their addresses or
// from files that they left. One that cannot be read is listed as unread.
func ReadAudit(c context.Context, engines, services []string) Audit {
	a := Audit{Engine: map[string][]standengine.Run{}, Service: map[string][]service.Run{}}
	for _, e := range engines {
		var rs []standengine.Run
		if err := get(c, e, &rs); err != nil {
			a.Unread = append(a.Unread, e)
			continue
		}
		for _, r := range rs {
			id := base(r.RequestID)
			a.Engine[id] = append(a.Engine[id], r)
			if r.From > 0 {
				a.Recomputed += r.Prefill
			}
		}
	}
	for _, s := range services {
		var rs []service.Run
		if err := get(c, s, &rs); err != nil {
			a.Unread = append(a.Unread, s)
			continue
		}
		for _, r := range rs {
			a.Service[r.RequestID] = append(a.Service[r.RequestID], r)
		}
	}
	return a
}

// base is the caller's request id: a relay between data centres adds to it.
func base(id string) string {
	const uuidLength = 36
	return id[:min(len(id), uuidLength)]
}

func get(c context.Context, from string, v any) error {
	const limit = 5 * time.Second
	if filepath.IsAbs(from) {
		b, err := os.ReadFile(from)
		if err != nil {
			return fmt.Errorf("read audit: %w", err)
		}
		return json.Unmarshal(b, v)
	}
	return jsonhttp.New(from, "load", limit).Do(c, http.MethodGet, "/audit", nil, v)
}

// Check returns how an outcome breaks a promise by what the stand-ins ran: a
// guarded request that ran more than once, or a refusal as not run of one that
// ran.
func (a Audit) Check(o Outcome) []string {
	var ws []string
	runs := 0
	for _, id := range o.IDs {
		runs += len(a.Service[id]) + starts(a.Engine[id])
	}
	if o.Spec.Guard != Free && runs > 1 {
		ws = append(ws, fmt.Sprintf("%s ran %d times", o.ID, runs))
	}
	if !o.Answered && o.Spec.Guard != Free && len(o.Refusals) > 0 && runs > 0 && notRun[o.Last] {
		ws = append(ws, fmt.Sprintf("%s was refused as not run (%s) and ran", o.ID, o.Last))
	}
	if o.Wrong != "" {
		ws = append(ws, fmt.Sprintf("%s: %s", o.ID, o.Wrong))
	}
	return ws
}

// starts counts the attempts that computed the first token of an answer: one
// that goes on from a later token is the same run, moved.
func starts(rs []standengine.Run) int {
	n := 0
	for _, r := range rs {
		if r.Tokens > 0 && r.From == 0 && r.State != engine.NotStarted {
			n++
		}
	}
	return n
}

// notRun names the kinds that say that a request did not run.
var notRun = map[string]bool{
	"limit_reached": true, "overloaded": true, "no_endpoint": true, "not_ready": true, "stopping": true,
	"deadline_too_short": true, "claim_unavailable": true,
}

// Verdict prints what broke a promise or went without an answer, and returns an
// error if anything did.
func Verdict(w io.Writer, r *Report, a Audit) error {
	wrong := 0
	for _, o := range r.Outcomes {
		for _, s := range a.Check(o) {
			wrong++
			fmt.Fprintf(w, "BROKEN (%s): %s\n", o.Spec.Kind, s)
		}
	}
	un := r.Unanswered()
	for _, o := range un {
		fmt.Fprintf(w, "unanswered (%s, guard %d): %s after %d sends: %v\n", o.Spec.Kind, o.Spec.Guard, o.ID, o.Sends, o.Refusals)
	}
	fmt.Fprintf(w, "recomputed tokens %d, audits not read %d, promises broken %d, unanswered %d of %d\n",
		a.Recomputed, len(a.Unread), wrong, len(un), len(r.Outcomes))
	if wrong > 0 || len(un) > 0 {
		return fmt.Errorf("%d promises broken, %d requests unanswered", wrong, len(un))
	}
	return nil
}
