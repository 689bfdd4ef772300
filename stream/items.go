package stream

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
)

// items returns what the request may have in common with others that crash engines: its content without its ID, and the parts
// of its prompt.
func (q Request) items() quarantine.Request {
	content := requesthash.HashOf(q.Account, &call.Call{Host: q.Workload, Target: strconv.Itoa(q.MaxTokens), Body: []byte(q.Prompt)})
	return quarantine.Request{Content: content, Parts: q.Parts}
}

// judge returns the verdict of the quarantine on the request, which may go to one of the candidates, and their software
// versions.
func (r *run) judge(cs []candidate) (quarantine.Verdict, []string, error) {
	seen := map[string]bool{}
	for _, s := range cs {
		seen[s.Label(fleet.SoftwareLabel)] = true
	}
	versions := slices.Sorted(maps.Keys(seen))
	v, err := r.k.suspects.Check(r.items, versions)
	return v, versions, err
}

// admit returns an error if the request must not be sent to its target, since other engines crashed under it meanwhile.
func (r *run) admit(versions []string) error {
	if r.k.suspects.Admit(r.quarantineAttempt(), versions) {
		return nil
	}
	if _, err := r.k.suspects.Check(r.items, versions); err != nil {
		return err
	}
	return errkind.New(errkind.Quarantined, "engines ended while they ran this request or others with a part of its prompt").WithRetryAfter(admitRetryAfter)
}

// admitRetryAfter is the retry time of a request that lost the only trial to another one.
const admitRetryAfter = time.Second

// quarantineAttempt returns the current attempt as the quarantine knows it. The target must have an endpoint.
func (r *run) quarantineAttempt() quarantine.Attempt {
	e := r.target.endpoint
	return quarantine.Attempt{Request: r.items, Endpoint: e.ProcessID(), Version: e.Label(fleet.SoftwareLabel)}
}

// recordFailure reports an attempt to the quarantine whose connection to the engine broke.
func (r *run) recordFailure(c context.Context) {
	if r.target.endpoint != nil && c.Err() == nil {
		r.k.suspects.RecordFailure(c, r.quarantineAttempt(), r.sent, r.target.address)
	}
}

// recordProgress reports to the quarantine that the engine goes on with the answer, once it has for long enough. The box that
// chose the engine reports it.
func (r *run) recordProgress() {
	now := boottime.Now()
	switch {
	case r.target.endpoint == nil:
	case r.begun.IsZero():
		r.begun = now
	case !r.isRunning && now.Sub(r.begun) >= quarantine.RunningTime:
		r.isRunning = true
		r.k.suspects.RecordRunning(r.items, r.target.endpoint.Label(fleet.SoftwareLabel), r.begun)
	}
}

// recordComplete reports a complete answer to the quarantine.
func (r *run) recordComplete() {
	if r.target.endpoint != nil && !r.begun.IsZero() {
		r.k.suspects.RecordAnswer(r.items, r.target.endpoint.Label(fleet.SoftwareLabel), r.begun)
	}
}
