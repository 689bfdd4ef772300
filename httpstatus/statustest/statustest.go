// Package statustest provides servers whose answers have invalid statuses or are redirects, for tests.
package statustest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Invalid are statuses that no response may have.
var Invalid = []string{"000", "099", "101", "600", "999", "+20"}

// Redirects are the statuses of redirects that net/http follows.
var Redirects = []string{"301", "302", "303", "307", "308"}

// elsewhere is the location of redirects.
const elsewhere = "/elsewhere"

// Server answers each request with a status, a header and a body that is framed by its length. It keeps its connections.
type Server struct {
	Address string
	Status  atomic.Pointer[string]
	Header  string // lines, each with its end
	Body    string

	Connections, Requests atomic.Int64
	Followed              atomic.Int64 // requests at the location of redirects

	mu   sync.Mutex
	open []net.Conn
}

// NewServer returns a server that runs until the end of the test.
func NewServer(t testing.TB, status, header, body string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String(), Header: header, Body: body}
	s.Status.Store(&status)
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.open {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			s.mu.Lock()
			s.open = append(s.open, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

// NewRedirector returns a server that answers requests with redirects of a status, and those at their location with 200. All answers
// have the same body.
func NewRedirector(t testing.TB, status, body string) *Server {
	t.Helper()
	return NewServer(t, status, "Location: "+elsewhere+"\r\n", body)
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.Requests.Add(1)
		status := *s.Status.Load()
		if q.URL.Path == elsewhere {
			s.Followed.Add(1)
			status = "200"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", status, s.Header, len(s.Body), s.Body)
	}
}
