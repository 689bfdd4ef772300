// Package bodyroom bounds the memory of the request bodies that a box holds at the same time.
package bodyroom

import (
	"errors"
	"io"

	"birchlink.dev/birchlink/membudget"
)

const (
	// SmallBytes is the size up to which bodies have the room that is reserved for small ones.
	SmallBytes = 64 << 10

	// firstBytes is the memory that a body takes before any of it arrives.
	firstBytes = 4 << 10
)

// ErrFull reports that there is no room for a body now.
var ErrFull = errors.New("too many request bodies are held at this box")

// Room is the memory for the bodies of one box. Bodies of up to SmallBytes may use the reserve when larger ones take all else.
// It is safe for concurrent use.
type Room struct{ common, reserve membudget.Budget }

// New returns a room of total bytes for all bodies, and reserved bytes for small ones beside that.
func New(total, reserved int64) *Room {
	return &Room{common: membudget.Budget{Total: total}, reserve: membudget.Budget{Total: reserved}}
}

// Read reads r until its end and returns what it read, and a function to call when that is not used any more. After limit
// bytes r must return an error or io.EOF. The error is ErrFull if there is no room, or that of r. Memory is taken as bytes arrive,
// so that who announces many and sends few takes none from the others.
func (m *Room) Read(r io.Reader, limit int) ([]byte, func(), error) {
	b := buffer{room: m}
	if err := b.read(r, limit); err != nil {
		b.release()
		return nil, func() {}, err
	}
	return b.bytes, b.release, nil
}

// buffer holds one body.
type buffer struct {
	room   *Room
	bytes  []byte
	budget *membudget.Budget // from which size was taken
	size   int64             // capacity of bytes
}

func (b *buffer) read(r io.Reader, limit int) error {
	if err := b.grow(min(limit, firstBytes)); err != nil {
		return err
	}
	var next [1]byte // read in place of the body while that is full, as the end may follow
	for {
		isFull := len(b.bytes) == cap(b.bytes)
		p := b.bytes[len(b.bytes):cap(b.bytes)]
		if isFull {
			p = next[:]
		}
		n, err := r.Read(p)
		switch {
		case !isFull:
			b.bytes = b.bytes[:len(b.bytes)+n]
		case n > 0:
			if err := b.grow(max(min(limit, 2*cap(b.bytes)), len(b.bytes)+n)); err != nil {
				return err
			}
			b.bytes = append(b.bytes, next[:n]...)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow gives the buffer a capacity of n bytes.
func (b *buffer) grow(n int) error {
	budget := &b.room.common
	if !budget.Acquire(int64(n)) {
		budget = &b.room.reserve
		if n > SmallBytes || !budget.Acquire(int64(n)) {
			return ErrFull
		}
	}
	grown := append(make([]byte, 0, n), b.bytes...)
	b.release()
	b.bytes, b.budget, b.size = grown, budget, int64(n)
	return nil
}

// release returns the memory of the buffer.
func (b *buffer) release() {
	if b.budget != nil {
		b.budget.Release(b.size)
	}
	b.bytes, b.budget, b.size = nil, nil, 0
}
