package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/platform/standin"
)

const (
	// streamEvents is the number of events of a stream, and streamAttempts bounds the attempts of its caller.
	streamEvents   = 32
	streamAttempts = 3

	// minTakenUp is the number of streams taken up from which the share that goes on is checked, and minShare the
	// least part of the share of new streams that begin.
	minTakenUp = 12
	minShare   = 0.5

	// minServers is the number of servers of a version that must serve, since before the attempt, for it to count.
	minServers = 2
)

// singleStreamPath is the path of streams for which a box makes one attempt, and fixedStreamPath that of streams that may not be
// resumed. streamPaths has those of all streams.
const (
	singleStreamPath = "/stream-once/x"
	fixedStreamPath  = "/stream-fixed/x"
)

var streamPaths = []string{"/stream/x", singleStreamPath, fixedStreamPath}

// streamCounts counts attempts at boxes without faults while minServers of the version serve, without those that got an irregular stream: of new streams
// and those that began, of streams that were taken up and those that went on.
type streamCounts struct {
	asked, begun, takenUp, wentOn int
}

// stream makes a call whose answer is a stream, and takes it up again at any box if it breaks off, unless it may not be resumed. The
// caller leaves the first answer after some events, or reads all if that is zero.
func (r *run) stream(h *http.Client, b *Box, id string, rnd *rand.Rand, leaveAfter int) {
	path := streamPaths[rnd.IntN(len(streamPaths))]
	s := &standin.Stream{Fixed: path == fixedStreamPath}
	began, end := time.Now(), time.Now().Add(callTimeout)
	for n := range streamAttempts {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		most := streamEvents + 1
		if n == 0 && leaveAfter > 0 {
			most = leaveAfter
		}
		if r.streamAttempt(h, b, s, path, fmt.Sprintf("%s-%d", id, n), left, most) || s.Fixed {
			break
		}
		b = r.fleet.Boxes[rnd.IntN(len(r.fleet.Boxes))]
	}
	r.checkVersions(s, id, began)
}

// checkVersions checks that the events of a stream, for which its caller first asked at a time, are of one version.
func (r *run) checkVersions(s *standin.Stream, id string, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(s.Versions) > 1:
		r.violations = append(r.violations, fmt.Sprintf("%6.2fs %s has events of the versions %v", began.Sub(r.began).Seconds(), id, s.Versions))
	case s.Events == streamEvents:
		r.outcomes["stream whole"]++
	default:
		r.outcomes["stream not whole"]++
	}
}

// streamAttempt makes one attempt and reads up to most events. It reports whether the stream is whole.
func (r *run) streamAttempt(h *http.Client, b *Box, s *standin.Stream, path, id string, left time.Duration, most int) bool {
	q, err := s.NewRequest(b.CallerAddress, path, id, left)
	if err != nil {
		r.reportViolation("%v", err)
		return true
	}
	q.GetBody = nil
	began, before, counts := time.Now(), s.Events, r.countsStreams(b, s)
	a, err := h.Do(q)
	status := "not answered"
	if err != nil {
		r.checkNoAnswer(b, path, id, began, err)
	} else {
		defer a.Body.Close()
		status = fmt.Sprint(a.StatusCode)
		if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
			r.recordRefusal(path, id, a.StatusCode)
		}
		if err := r.checkStream(b, s, id, began, a, most); err != nil {
			r.checkLoss(b, path, id, strings.Join(s.Versions, ""), began, began, left, err.Error())
		}
	}
	if err == nil {
		r.checkRuns(path, id)
	}
	departed := r.fleet.Audit.Departed(id)
	if departed {
		r.countOutcome("stream irregular")
	}
	if counts && !departed && r.countsStreams(b, s) {
		r.countAttempt(before == 0, s.Events > before)
	}
	framing := r.framingOf(id)
	if before == 0 {
		r.countOutcome(framing + "stream " + status)
	} else {
		r.countOutcome(framing + "taken up " + status)
	}
	if framing != "" && s.Events >= streamEvents {
		r.countOutcome("unframed stream whole")
	}
	return s.Events >= streamEvents
}

