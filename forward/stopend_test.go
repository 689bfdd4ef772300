package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/throttle"
)

// dataOf returns the data of the events that a sink received.
func dataOf(r *recorder) string {
	var out []string
	for l := range strings.SplitSeq(r.body, "\n") {
		if d, ok := strings.CutPrefix(l, "data: "); ok {
			out = append(out, d)
		}
	}
	return strings.Join(out, " ")
}

// Guards against whole streams that are lost because an order came too late, and an event has no ID: the copy was not asked for the end, or
// what it sent was taken for other events.
func TestWholeStreamWithBareEvents(t *testing.T) {
	for _, v := range []struct {
		name, route, framing string
		bare                 bareEvents
		refuses, isStopped   bool
	}{
		{"last_resumable_chunks", "stream resumable 3", "chunks", "6", false, false},
		{"last_resumable_chunks_refused", "stream resumable 3", "chunks", "6", true, false},
		{"last_resumable_unframed", "stream resumable 3", "", "6", false, false},
		{"last_once_chunks", "stream 2", "chunks", "6", false, false},
		{"last_once_unframed", "stream 2", "", "6", false, false},
		{"last_two_once_unframed", "stream 2", "", "5 6", false, false},
		{"last_but_one_resumable_chunks", "stream resumable 3", "chunks", "5", false, false},
		{"last_but_one_once_chunks", "stream 2", "chunks", "5", false, false},
		{"last_but_one_once_unframed", "stream 2", "", "5", false, false},
		{"last_and_before_once_unframed", "stream 2", "", "4 6", false, false},
		{"first_once_unframed", "stream 2", "", "1", false, false},
		{"last_but_one_once_unframed_stopped", "stream 2", "", "2", false, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			a := newStoppable()
			a.framing, a.bare, a.order = v.framing, v.bare, a.endAt("no_run")
			if v.isStopped {
				a.order = a.stopAt("no_run")
			}
			b := (&destination{total: 6, data: a.data, bare: v.bare}).serve
			if v.refuses {
				b = refuse
			}
			r := &lockedSink{}
			_, err := (&stopTest{route: v.route, a: a, b: b, sink: r}).play(t)
			require.NoError(t, err)
			require.Equal(t, "a1 a2 a3 a4 a5 a6", dataOf(&r.recorder))
		})
	}
}

// Guards against whole streams that are lost because the copy can't show their end: the destination fails or is silent. The chunks
// had their end, and the orders were answered.
func TestWholeStreamWhoseCopyShowsNothing(t *testing.T) {
	for name, b := range map[string]func(io.Writer, *http.Request, <-chan struct{}){
		"fails":              func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 500, "", "") },
		"closes":             func(io.Writer, *http.Request, <-chan struct{}) {},
		"closes_after_head":  func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeHead(w, q) },
		"closes_after_event": func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeHead(w, q); writeEvent(w, 6, "a6") },
		"ends_without_event": func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeHead(w, q); writeEnd(w) },
		"is_silent":          func(_ io.Writer, _ *http.Request, gone <-chan struct{}) { <-gone },
		"is_silent_after_event": func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			writeHead(w, q)
			writeEvent(w, 6, "a6")
			<-gone
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newStoppable()
			a.framing, a.order = "chunks", a.endAt("no_run")
			v := stopTest{route: "stream 2", a: a, b: b}
			events, err := v.play(t)
			require.NoError(t, err)
			require.Equal(t, wholeStream, events)
			require.Less(t, v.took, 2*time.Second) // callers wait no longer
		})
	}
}

// Guards against callers who leave a whole stream: the destination of the copy is silent, and the stream was resumed elsewhere as late as
// after a new request.
func TestWholeStreamWhoseCopyIsSilent(t *testing.T) {
	for _, framing := range []string{"", "chunks"} {
		for _, events := range []string{"", "6"} {
			t.Run("framing_"+framing+"_events_"+events, func(t *testing.T) {
				a := newStoppable()
				a.framing, a.order = framing, a.endAt("no_run")
				v := stopTest{route: "stream resumable 2", a: a, b: func(w io.Writer, q *http.Request, gone <-chan struct{}) {
					if events != "" {
						writeHead(w, q)
						writeEvent(w, 6, "a6")
					}
					<-gone
				}, arrange: func(s *pipeScript) {
					time.AfterFunc(200*time.Millisecond, func() { s.add("c", (&destination{total: 6, data: a.data}).serve) })
				}}
				events, err := v.play(t)
				require.NoError(t, err)
				require.Equal(t, wholeStream, events)
				require.Less(t, v.took, 2*time.Second)
			})
		}
	}
}

