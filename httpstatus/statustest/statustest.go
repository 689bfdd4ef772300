// Package statustest provides servers whose answers have invalid statuses, for tests.
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

// Server answers each request with a status, a header and a body that is framed by its length. It keeps its connections.
type Server struct {
	Address string
	Status  atomic.Pointer[string]
	Header  string // lines, each with its end
	Body    string

	Connections, Requests atomic.Int64

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
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", *s.Status.Load(), s.Header, len(s.Body), s.Body)
	}
}
