package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/endpoint"
)

// Guards against parts of streams that end as complete after their runs were told to stop: an order whose answer was lost stopped the
// run, and the answer to the next one, that nothing runs, was taken to say that the run had ended by itself.
func TestStoppedRunEndsAsComplete(t *testing.T) {
	b, err := os.ReadFile("testdata/stops/orders.txt")
	require.NoError(t, err)
	for i, line := range strings.Split(string(b), "\n") {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		for j := range fields {
			fields[j] = strings.TrimSpace(fields[j])
		}
		words := strings.Fields(fields[0])
		v := moveTest{
			unframed: words[0] == "unframed", resumable: words[1] == "resumable", health: true, named: true, moves: "ok " + strings.Join(words[2:], " "),
			wantEvents: fields[1], wantStarts: fields[2], wantErr: fields[3],
		}
		if len(fields) > 4 && fields[4] == "refuses" {
			v.refuses, v.c = 9, true
		}
		t.Run(strconv.Itoa(i+1)+" "+strings.Join(words, " "), func(t *testing.T) {
			onFakeClock(t, v.run)
		})
	}
}

// Guards against an order without an answer that is carried out late: it stopped the run after it had gone back to its source, and the
// part counted as whole.
func TestLateStopOfReturnedRun(t *testing.T) {
	r, err := &lockedSink{}, error(nil)
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "2")
		copies := 0
		s.f.Moves = fakeMoves{n: &copies, decode: func(_ int, answer string) call.Copy {
			if answer == "stopped" {
				return call.Copy{Result: call.NoRoom, Handle: "h2"}
			}
			return call.Copy{Result: call.Copied, Handle: "h1"}
		}}
		orders, stop := 0, make(chan struct{})
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			last := 0
			_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
			switch {
			case q.URL.Path == healthPath:
				writeAnswer(w, q, 200, "", "")
			case q.URL.Path == "/copy" && strings.Contains(q.URL.RawQuery, "last=true"):
				if orders++; orders == 2 {
					close(stop)
				}
				if orders > 1 { // the first one has no answer, and is carried out late
					writeAnswer(w, q, 200, "", "stopped")
				}
			case q.URL.Path != "/x":
				writeAnswer(w, q, 200, "", "copied")
			default:
				fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", q.Header.Get("Id"))
				for i := last + 1; i <= last+3; i++ {
					fmt.Fprintf(w, "id: %d\ndata: a\n\n", i)
				}
				if last == 0 {
					<-stop
				}
			}
		})
		go func() {
			time.Sleep(25 * time.Millisecond)
			s.add("b", streamEvents("b", 10*time.Millisecond, 10*time.Millisecond, 8))
			e := endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", Draining: true, DrainPeriod: 400 * time.Millisecond}
			s.f.Roster.Put(e)
			s.f.MoveAway(e)
		}()
		s.service.HealthPath = healthPath
		err = s.do("1", r, &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000})
		time.Sleep(time.Second) // until nothing looks after the draining endpoint any more
		synctest.Wait()
	})
	require.Equal(t, "1 2 3 4 5 6", r.events())
	require.Equal(t, "outcome_unknown", kindOf(err), "the run had more events")
}

// Guards against an order without an answer that is carried out late: it stopped the run by which the endpoint was to prove that the
// answer is whole.
func TestLateStopOfProof(t *testing.T) {
	r, err := &lockedSink{}, error(nil)
	synctest.Test(t, func(t *testing.T) {
		s := newPipeScript(t, "stream", "resumable", "3")
		copies := 0
		s.f.Moves = fakeMoves{n: &copies, decode: func(int, string) call.Copy { return call.Copy{Result: call.Copied, Handle: "h1"} }}
		stop := make(chan struct{})
		s.add("a", func(w io.Writer, q *http.Request, gone <-chan struct{}) {
			last := 0
			_, _ = fmt.Sscan(q.Header.Get("Last-Event"), &last)
			switch {
			case q.URL.Path == healthPath:
				writeAnswer(w, q, 200, "", "")
			case q.URL.Path == "/copy" && strings.Contains(q.URL.RawQuery, "last=true"): // is not answered
				select {
				case <-stop:
				default:
					close(stop)
				}
			case q.URL.Path != "/x":
				writeAnswer(w, q, 200, "", "copied")
			default:
				fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", q.Header.Get("Id"))
				for i := last + 1; i <= 3; i++ {
					fmt.Fprintf(w, "id: %d\ndata: a\n\n", i)
				}
				<-stop
			}
		})
		go func() {
			time.Sleep(25 * time.Millisecond)
			s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 503, "Not-Run: 1\r\n", "") })
			// The box was told in an answer that a drains, and a's record does not say so.
			s.f.MoveAway(endpoint.Endpoint{ID: "a", Service: "s", Slots: 4, Version: "v1", Address: "a", DrainPeriod: 400 * time.Millisecond})
			time.Sleep(time.Second)
			s.add("c", streamEvents("c", 10*time.Millisecond, 10*time.Millisecond, 6))
		}()
		s.service.HealthPath = healthPath
		err = s.do("1", r, &catalog.Engine{KVTransfer: true, TokensPerEvent: 1, KVBytesPerToken: 1, LinkBytesPerSecond: 1e9, Slots: 4, KVCapacity: 100000})
		time.Sleep(3 * time.Second) // until nothing looks after the draining endpoint any more
		synctest.Wait()
	})
	require.False(t, err == nil && r.events() != "1 2 3 4 5 6", "the part %s ends as complete", r.events())
}
