// Package frame carries typed messages between entry boxes: a length, then one
// msgpack value.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize bounds one frame, in bytes.
const MaxSize = 10 << 20

// lengthBytes is the size of the length before each frame.
const lengthBytes = 4

// Type says what a message is.
type Type uint8

// The types of messages on a connection.
const (
	Call Type = iota + 1
	Item
	End
	Fail
	Cancel
	Hello
)

// Message is one frame. ID ties the frames of one call together.
type Message struct {
	ID     uint64             `msgpack:"i"`
	Type   Type               `msgpack:"t"`
	Method string             `msgpack:"m,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Conn reads and writes frames. Write may be called by many at once, Read by
// one. Bytes counts what went both ways.
type Conn struct {
	Bytes atomic.Int64

	c  net.Conn
	r  *bufio.Reader
	mu sync.Mutex
}

// New returns a Conn on c.
func New(c net.Conn) *Conn { return &Conn{c: c, r: bufio.NewReader(c)} }

// Close ends the connection.
func (c *Conn) Close() error { return c.c.Close() }

// Write sends one message within the limit.
func (c *Conn) Write(m Message, limit time.Duration) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.c.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	n, err := c.c.Write(b)
	c.Bytes.Add(int64(n))
	if err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read returns the next message.
func (c *Conn) Read() (Message, error) {
	m, n, err := Decode(c.r)
	c.Bytes.Add(int64(n))
	return m, err
}

// Encode returns the bytes of one frame.
func Encode(m Message) ([]byte, error) {
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(b) > MaxSize {
		return nil, fmt.Errorf("frame of %d bytes is over %d", len(b), MaxSize)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(b)), uint32(len(b))), b...), nil
}

// Decode reads one frame and says how many bytes it took.
func Decode(r io.Reader) (Message, int, error) {
	var h [lengthBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return Message{}, 0, fmt.Errorf("read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > MaxSize {
		return Message{}, 0, fmt.Errorf("frame of %d bytes is over %d", n, MaxSize)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return Message{}, 0, fmt.Errorf("read frame: %w", err)
	}
	var m Message
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return Message{}, 0, fmt.Errorf("decode frame: %w", err)
	}
	return m, lengthBytes + int(n), nil
}
