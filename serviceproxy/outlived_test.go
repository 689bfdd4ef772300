package serviceproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/recovery"
	"birchlink.dev/birchlink/view"
)

// unframedServer answers requests with a response without length or chunks, and questions for its load with its incarnation.
type unframedServer struct {
	t           *testing.T
	listener    net.Listener
	text, ends  string
	mu          sync.Mutex
	incarnation string // empty while no process answers
}

func (s *unframedServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.handle(c.(*net.TCPConn))
	}
}

func (s *unframedServer) handle(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if q.URL.Path != "/load" {
		_, _ = io.WriteString(c, s.text)
		s.end(c)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != "" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"incarnation\":\""+s.incarnation+"\"}")
	}
}

// end ends the connection of a response, with the process if that is asked for.
func (s *unframedServer) end(c *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.ends {
	case "lives":
	case "reset":
		require.NoError(s.t, c.SetLinger(0))
	case "ends":
		s.listener.Close()
	case "replaced":
		s.incarnation = "other"
	case "silent":
		s.incarnation = ""
	default:
		s.t.Errorf("unknown end: %s", s.ends)
	}
}

// Guards against sound responses without length or chunks that are refused, and against those that were cut and pass as whole: the
// end of the connection is that of the response only if the process of the endpoint has outlived it.
func TestOutlivedResponsesAreWhole(t *testing.T) {
	b, err := os.ReadFile("testdata/outlived.txt")
	require.NoError(t, err)
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		t.Run(strings.Join(f, "_"), func(t *testing.T) { playOutlived(t, f) })
	}
}

func playOutlived(t *testing.T, f []string) {
	t.Helper()
	head, body := strings.ReplaceAll(f[1], "_", " "), strings.Trim(f[2], "-")
	for _, repeatable := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		s := &unframedServer{t: t, listener: l, text: strings.ReplaceAll(head, "|", "\r\n") + "\r\n\r\n" + body, ends: f[0], incarnation: "i"}
		go s.serve()
		p := New()
		p.view = &view.View{}
		e := &view.EndpointState{InFlight: &atomic.Int64{}, Endpoint: fleet.Endpoint{
			Box: fleet.Box{Name: "e", Address: l.Addr().String()}, Load: fleet.Load{Incarnation: strings.Trim(f[3], "-")},
		}}
		resp, interruption, err := p.attempt(t.Context(), Request{Method: http.MethodGet, Path: "/x", Repeatable: repeatable}, e, 1)
		if f[4] != "whole" {
			require.Error(t, err)
			require.Equal(t, recovery.Disconnected, interruption)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, body, string(resp.Body))
	}
}
