package httpconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/bytebudget"
	"birchlink.dev/birchlink/httpconn"
)

// listen returns a listener that passes its first connection to f.
func listen(t *testing.T, f func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		f(c)
	}()
	return l
}

func request(l net.Listener) httpconn.Request {
	return httpconn.Request{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Matches: func(http.Header) bool { return true },
	}
}

// Tests that a cancelled call resets its connection. Otherwise the kernel keeps retransmitting a
// request sent during a partition, and the endpoint receives it when the partition ends, after the
// call was retried at another endpoint.
func TestCancelledRequestResetsConnection(t *testing.T) {
	c, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	l := listen(t, func(n net.Conn) {
		r := bufio.NewReader(n)
		_, err := http.ReadRequest(r)
		if err == nil {
			cancel()
			_, err = io.Copy(io.Discard, n)
		}
		end <- err
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	_, err := p.Do(c, request(l))
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-end, syscall.ECONNRESET)
}

// Tests that closing a response before its end resets the connection.
func TestClosingIncompleteResponseResetsConnection(t *testing.T) {
	end := make(chan error, 1)
	l := listen(t, func(n net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(n))
		if err == nil {
			_, err = io.WriteString(n, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		}
		if err == nil {
			_, err = io.Copy(io.Discard, n)
		}
		end <- err
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	a, err := p.Do(t.Context(), request(l))
	require.NoError(t, err)
	a.Close()
	require.ErrorIs(t, <-end, syscall.ECONNRESET)
}

// Tests that a request for which ShouldSend returns false is not sent, and that the connection
// returns to the pool.
func TestShouldSendFalse(t *testing.T) {
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	q := request(l)
	q.ShouldSend = func() bool { return false }
	_, err := p.Do(t.Context(), q)
	require.ErrorIs(t, err, httpconn.ErrNotSent)
	require.Equal(t, 1, p.CountIdle())
	q.ShouldSend, q.MaxIdle = func() bool { return true }, time.Minute
	a, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	a.Close()
}

// Tests that a call on a connection of its own leaves the idle connections for other calls.
func TestNewConnectionKeepsIdleOnes(t *testing.T) {
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, n)
		}
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	a, err := p.Do(t.Context(), request(l))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	require.NoError(t, err)
	a.Close()
	require.Equal(t, 1, p.CountIdle())
	q := request(l)
	q.ShouldSend = func() bool { return false }
	_, err = p.Do(t.Context(), q)
	require.ErrorIs(t, err, httpconn.ErrNotSent)
	require.Equal(t, 2, p.CountIdle())
}

// Tests that RefusesConnections reports an address without a listener, and that a connection
// which is accepted returns to the pool.
func TestRefusesConnections(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	l := listen(t, func(net.Conn) { <-hold })
	p := &httpconn.Pool{DialTimeout: time.Minute}
	require.False(t, p.RefusesConnections(t.Context(), "e", l.Addr().String()))
	require.Equal(t, 1, p.CountIdle())
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	require.True(t, p.RefusesConnections(t.Context(), "e", gone.Addr().String()))
}

// Tests that the rest of a late answer is not taken for the answer to a request.
func TestRestOfLateAnswerIsNoAnswer(t *testing.T) {
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
			return
		}
		rest := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
		late := strings.Repeat("x", 1<<20) + rest
		_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: %d\r\n\r\n%s", len(late), late)
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	q := request(l)
	q.Matches = func(h http.Header) bool { return h.Get("Id") == "1" }
	_, err := p.Do(t.Context(), q)
	require.ErrorContains(t, err, "belongs to another request")
}

// Tests that an answer of the maximum size passes while answers of other endpoints hold all that answers may hold.
func TestLargeAnswerBesideEndlessOnes(t *testing.T) {
	const size = 8 << 20
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
			_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		}
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	dropped := 0
	for i := range 64 {
		require.NoError(t, p.Budget.Hold(i, strconv.Itoa(i%2), 1<<20, func() { dropped++ }))
	}
	q := request(l)
	q.Endpoint = "sound"
	a, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	b, err := a.ReadAll(size)
	require.NoError(t, err)
	require.Len(t, b, size)
	require.NotZero(t, dropped)
	require.LessOrEqual(t, p.Budget.Total(), 64<<20)
	a.Close()
	require.Equal(t, 64-dropped, p.Budget.Total()>>20)
}

