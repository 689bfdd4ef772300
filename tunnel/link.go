package tunnel

import (
	"fmt"
	"net"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// link is a connection to an endpoint over which another box's tunnel leads. Methods that it does not define are those of the
// connection.
type link struct {
	net.Conn
	service *Service
	request Request
	heard   time.Time // when anything last arrived; guarded by the service's lock
}

// newLink records a connection to an endpoint.
func (s *Service) newLink(n net.Conn, q Request) *link {
	l := &link{Conn: n, service: s, request: q, heard: boottime.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[l] = true
	return l
}

// Read reads what the endpoint sent. After an error, the connection counts as ended.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	if l.heard = boottime.Now(); err != nil {
		delete(l.service.links, l)
		return n, fmt.Errorf("read from %s: %w", l.request.Address, err)
	}
	return n, nil
}

// SetLinger sets what happens to unsent data when the connection is closed, if it is one of TCP.
func (l *link) SetLinger(seconds int) error {
	if t, ok := l.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds) //nolint:wrapcheck // the error is that of the connection
	}
	return nil
}

// Holds reports whether other boxes' tunnels hold connections to an endpoint, and when anything last arrived on them or one
// was established.
func (s *Service) Holds(id, address string) (heard time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		if l.request.Endpoint != id || l.request.Address != address {
			continue
		}
		if ok = true; l.heard.After(heard) {
			heard = l.heard
		}
	}
	return heard, ok
}
