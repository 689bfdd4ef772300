package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/httpconn"
)

// links are the connections of one box to the servers, which can be cut.
type links struct {
	mu    sync.Mutex
	cut   string // how they are cut; empty while they are whole
	conns map[*linkConn]bool
}

// state returns how the links are cut.
func (l *links) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// set cuts the links, or heals them if how is empty. A cut that is "silent" loses what is sent over
// connections, and new ones time out. One that is "reset" ends connections and refuses new ones, and
// one that is "refuse" only refuses new ones.
func (l *links) set(how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = how
	for c := range l.conns {
		if how == "reset" {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func (l *links) dial(c context.Context, network, address string) (net.Conn, error) {
	switch l.state() {
	case "silent":
		<-c.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case "reset", "refuse":
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	n, err := (&net.Dialer{}).DialContext(c, network, address)
	if err != nil {
		return nil, err
	}
	k := &linkConn{n.(*net.TCPConn), l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[k] = true
	return k, nil
}

// linkConn is a connection over links.
type linkConn struct {
	*net.TCPConn
	links *links
}

func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.links.state() != "silent" {
			return n, err
		}
	}
}

func (c *linkConn) Write(b []byte) (int, error) {
	if c.links.state() == "silent" {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// try sends a request without retries and returns its status, or 0 if there was no answer.
func (e *entryBox) try(t testing.TB, path, id string, deadline time.Duration) int {
	t.Helper()
	q, err := newBodyRequest(e.callersAddress, path, id, deadline)
	require.NoError(t, err)
	h := http.Client{Timeout: 2 * deadline}
	a, err := h.Do(q)
	if err != nil {
		return 0
	}
	require.NoError(t, a.Body.Close())
	return a.StatusCode
}

// servesAll reports whether a box answers a number of requests of each kind at the first try.
func (e *entryBox) servesAll(t testing.TB, id string) bool {
	const each = 4
	for i := range each {
		for _, p := range []string{"/once/x", "/again/x", "/stream/x"} {
			if e.try(t, p, fmt.Sprintf("%s-%s-%d-%s", e.name, id, i, p[1:3]), time.Second) != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// Boxes that are cut from all servers answer their callers through boxes that are not, however the
// links fail, and use their own links again once these heal. Servers lose no request of other boxes
// meanwhile: what a cut box finds is true of its own links only.
func TestCutBoxesServe(t *testing.T) {
	f, err := os.Open("testdata/cuts.txt")
	require.NoError(t, err)
	defer f.Close()
	for r := bufio.NewScanner(f); r.Scan(); {
		if line := r.Text(); line != "" && line[0] != '#' {
			t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) { runCut(t, strings.Fields(line)) })
		}
	}
}

func runCut(t testing.TB, words []string) {
	how, cut := words[0], words[1:]
	p := newPlatform(t, 4)
	names := []string{"a", "b", "c", "d", "e", "f"}
	boxes, ls := map[string]*entryBox{}, map[string]*links{}
	bs := make([]*entryBox, 0, len(names))
	for i, n := range names {
		l := &links{}
		ls[n] = l
		boxes[n] = p.startBoxWith(n, []string{"north", "south", "west"}[i%3], []fx.Option{fx.Replace(httpconn.DialFunc(l.dial))})
		bs = append(bs, boxes[n])
	}
	defer stopAll(t, bs)
	served := func(b *entryBox, round string) {
		i := 0
		require.Eventually(t, func() bool { i++; return b.servesAll(t, fmt.Sprint(round, i)) }, 30*time.Second, time.Millisecond, b.name+round)
	}
	for _, b := range bs {
		require.Eventually(t, func() bool { return b.isReady(t) && b.hasMetric(t, "boxes.known", len(names)) }, 20*time.Second, 5*time.Millisecond)
		served(b, "whole")
	}
	for _, n := range cut {
		ls[n].set(how)
	}
	for _, b := range bs {
		served(b, "cut")
	}
	for _, b := range bs {
		require.True(t, b.hasMetric(t, "endpoints.reported_ended", 0) || !b.hasAnyMetric(t, "endpoints.reported_ended"), b.name)
	}
	for _, n := range cut {
		ls[n].set("")
	}
	for _, n := range cut {
		require.Eventually(t, func() bool { return boxes[n].hasMetric(t, "endpoints.links_lost", 0) }, 30*time.Second, time.Millisecond)
		served(boxes[n], "healed")
	}
}
