package ingress_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const bodyBytes = 16 << 20

// allowLargeBodies raises the limit of a body to bodyBytes.
func (b *box) allowLargeBodies() {
	d := document
	d.Version++
	d.Limits.BodyBytes = bodyBytes
	text, err := json.Marshal(d)
	require.NoError(b.t, err)
	b.store.Set("config", string(text))
	b.await(func() bool { return b.post("/a/x", "k", strings.Repeat("x", 101)).status == http.StatusOK })
}

// Guards against bodies that take all memory when many callers send large ones: further ones are refused at once, small
// ones are served meanwhile, and a large one is served again when they have left.
func TestLargeBodiesTogether(t *testing.T) {
	const (
		callers = 24
		most    = 48 << 20 // of large bodies
		live    = 64 << 20 // target for what is held, with small bodies and connections
		heap    = 200 << 20
	)
	b := startBox(t, true)
	b.await(b.isReady)
	b.allowLargeBodies()
	body := make([]byte, bodyBytes-1) // the last byte never comes
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sent, answered sync.WaitGroup
	answers := make(chan *http.Response, callers)
	conns := make([]net.Conn, 0, callers)
	for range callers {
		n, err := net.Dial("tcp", b.address)
		require.NoError(t, err)
		defer n.Close()
		conns = append(conns, n)
		answered.Go(func() {
			if resp, err := http.ReadResponse(bufio.NewReader(n), nil); err == nil {
				resp.Body.Close()
				answers <- resp
			}
		})
		sent.Go(func() {
			fmt.Fprintf(n, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			_, _ = n.Write(body)
		})
	}
	sent.Wait()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(heap))
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(live))
	require.Equal(t, http.StatusOK, b.post("/a/x", "k", strings.Repeat("x", 10<<10)).status)
	for range callers - most/bodyBytes {
		resp := <-answers
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	for _, n := range conns {
		n.Close()
	}
	answered.Wait()
	b.await(func() bool { return b.InFlight() == 0 })
	require.Equal(t, http.StatusOK, b.post("/a/x", "k", strings.Repeat("x", bodyBytes)).status)
}

// Guards against heads that take all memory when many callers send large ones without their end: further ones are refused at
// once, and requests with ordinary heads are served meanwhile and after.
func TestLargeHeadsTogether(t *testing.T) {
	const callers, target, least = 600, 48 << 20, 400
	b := startBox(t, true)
	b.await(b.isReady)
	var line strings.Builder
	for n := 0; line.Len() < 60<<10; n++ {
		fmt.Fprintf(&line, "X-Header-%d: some value of a header\r\n", n)
	}
	head := []byte("POST /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n" + line.String())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var answered sync.WaitGroup
	answers := make(chan *http.Response, callers)
	conns := make([]net.Conn, 0, callers)
	for range callers {
		n, err := net.Dial("tcp", b.address)
		require.NoError(t, err)
		defer n.Close()
		conns = append(conns, n)
		_, _ = n.Write(head)
		answered.Go(func() {
			if resp, err := http.ReadResponse(bufio.NewReaderSize(n, 16), nil); err == nil {
				resp.Body.Close()
				answers <- resp
			}
		})
	}
	require.Equal(t, http.StatusOK, b.post("/a/x", "k", "").status)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(target))
	for range least {
		resp := <-answers
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	for _, n := range conns {
		n.Close()
	}
	answered.Wait()
	n, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer n.Close()
	_, err = n.Write(append(head, "Content-Length: 0\r\n\r\n"...))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(n), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
