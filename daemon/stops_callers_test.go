package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/wait"
)

// stopsCaller keeps a connection to a box. One that is patient reads no answer before it has sent its whole request.
type stopsCaller struct {
	id, path  string
	conn      net.Conn
	reader    *bufio.Reader
	isPatient bool
	isLate    bool // it begins once the boxes stop
}

// unbuffered is a connection over which an http.Request is written in the pieces in which its body comes, as one of HTTP/1.0 if isOld.
type unbuffered struct {
	net.Conn
	isOld bool
}

func (u unbuffered) Write(b []byte) (int, error) {
	if u.isOld && bytes.HasSuffix(b, []byte(" HTTP/1.1\r\n")) {
		_, err := u.Conn.Write(bytes.Replace(b, []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1))
		return len(b), err
	}
	return u.Conn.Write(b)
}

func (u unbuffered) WriteByte(b byte) error {
	_, err := u.Write([]byte{b})
	return err
}

// slowBody is a body that comes in pieces until a context ends.
type slowBody struct {
	context context.Context
	pieces  []string
	each    time.Duration
}

func (s *slowBody) Read(b []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, io.EOF
	}
	wait.For(s.context, s.each)
	if s.context.Err() != nil {
		return 0, s.context.Err()
	}
	n := copy(b, s.pieces[0])
	if s.pieces[0] = s.pieces[0][n:]; s.pieces[0] == "" {
		s.pieces = s.pieces[1:]
	}
	return n, nil
}

// slow gives a request a body as the line has it.
func (v *stopsTest) slow(c context.Context, q *http.Request, id string) {
	text := strings.Repeat(id+" ", 1+v.bytes/(len(id)+1))
	size := len(text)/stopsPieces + 1
	b := &slowBody{context: c, each: v.body / stopsPieces}
	for p := range slices.Chunk([]byte(text), size) {
		b.pieces = append(b.pieces, string(p))
	}
	q.Body, q.GetBody, q.ContentLength = io.NopCloser(b), nil, int64(len(text))
	if v.request == "chunks" {
		q.ContentLength = -1
	}
}

// stopsAnswer is an answer as its caller saw it.
type stopsAnswer struct {
	status    int
	header    http.Header
	text      string
	closes    bool
	err       error // that ended it before its end
	isWhole   bool
	sentWhole time.Time // when the whole request was sent; zero if it was not
}

// isRefusal reports whether the answer promises that the request did not run.
func (a *stopsAnswer) isRefusal() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && strings.Contains(a.text, "not_run") && a.header.Get("Retry-After") != ""
}

// isWrong reports whether the answer looks complete and is not, or has events that may not follow.
func (a *stopsAnswer) isWrong() bool {
	return a.status == http.StatusOK && !a.isWhole && (a.err == nil || errors.Is(a.err, standin.ErrInvalidEvent) || errors.Is(a.err, standin.ErrJoined))
}

func newStopsCaller(id, path string, n net.Conn) *stopsCaller {
	return &stopsCaller{id: id, path: path, conn: n, reader: bufio.NewReader(n)}
}

// dial connects a caller to a box, and has one answer on the connection.
func (v *stopsTest) dial(box int, path string) (*stopsCaller, error) {
	n, err := net.Dial("tcp", v.boxes[box].callersAddress)
	if err != nil {
		return nil, err
	}
	k := newStopsCaller(v.nextID(), "/again/"+quickName, n)
	if a := v.send(k, false); !a.isWhole {
		return nil, fmt.Errorf("first answer: %d %s: %w", a.status, a.text, a.err)
	}
	k.id, k.path = v.nextID(), path
	return k, nil
}

// send sends a caller's request and reads the answer.
func (v *stopsTest) send(k *stopsCaller, isSlow bool) stopsAnswer {
	c, cancel := context.WithCancel(v.t.Context())
	defer cancel()
	s := &standin.Stream{Fixed: strings.HasPrefix(k.path, "/stream-fixed/")}
	q, err := s.NewRequest(k.conn.RemoteAddr().String(), k.path, k.id, stopsPatience)
	if err != nil {
		return stopsAnswer{err: err}
	}
	if isSlow {
		v.slow(c, q, k.id)
	}
	_ = k.conn.SetDeadline(time.Now().Add(stopsPatience))
	sent := make(chan time.Time, 1)
	go func() {
		if err := q.Write(unbuffered{k.conn, isSlow && v.request == "old"}); err != nil {
			sent <- time.Time{}
			return
		}
		sent <- time.Now()
	}()
	var whole time.Time
	if k.isPatient {
		whole = <-sent
	}
	a := k.read(q, s)
	cancel()
	if !k.isPatient {
		whole = <-sent
	}
	a.sentWhole = whole
	return a
}

// read reads an answer.
func (k *stopsCaller) read(q *http.Request, s *standin.Stream) stopsAnswer {
	r, err := http.ReadResponse(k.reader, q)
	if err != nil {
		return stopsAnswer{err: err}
	}
	defer r.Body.Close()
	a := stopsAnswer{status: r.StatusCode, header: r.Header, closes: r.Close}
	if r.StatusCode == http.StatusOK && strings.HasPrefix(k.path, "/stream") {
		a.err = s.Read(k.id, r.Body, stopsEvents+1)
		a.isWhole, a.text = a.err == nil && s.Events == stopsEvents, fmt.Sprint(s.Events, " events")
		return a
	}
	b, err := io.ReadAll(r.Body)
	a.text, a.err = string(b), err
	a.isWhole = err == nil && r.StatusCode == http.StatusOK && a.text == standin.ExpectedBody(k.id)
	return a
}

// isClosed reports whether a connection was closed or reset.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