// checkStream reads up to most events of an answer, and checks that they are those of this stream, that a server has stamped the
// answer, and that it does not end before the last event or after it. A refusal must be one that allows to come back.
// The error says why the answer is no whole stream.
func (r *run) checkStream(b *Box, s *standin.Stream, id string, began time.Time, a *http.Response, most int) error {
	r.checkNotEndless(b, id, a, "")
	refused := a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests
	if a.StatusCode != http.StatusOK {
		if !refused && (a.StatusCode < http.StatusInternalServerError || httpstatus.Check(a.StatusCode) != nil) {
			r.reportViolation("%s to %s: %d", id, b.Name, a.StatusCode)
		}
		text, _ := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
		r.checkNotEndless(b, id, a, string(text))
		return fmt.Errorf("status %d %s", a.StatusCode, text)
	}
	if !standin.Stamped(a.Header) {
		r.reportViolation("%s to %s has no stamp", id, b.Name)
	}
	err := s.Read(id, a.Body, most)
	if s.Empty > 0 && !r.beganAtEndless(id) {
		r.reportViolation("%s to %s has %d empty lines that end no event", id, b.Name, s.Empty)
	}
	r.checkStreamEnd(b, id, a.Request.URL.Path, s, began, err, most)
	return err
}

// checkStreamEnd checks how an answer ended of which up to most events were read.
func (r *run) checkStreamEnd(b *Box, id, path string, s *standin.Stream, began time.Time, err error, most int) {
	switch {
	case errors.Is(err, standin.ErrInvalidEvent), errors.Is(err, standin.ErrJoined):
		r.reportViolation("%s to %s (%s): %v", id, b.Name, path, err)
	case err == nil && s.Events < streamEvents && most > streamEvents && r.wasClosedShort(id, began):
		r.countOutcome("stream closed in order before its end")
	case err == nil && s.Events != streamEvents && most > streamEvents:
		r.reportViolation("%s to %s (%s) ended after %d of %d events", id, b.Name, path, s.Events, streamEvents)
	case err != nil:
		r.countOutcome("stream cut")
	}
}

// countsStreams reports whether an attempt at a box counts: the box and the store have had no fault lately, and the version
// of the stream, or any if it has not begun, has enough servers. Streams that are not named may be refused while there are several versions.
func (r *run) countsStreams(b *Box, s *standin.Stream) bool {
	_, _, reliable := r.currentVersion()
	if !reliable || s.Unnamed || b.FaultySince(time.Now().Add(-recoveryTime)) {
		return false
	}
	return len(s.Versions) == 0 || r.fleet.Serving(s.Versions[0]) >= minServers
}

func (r *run) countAttempt(isNew, advanced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.streams
	switch {
	case isNew && advanced:
		c.asked, c.begun = c.asked+1, c.begun+1
	case isNew:
		c.asked++
	case advanced:
		c.takenUp, c.wentOn = c.takenUp+1, c.wentOn+1
	default:
		c.takenUp++
	}
}

// checkStreams checks that streams which are taken up go on about as often as new ones begin.
func (r *run) checkStreams() {
	c := r.streams
	fmt.Fprintf(r.Out, "seed %d: at boxes without faults %d of %d streams began, %d of %d that were taken up went on\n", r.Seed, c.begun, c.asked, c.wentOn, c.takenUp)
	if c.takenUp < minTakenUp || c.asked == 0 {
		return
	}
	began, wentOn := float64(c.begun)/float64(c.asked), float64(c.wentOn)/float64(c.takenUp)
	if wentOn < minShare*began {
		r.violations = append(r.violations, fmt.Sprintf("of streams taken up %.2f went on, of new ones %.2f began", wentOn, began))
	}
}
