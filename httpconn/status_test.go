package httpconn_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpconn"
)

// forged is a body that looks like a response to the request.
const forged = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nforged"

// frame returns a response whose body is framed in the given way.
func frame(status, id, framing, body string) string {
	head := "HTTP/1.1 " + status + " X\r\nId: " + id + "\r\nNot-Run: 1\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case "empty":
		return head + "Content-Length: 0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

// inFront returns the responses that an endpoint sends before the one to the request.
func inFront(t *testing.T, words string) string {
	t.Helper()
	if words == "-" {
		return ""
	}
	var b strings.Builder
	for w := range strings.SplitSeq(words, "+") {
		w, times, _ := strings.Cut(w, "*")
		n := 1
		if times != "" {
			var err error
			n, err = strconv.Atoi(times)
			require.NoError(t, err)
		}
		one := "HTTP/1.1 " + w + " X\r\nId: 1\r\n\r\n"
		if kind, status, _ := strings.Cut(w, ":"); kind == "late" {
			one = frame(cmp.Or(status, "200"), "another", "length", "late")
		} else if kind == "forged" {
			one = frame(status, "another", "length", forged)
		}
		b.WriteString(strings.Repeat(one, n))
	}
	return b.String()
}

// Guards against bodies that are read as responses, and against responses with invalid statuses that are passed on.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	b, err := os.ReadFile("testdata/statuses.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		f := strings.Split(line, "|")
		require.Len(t, f, 5, line)
		want, isKept := strings.TrimSpace(f[3]), strings.TrimSpace(f[4]) == "kept"
		for _, status := range strings.Fields(f[0]) {
			for _, framing := range strings.Fields(f[1]) {
				for _, front := range strings.Fields(f[2]) {
					t.Run(status+" "+framing+" after "+front, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { playStatus(t, status, framing, front, want, isKept) })
					})
				}
			}
		}
	}
}

// pipeConn is an end of a pipe that records whether it was closed with a reset.
type pipeConn struct {
	net.Conn

	isReset bool
}

func (c *pipeConn) SetLinger(int) error {
	c.isReset = true
	return nil
}

// pipe connects to the other end of a pipe.
type pipe struct{ near *pipeConn }

func (p pipe) Connect(context.Context, string, string) (net.Conn, error) { return p.near, nil }

func (pipe) Refuses(context.Context, string, string, time.Duration) (net.Conn, bool) {
	return nil, false
}
func (pipe) Check(string, string, time.Time) {}
func (pipe) RecordTraffic(string)            {}
func (pipe) ReusableSince(string) time.Time  { return time.Time{} }
func (pipe) IsLost(string) bool              { return false }

func playStatus(t *testing.T, status, framing, front, want string, isKept bool) {
	text := inFront(t, front) + frame(status, "1", framing, forged)
	near, far := net.Pipe()
	c := &pipeConn{Conn: near}
	defer near.Close()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(far, text) // until the connection is closed
	}()
	p := &httpconn.Pool{Connector: pipe{c}}
	resp, err := p.Do(t.Context(), httpconn.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	if want != "as sent" {
		if err == nil {
			resp.Close()
		}
		require.ErrorContains(t, err, want)
		require.Zero(t, p.CountIdle())
		require.True(t, c.isReset)
		_, err = near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.ErrClosedPipe)
		return
	}
	require.NoError(t, err)
	require.Equal(t, status, strconv.Itoa(resp.Status))
	body, err := resp.ReadAll(1 << 10)
	require.NoError(t, err)
	if framing == "empty" {
		require.Empty(t, body)
	} else {
		require.Equal(t, forged, string(body))
	}
	resp.Close()
	require.Equal(t, isKept, p.CountIdle() == 1)
	require.False(t, c.isReset)
}
