package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endpoint"
)

const wholeStream = "1 2 3 4 5 6"

// stopAt returns a function that stops the run at the first order, and answers all of them.
func (a *stoppable) stopAt(answer string) func(int) string {
	return func(n int) string {
		if n == 1 {
			close(a.stop)
		}
		return answer
	}
}

// endAt returns a function that lets the run end by itself at the first order, and answers all of them.
func (a *stoppable) endAt(answer string) func(int) string {
	return func(n int) string {
		if n == 1 {
			close(a.release)
		}
		return answer
	}
}

// Guards against parts of plain answers that end as complete after their runs were told to stop: the end of the connection was read as
// that of the answer. The order comes before the head.
func TestPlainAnswerOfStoppedRunEndsAsComplete(t *testing.T) {
	for _, answer := range []string{"stopped", "no_run", "failed", ""} {
		t.Run("answer_"+answer, func(t *testing.T) {
			a := newStoppable()
			a.kind, a.lateHead, a.order = "text/plain", true, a.stopAt(answer)
			v := stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve}
			events, err := v.play(t)
			require.False(t, err == nil && events != wholeStream, "the part %s ends as complete", events)
			require.Positive(t, a.orders)
		})
	}
}

// Guards against streams whose content type is written in other letters, and which were read as plain answers: the part before an order
// ended as complete.
func TestContentTypeInOtherLetters(t *testing.T) {
	a := newStoppable()
	a.kind, a.order = "Text/Event-Stream; charset=utf-8", a.stopAt("stopped")
	v := stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve}
	events, err := v.play(t)
	require.NoError(t, err)
	require.Equal(t, wholeStream, events)
}

// Guards against a proof at the source of a refused move that counted as whole because the destination lives on: the source had ended.
func TestProofAfterRefusedMove(t *testing.T) {
	a := newStoppable()
	a.order, a.endsAt = a.stopAt("no_run"), 2
	b := func(w io.Writer, q *http.Request, gone <-chan struct{}) {
		if q.URL.Path == healthPath {
			writeAnswer(w, q, 200, "", "")
			return
		}
		refuse(w, q, gone)
	}
	v := stopTest{route: "stream resumable 3", a: a, b: b, hidden: true}
	events, err := v.play(t)
	require.False(t, err == nil && events != wholeStream, "the part %s ends as complete", events)
}

// Guards against parts that end as complete after an event like the one with which the streams of the service end: such events come in the
// middle, too.
func TestStopAfterEventLikeTheLastOne(t *testing.T) {
	for name, v := range map[string]struct {
		holds int
		ticks string // the numbers of events that are like the last one, if not all are
	}{
		"all_alike_after_one":   {1, ""},
		"all_alike_after_three": {3, ""},
		"first_of_many":         {18, " 18 36 "},
		"rare":                  {20, " 1 20 40 "},
	} {
		t.Run(name, func(t *testing.T) {
			a := newStoppable()
			a.holds, a.total, a.order = v.holds, 2*v.holds, a.stopAt("no_run")
			a.data = func(i int) string {
				if v.ticks == "" || strings.Contains(v.ticks, fmt.Sprint(" ", i, " ")) {
					return "tick"
				}
				return fmt.Sprint(i)
			}
			events, err := (&stopTest{route: "stream 2", a: a, b: refuse, mark: "data: tick\n\n"}).play(t)
			require.Error(t, err, "the part %s ends as complete", events)
		})
	}
}

// Guards against an order without an answer that is carried out late, at an endpoint that ends the chunks of a stopped run: it stopped the
// run after it had gone back to its source, and the part counted as whole.
func TestLateStopOfReturnedRunEndsChunks(t *testing.T) {
	a := newStoppable()
	a.framing, a.lastChunk, a.total = "chunks", true, 9
	a.order = func(n int) string {
		if n == 1 { // is carried out late
			return ""
		}
		close(a.stop)
		return "kept"
	}
	events, err := (&stopTest{route: "stream 2", a: a, b: (&destination{total: 9, data: a.data}).serve}).play(t)
	require.False(t, err == nil && events != "1 2 3 4 5 6 7 8 9", "the part %s ends as complete", events)
}

// Guards against an order without an answer that is carried out late, at a process whose record shows another start: the request went on
// there as at another endpoint, and the part counted as whole.
func TestLateStopAfterRecordShowsAnotherStart(t *testing.T) {
	a := newStoppable()
	a.total = 9
	var s *pipeScript
	a.order = func(n int) string { // is not answered, and carried out late
		if n == 1 {
			s.f.Roster.Put(endpoint.Endpoint{ID: "a", StartMillis: 2, Service: "s", Slots: 4, Version: "v1", Address: "a"})
			close(a.stop)
		}
		return ""
	}
	v := stopTest{route: "stream resumable 4", a: a, b: refuse, arrange: func(p *pipeScript) { s = p }}
	events, err := v.play(t)
	require.False(t, err == nil && events != "1 2 3 4 5 6 7 8 9", "the part %s ends as complete", events)
}
