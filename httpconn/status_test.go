package httpconn_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
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
					t.Run(status+" "+framing+" after "+front, func(t *testing.T) { playStatus(t, status, framing, front, want, isKept) })
				}
			}
		}
	}
}

func playStatus(t *testing.T, status, framing, front, want string, isKept bool) {
	text, end := inFront(t, front)+frame(status, "1", framing, forged), make(chan error, 1)
	l := listen(t, func(n net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(n))
		if err == nil {
			_, err = io.WriteString(n, text)
		}
		if err == nil {
			err = n.(*net.TCPConn).CloseWrite()
		}
		if err == nil {
			_, err = io.Copy(io.Discard, n)
		}
		end <- err
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	q := request(l)
	q.Matches = func(h http.Header) bool { return h.Get("Id") == "1" }
	resp, err := p.Do(t.Context(), q)
	if want != "as sent" {
		if err == nil {
			resp.Close()
		}
		require.ErrorContains(t, err, want)
		require.Zero(t, p.CountIdle())
		require.Error(t, <-end, "the connection is reset")
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
}
