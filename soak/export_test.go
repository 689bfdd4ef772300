package soak

import (
	"net"
	"net/http"
	"time"
)

// FreeAddresses is freeAddresses.
var FreeAddresses = freeAddresses

// ProbeStatus returns the status that a caller gets for a call of a box.
func ProbeStatus(b *Box) (int, error) { return probeStatus(newCaller(1), b, 1, "r-1") }

// IsReady is isReady.
var IsReady = isReady

// Termed returns when processes of the box were first sent SIGTERM.
func (b *Box) Termed() []time.Time { return b.termed }

// SlowPieces returns the pieces of a request that is sent slowly, and how long they take.
func SlowPieces(q *http.Request, chunked bool, head, body time.Duration) (pieces []string, took time.Duration, err error) {
	ps, err := slowRequest{chunked: chunked, head: head, body: body}.pieces(q)
	for _, p := range ps {
		pieces, took = append(pieces, p.text), took+p.after
	}
	return pieces, took, err
}

// PairOf returns the addresses of a connection that this process has opened.
func PairOf(c net.Conn) ConnPair {
	return ConnPair{hexAddress(c.LocalAddr()), hexAddress(c.RemoteAddr())}
}
