package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowLink connects to the endpoint a over a link that takes a time for each byte of a body. Received gets the bodies that arrive there,
// with the error at the end of those that are not whole.
type slowLink struct {
	scriptPipes

	byteTime time.Duration
	received chan string
}

func (l slowLink) Connect(c context.Context, id, address string) (net.Conn, error) {
	if id != "a" {
		return l.scriptPipes.Connect(c, id, address)
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		q, err := http.ReadRequest(bufio.NewReader(iotest.OneByteReader(far)))
		if err != nil {
			l.received <- err.Error()
			return
		}
		var body strings.Builder
		for {
			time.Sleep(l.byteTime)
			if _, err := io.CopyN(&body, q.Body, 1); err == io.EOF { //nolint:errorlint // any other error is one
				break
			} else if err != nil {
				fmt.Fprint(&body, ": ", err)
				l.received <- body.String()
				return
			}
		}
		l.received <- body.String()
		writeAnswer(far, q, 200, "", "a")
	}()
	return near, nil
}

// Guards against a part of a body that looks like a whole request: the attempt is superseded while its body is being sent. That of a request
// which may run once is sent to its end.
func TestBodyOfSupersededAttempt(t *testing.T) {
	for route, v := range map[string]struct {
		byteTime               time.Duration
		wantReceived, wantFrom string
	}{
		"idempotent 2":       {150 * time.Millisecond, "b: unexpected EOF", "b"},
		"stream resumable 2": {800 * time.Millisecond, "bod: unexpected EOF", "b"},
		"mutating 2":         {800 * time.Millisecond, "body", "a"},
		"stream 2":           {800 * time.Millisecond, "body", "a"},
	} {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPipeScript(t, strings.Fields(route)...)
				l := slowLink{scriptPipes: scriptPipes{s: s}, byteTime: v.byteTime, received: make(chan string, 2)}
				s.f.Pool.Connector = l
				s.add("a", nil)
				go func() {
					time.Sleep(100 * time.Millisecond)
					s.add("b", func(w io.Writer, q *http.Request, _ <-chan struct{}) { writeAnswer(w, q, 200, "", "b") })
				}()
				r := &recorder{}
				require.NoError(t, s.do("1", r, nil))
				require.Equal(t, v.wantFrom, r.body)
				require.Equal(t, v.wantReceived, <-l.received)
			})
		})
	}
}