// Guards against parts of streams that end as complete because a continuation failed after it had shown that there is more.
func TestPartOfStoppedRunWhoseCopyFails(t *testing.T) {
	for name, after := range map[string]int{"event": 4, "gap": 5} {
		t.Run("after_"+name, func(t *testing.T) {
			a := newStoppable()
			a.framing, a.lastChunk, a.order = "chunks", true, a.stopAt("no_run")
			events, err := (&stopTest{route: "stream 2", a: a, b: func(w io.Writer, q *http.Request, _ <-chan struct{}) {
				writeHead(w, q)
				writeEvent(w, 3, "a3")
				writeEvent(w, after, "a")
			}}).play(t)
			require.Error(t, err, "the part %s ends as complete", events)
		})
	}
}

// Guards against whole streams that are lost to slow callers because the copy has expired before the box has read the end. The chunks had
// their end, and the order was answered.
func TestWholeStreamWhoseCopyHasExpired(t *testing.T) {
	a := newStoppable()
	a.framing, a.order = "chunks", a.endAt("no_run")
	v := stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve, sink: &slowRecorder{delay: 1900 * time.Millisecond}}
	events, err := v.play(t)
	require.NoError(t, err)
	require.Equal(t, wholeStream, events)
}

// Guards against parts of plain answers in chunks that end as complete, at an endpoint that ends the chunks of a stopped run.
func TestPlainAnswerOfStoppedRunEndsChunks(t *testing.T) {
	for _, route := range []string{"stream 2", "stream resumable 1"} {
		for _, answer := range []string{"stopped", "no_run", "failed", ""} {
			if route == "stream 2" && (answer == "no_run" || answer == "failed") {
				continue // a run that ended by itself looks the same
			}
			t.Run(strings.ReplaceAll(route, " ", "_")+"_answer_"+answer, func(t *testing.T) {
				a := newStoppable()
				a.kind, a.framing, a.lastChunk, a.lateHead, a.order = "text/plain", "chunks", true, true, a.stopAt(answer)
				events, err := (&stopTest{route: route, a: a, b: (&destination{total: 6, data: a.data}).serve}).play(t)
				require.False(t, err == nil && events != wholeStream, "the part %s ends as complete", events)
				require.Positive(t, a.orders)
			})
		}
	}
}

// Guards against whole plain answers in chunks that are lost because an order came too late.
func TestWholePlainAnswerInChunks(t *testing.T) {
	for _, answer := range []string{"no_run", "failed"} {
		t.Run("answer_"+answer, func(t *testing.T) {
			a := newStoppable()
			a.kind, a.framing, a.lateHead, a.order = "text/plain", "chunks", true, a.endAt(answer)
			events, err := (&stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve}).play(t)
			require.NoError(t, err)
			require.Equal(t, wholeStream, events)
			require.Positive(t, a.orders)
		})
	}
}

// Guards against runs that are lost because the endpoint that has their only copy takes no requests for a moment.
func TestOnlyCopyIsAtRestingServer(t *testing.T) {
	for _, route := range []string{"stream 2", "stream resumable 3"} {
		for _, framing := range []string{"", "chunks"} {
			for _, isStopped := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s_framing_%s_stopped_%v", strings.ReplaceAll(route, " ", "_"), framing, isStopped), func(t *testing.T) {
					a, s := newStoppable(), (*pipeScript)(nil)
					order := a.endAt("no_run")
					if isStopped {
						order = a.stopAt("no_run")
					}
					a.framing, a.lastChunk, a.order = framing, framing != "", func(n int) string {
						s.f.Balancer.Availability.BackOff("b", 500*time.Millisecond, boottime.Now())
						return order(n)
					}
					v := stopTest{route: route, a: a, b: (&destination{total: 6, data: a.data}).serve, arrange: func(p *pipeScript) { s = p }}
					events, err := v.play(t)
					require.NoError(t, err)
					require.Equal(t, wholeStream, events)
				})
			}
		}
	}
}