// Tests that reading an answer that was dropped for those of other calls ends, and that its connection is not used again.
func TestDroppedAnswer(t *testing.T) {
	end := make(chan error, 1)
	l := listen(t, func(n net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(n))
		if err == nil {
			_, err = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 8<<20, strings.Repeat("x", 1<<20))
		}
		if err == nil {
			_, err = io.Copy(io.Discard, n)
		}
		end <- err
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	a, err := p.Do(t.Context(), request(l))
	require.NoError(t, err)
	require.NoError(t, a.Hold(20<<20))
	require.NoError(t, p.Budget.Hold("other", "", 10<<20, nil))
	require.NoError(t, p.Budget.Hold("other", "", 13<<20, nil)) // drops the answer
	_, err = a.ReadAll(8 << 20)
	require.ErrorIs(t, err, bytebudget.ErrFull)
	a.Close()
	require.ErrorIs(t, <-end, syscall.ECONNRESET)
	require.Zero(t, p.CountIdle())
	require.Equal(t, 13, p.Budget.Total()>>20)
}

// Tests bodies at the bound of ReadAll.
func TestReadAllBound(t *testing.T) {
	for _, head := range []string{"", "Content-Length: 10000\r\n"} {
		for n, ok := range map[int]bool{9999: false, 10000: true} {
			l := listen(t, func(n net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
					_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+strings.Repeat("x", 10000))
				}
			})
			p := &httpconn.Pool{DialTimeout: time.Minute}
			a, err := p.Do(t.Context(), request(l))
			require.NoError(t, err)
			b, err := a.ReadAll(n)
			if ok {
				require.NoError(t, err)
				require.Len(t, b, 10000)
			} else {
				require.ErrorContains(t, err, "over")
			}
			a.Close()
			require.Zero(t, p.Budget.Total())
		}
	}
}

// Tests that a connection on which an endpoint sends bytes without end after a whole answer is not kept, nor one that gets
// bytes while it is idle.
func TestBytesOnIdleConnection(t *testing.T) {
	for name, v := range map[string]struct {
		more      string // directly after the answer
		idle      string // once it is idle
		wantConns int
	}{
		"after an answer": {"more", "", 0},
		"while idle":      {"", strings.Repeat("more", 1<<18), 1},
	} {
		t.Run(name, func(t *testing.T) {
			read, wrote := make(chan struct{}), make(chan struct{})
			l := listen(t, func(n net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
					return
				}
				_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=99999999\r\n\r\nok"+v.more)
				<-read
				go func() { _, _ = io.WriteString(n, v.idle) }() // until the connection is closed
				close(wrote)
				_, _ = io.Copy(io.Discard, n)
			})
			p := &httpconn.Pool{DialTimeout: time.Minute}
			a, err := p.Do(t.Context(), request(l))
			require.NoError(t, err)
			_, err = a.ReadAll(10)
			require.NoError(t, err)
			a.Close()
			require.Equal(t, v.wantConns, p.CountIdle())
			close(read)
			<-wrote
			boottime.SimulateSuspension(11 * time.Second)
			p.Sweep()
			require.Zero(t, p.CountIdle())
		})
	}
}

// Tests that a pool holds connections to an endpoint while a call uses them and while they are idle, until the endpoint
// closes them.
func TestHolds(t *testing.T) {
	answer, end := make(chan struct{}), make(chan struct{})
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
			return
		}
		_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
		<-answer
		_, _ = io.WriteString(n, "b")
		<-end
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	holds := func() bool {
		_, ok := p.Holds("e", l.Addr().String())
		return ok
	}
	require.False(t, holds())
	q := request(l)
	q.Endpoint = "e"
	a, err := p.Do(t.Context(), q)
	require.NoError(t, err)
	require.True(t, holds())
	began, _ := p.Holds("e", l.Addr().String())
	close(answer)
	_, err = io.Copy(io.Discard, a.Body)
	require.NoError(t, err)
	a.Close()
	require.True(t, holds())
	heard, _ := p.Holds("e", l.Addr().String())
	require.True(t, heard.After(began))
	_, ok := p.Holds("other", l.Addr().String())
	require.False(t, ok)
	require.NoError(t, l.Close()) // which is no end
	require.True(t, holds())
	close(end)
	require.Eventually(t, func() bool { return !holds() }, 30*time.Second, time.Millisecond)
}

// Tests that a connection that the endpoint has closed is not held, although its call has not read all that it sent.
func TestHoldsClosedConnection(t *testing.T) {
	end := make(chan struct{})
	l := listen(t, func(n net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na")
		}
		<-end
	})
	p := &httpconn.Pool{DialTimeout: time.Minute}
	a, err := p.Do(t.Context(), request(l))
	require.NoError(t, err)
	defer a.Close()
	_, ok := p.Holds("", l.Addr().String())
	require.True(t, ok)
	close(end)
	require.Eventually(t, func() bool {
		_, ok := p.Holds("", l.Addr().String())
		return !ok
	}, 30*time.Second, time.Millisecond)
}
