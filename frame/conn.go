// Package frame implements the wire format of connections between entry boxes. Each frame is a
// 4-byte big-endian length followed by one Message encoded with msgpack.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/membudget"
)

// MaxSize is the maximum size of an encoded message, in bytes, without the length prefix.
const MaxSize = 10 << 20

// stepBytes is the memory that is taken for a frame before any of its bytes arrive. It is doubled whenever it
// is full.
const stepBytes = 64 << 10

// Limits of the write of a frame. pieceBytes is the part of it that is written within the caller's time limit. The largest frame
// takes 9 s at 10 Mbit/s.
const (
	pieceBytes   = 16 << 10
	maxWriteTime = 30 * time.Second
)

// errNoRoom reports that too many large frames are being read.
var errNoRoom = errors.New("no room for a large frame")

// headerBytes is the size of the length prefix of a frame.
const headerBytes = 4

// Type is the type of a message.
type Type uint8

// The message types.
const (
	Call   Type = iota + 1 // request to call a method
	Item                   // one item of a streamed result
	End                    // result of a call that succeeded
	Fail                   // error of a call that failed
	Cancel                 // request to cancel a call
	Hello                  // step of the authentication handshake
)

// Message is the content of one frame. All messages of a call have the same ID.
type Message struct {
	ID     uint64             `msgpack:"i"`
	Type   Type               `msgpack:"t"`
	Method string             `msgpack:"m,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Conn reads and writes frames on a network connection. Write may be called concurrently; Read must
// be called by one goroutine at a time. Bytes is the number of bytes transferred in both directions. Large bounds the
// frames of over 64 KB that are being read on all connections that share it, unless it is nil; a read of a frame for which
// it has no room fails. OnRead, if set before the first call of a read method that follows, is called with the number of bytes
// of each read from the network, also while a frame is not complete.
type Conn struct {
	Bytes  atomic.Int64
	Large  *membudget.Budget
	OnRead func(n int)

	c  net.Conn
	r  *bufio.Reader
	mu sync.Mutex
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn {
	f := &Conn{c: c}
	f.r = bufio.NewReader(countingReader{f})
	return f
}

// countingReader reads from the network connection of a Conn and counts the bytes.
type countingReader struct{ *Conn }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.c.Read(b)
	if n > 0 {
		r.Bytes.Add(int64(n))
		if r.OnRead != nil {
			r.OnRead(n)
		}
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.c.Close() }

// NetConn returns the network connection. Only its deadlines and options may be used.
func (c *Conn) NetConn() net.Conn { return c.c }

// Buffered returns the number of bytes that were received and not read yet.
func (c *Conn) Buffered() int { return c.r.Buffered() }

// Write sends one message. It fails if writing pieceBytes of it takes longer than timeout, so that a receiver may be slow but not
// stall, or all of it longer than maxWriteTime. It closes the connection if only a part of the frame was sent.
func (c *Conn) Write(m Message, timeout time.Duration) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, end := 0, time.Now().Add(maxWriteTime)
	for sent < len(b) {
		t := time.Now().Add(timeout)
		if end.Before(t) {
			t = end
		}
		if err = c.c.SetWriteDeadline(t); err != nil {
			break
		}
		var n int
		n, err = c.c.Write(b[sent:min(sent+pieceBytes, len(b))])
		c.Bytes.Add(int64(n))
		if sent += n; err != nil {
			break
		}
	}
	if err != nil && sent > 0 {
		c.c.Close()
	}
	if err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read reads the next message.
func (c *Conn) Read() (Message, error) { return c.ReadUpTo(MaxSize) }

// ReadUpTo reads the next message. It fails if the encoded message is larger than limit, in bytes.
func (c *Conn) ReadUpTo(limit int) (Message, error) {
	m, _, err := decode(c.r, limit, c.Large)
	return m, err
}

// ReadWithin reads the next message, which must arrive within d of its first byte. The time until that is not bounded. It
// removes the read deadline.
func (c *Conn) ReadWithin(d time.Duration) (Message, error) {
	if _, err := c.r.Peek(1); err != nil {
		return Message{}, fmt.Errorf("read frame: %w", err)
	}
	if !c.holdsFrame() {
		_ = c.c.SetReadDeadline(time.Now().Add(d))
		defer func() { _ = c.c.SetReadDeadline(time.Time{}) }()
	}
	return c.Read()
}

// holdsFrame reports whether a whole frame was received and not read yet.
func (c *Conn) holdsFrame() bool {
	if c.r.Buffered() < headerBytes {
		return false
	}
	h, _ := c.r.Peek(headerBytes)
	return int64(c.r.Buffered()) >= headerBytes+int64(binary.BigEndian.Uint32(h))
}

// Encode returns m as a frame. It fails if the encoded message is larger than MaxSize.
func Encode(m Message) ([]byte, error) {
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(b) > MaxSize {
		return nil, fmt.Errorf("frame of %d bytes is over %d", len(b), MaxSize)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(b)), uint32(len(b))), b...), nil
}

// Decode reads one frame. It returns the message and the size of its frame in bytes, which is 0
// on an error. A frame with a length over MaxSize is an error.
func Decode(r io.Reader) (Message, int, error) { return decode(r, MaxSize, nil) }

func decode(r io.Reader, limit int, large *membudget.Budget) (Message, int, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return Message{}, 0, fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(h[:])
	if int64(n) > int64(limit) {
		return Message{}, 0, fmt.Errorf("frame of %d bytes is over %d", n, limit)
	}
	if large != nil && n > stepBytes {
		if !large.Acquire(int64(n)) {
			return Message{}, 0, errNoRoom
		}
		defer large.Release(int64(n))
	}
	b, err := readN(r, int(n))
	if err != nil {
		return Message{}, 0, fmt.Errorf("read frame: %w", err)
	}
	if err := Check(b); err != nil {
		return Message{}, 0, fmt.Errorf("decode frame: %w", err)
	}
	var m Message
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return Message{}, 0, fmt.Errorf("decode frame: %w", err)
	}
	return m, headerBytes + int(n), nil
}

// readN reads n bytes. The memory that it takes is in proportion to the bytes that arrive.
func readN(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, 0, min(n, stepBytes))
	for {
		k, err := io.ReadFull(r, b[len(b):cap(b)])
		b = b[:len(b)+k]
		if err != nil || len(b) == n {
			return b, err
		}
		b = append(make([]byte, 0, min(n, 2*cap(b))), b...)
	}
}
