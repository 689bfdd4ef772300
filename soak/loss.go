package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// maxAnswerBytes bounds what is read of an answer. The answers of servers are shorter.
const maxAnswerBytes = 1 << 20

// wasClosedShort reports whether an answer without a length or chunks to a request that began at a time may have been closed in order before
// its end, although the process of its server lives on: by that, or by a link. To a box that is a whole answer.
func (r *run) wasClosedShort(id string, began time.Time) bool {
	ran, _ := r.fleet.serversOf(id)
	return r.fleet.Audit.EndedShort(id) || r.fleet.Audit.Unframed(id) && slices.ContainsFunc(ran, func(s *Server) bool { return s.closedLink.FaultySince(began) })
}

// serversOf returns the servers that began a request or to which it moved, and those that have not announced their end.
func (f *Fleet) serversOf(id string) (began, current []*Server) {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	for _, i := range append(f.Audit.Servers(id), f.Audit.Moved(id)...) {
		began = append(began, f.byID[i])
	}
	return began, slices.Clone(f.Servers)
}

// checkLoss checks a request that got no whole answer within wait, of which the last byte was sent at a time. While its box is sound, it must get one if no server that began
// it had another fault than to be silent, and none sent it an irregular stream. If it may be repeated, it must get one from a sound server of its version, or of any
// if that is empty, after servers that send bytes without end.
func (r *run) checkLoss(b *Box, path, id, version string, began, sent time.Time, wait time.Duration, outcome string) {
	since, took := began.Add(-hostMargin), time.Since(began)
	ran, current := r.fleet.serversOf(id)
	if len(ran) == 0 || b.FaultySince(since) || r.fleet.Audit.Departed(id) {
		return
	}
	var ids []string
	lossy, endless, leaving := false, false, false
	for _, s := range ran {
		ids = append(ids, s.ID)
		leaving = leaving || s.leaving.FaultySince(since)
		lossy, endless = lossy || s.lossy.FaultySince(since), endless || s.endless.FaultySince(since)
	}
	switch {
	case lossy, b.MayCut(sent, time.Now()):
	case r.PassOverGivenUp && leaving && !runsOnce(path) && !servesElsewhere(current, version, since): // KNOWN-RED.txt, seed 101
		r.countOutcome("passed over: given up at a leaving server")
	case !endless && took < wait.Truncate(time.Millisecond): // in which callers state their deadline
		r.countOutcome("lost at sound servers")
		r.reportViolation("%s to %s (%s) was passed on to the sound servers %v and lost after %v: %s%s", id, b.Name, path, ids, took, r.framingOf(id), outcome)
	case endless && !runsOnce(path) && path != singleStreamPath && servesElsewhere(current, version, since):
		r.reportViolation("%s to %s (%s) was lost at %v, of which one is endless, while others are sound: %s", id, b.Name, path, ids, outcome)
	}
}

// servesElsewhere reports whether minServers have had no fault since a time and are of a version, or of any if that is empty.
func servesElsewhere(servers []*Server, version string, since time.Time) bool {
	n := 0
	for _, s := range servers {
		sound := !s.lossy.FaultySince(since) && !s.endless.FaultySince(since) && !s.busy.FaultySince(since)
		if sound && (version == "" || s.Version == version) {
			n++
		}
	}
	return n >= minServers
}

// beganAtEndless reports whether a server that has sent bytes without end began a request.
func (r *run) beganAtEndless(id string) bool {
	ran, _ := r.fleet.serversOf(id)
	return slices.ContainsFunc(ran, func(s *Server) bool { return s.endless.FaultySince(r.began) })
}

// checkNotEndless checks that neither the head of an answer nor what was read of its body is what servers send without end.
func (r *run) checkNotEndless(b *Box, id string, a *http.Response, text string) {
	for _, vs := range a.Header {
		text += strings.Join(vs, " ")
	}
	if strings.Contains(text, standin.EndlessWord) || strings.Contains(a.Status, standin.EndlessWord) {
		r.reportViolation("%s to %s: the answer %s has what a server sends without end, in %d bytes: %.200q", id, b.Name, a.Status, len(text), text)
	}
}
