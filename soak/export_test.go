package soak

import (
	"net"
	"net/http"
	"time"

	"birchlink.dev/birchlink/platform/standin"
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

// CheckBodies checks the bodies that servers have received, and returns the violations. The paths of the undisturbed requests are by their IDs.
func CheckBodies(a *standin.Audit, undisturbed map[string]string) []string {
	r := &run{fleet: &Fleet{Audit: a}, undisturbed: map[string]slowRequest{}, outcomes: map[string]int{}}
	for id, path := range undisturbed {
		r.undisturbed[id] = slowRequest{path: path, id: id}
	}
	r.checkBodies()
	return r.violations
}

// PairOf returns the addresses of a connection that this process has opened.
func PairOf(c net.Conn) ConnPair {
	return ConnPair{hexAddress(c.LocalAddr()), hexAddress(c.RemoteAddr())}
}