// Guards against runs that are lost because the endpoint that has their only copy has set a limit to the rate of requests.
func TestOnlyCopyIsAtLimitedServer(t *testing.T) {
	for _, permits := range []int{0, 1, 3} {
		t.Run(fmt.Sprint("permits_after_", permits), func(t *testing.T) {
			a, s := newStoppable(), (*pipeScript)(nil)
			order, asked := a.stopAt("no_run"), 0
			a.order = func(n int) string {
				s.f.RequestPermit = func(context.Context, throttle.Question) throttle.Answer {
					asked++
					return throttle.Answer{OK: asked > permits, After: 50 * time.Millisecond}
				}
				s.f.Balancer.Availability.Rates.Observe("b", endpoint.Limit{Limited: true, PerSecond: 10}, boottime.Now())
				return order(n)
			}
			v := stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve, arrange: func(p *pipeScript) { s = p }}
			events, err := v.play(t)
			require.NoError(t, err)
			require.Equal(t, wholeStream, events)
			require.Equal(t, permits+1, asked)
		})
	}
}

// Guards against destinations whose end is not reported: a whole stream stood although its copy showed nothing.
func TestCopyCrashesDestination(t *testing.T) {
	a := newStoppable()
	a.framing, a.order = "chunks", a.endAt("no_run")
	var ended atomic.Bool
	var crashed []string
	v := stopTest{route: "stream 2", a: a, b: func(w io.Writer, q *http.Request, _ <-chan struct{}) { ended.Store(true) }, arrange: func(s *pipeScript) {
		s.f.Pool.Connector = refusingPipes{scriptPipes{s: s}, func(id string) bool { return id == "b" && ended.Load() }}
		s.f.OnCrash = func(e endpoint.Endpoint) { crashed = append(crashed, e.ID) }
	}}
	_, err := v.play(t)
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, crashed)
}

// resetPipes are scriptPipes whose streams at endpoint a end with a reset.
type resetPipes struct{ scriptPipes }

func (p resetPipes) Connect(c context.Context, id, address string) (net.Conn, error) {
	n, err := p.scriptPipes.Connect(c, id, address)
	if id == "a" && err == nil {
		n = &resetConn{Conn: n}
	}
	return n, err
}

type resetConn struct {
	net.Conn
	isStream atomic.Bool
}

func (c *resetConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(" /x ")) {
		c.isStream.Store(true)
	}
	return c.Conn.Write(b)
}

func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.isStream.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Guards against runs that are lost although their copy is left: their streams were reset when they were stopped, and the source says that
// nothing runs.
func TestStreamOfStoppedRunIsReset(t *testing.T) {
	for _, framing := range []string{"", "chunks"} {
		t.Run("framing_"+framing, func(t *testing.T) {
			a := newStoppable()
			a.framing, a.order = framing, a.stopAt("no_run")
			v := stopTest{route: "stream 2", a: a, b: (&destination{total: 6, data: a.data}).serve, arrange: func(s *pipeScript) {
				s.f.Pool.Connector = resetPipes{scriptPipes{s: s}}
			}}
			events, err := v.play(t)
			require.NoError(t, err)
			require.Equal(t, wholeStream, events)
		})
	}
}

// Guards against whole plain answers that are lost: their runs were told to stop, although they can't be continued as streams.
func TestPlainAnswerIsNotStopped(t *testing.T) {
	for _, route := range []string{"stream 2", "stream resumable 1"} {
		for _, framing := range []string{"", "chunks"} {
			t.Run(strings.ReplaceAll(route, " ", "_")+"_framing_"+framing, func(t *testing.T) {
				a := newStoppable()
				a.kind, a.framing, a.order = "text/plain", framing, a.endAt("no_run")
				v := stopTest{route: route, a: a, b: (&destination{total: 6, data: a.data}).serve, arrange: func(*pipeScript) {
					time.AfterFunc(time.Second, func() {
						if a.orders == 0 {
							close(a.release)
						}
					})
				}}
				events, err := v.play(t)
				require.NoError(t, err)
				require.Equal(t, wholeStream, events)
				require.Zero(t, a.orders)
			})
		}
	}
}
