// Package ledger holds the claims on keys of requests that may run at most
// once: plain pages, each arbitrated by one compare-and-swap.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Key is the hash of an account and its key for a request.
type Key [16]byte

// NewKey hashes an account and a client's key.
func NewKey(account, key string) Key {
	h := sha256.Sum256([]byte(account + "\x00" + key))
	return Key(h[:16])
}

// Slot returns the page of k among n.
func (k Key) Slot(n int) int { return int(binary.BigEndian.Uint32(k[:4]) % uint32(n)) }

// Claim says which process alone may run the request of a key. Nonce tells a
// claimer its own claim after a lost answer.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key    []byte
	Holder string
	Nonce  uint64
	At     int64
}

// Page is the claims of one slot.
type Page struct {
	Claims map[Key]Claim
}

// Parse reads a page as it is stored; nothing stored is an empty page.
func Parse(b []byte) (*Page, error) {
	p := &Page{Claims: map[Key]Claim{}}
	if len(b) == 0 {
		return p, nil
	}
	var cs []Claim
	if err := msgpack.Unmarshal(b, &cs); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	for _, c := range cs {
		if len(c.Key) != len(Key{}) {
			return nil, fmt.Errorf("decode claims: key of %d bytes", len(c.Key))
		}
		p.Claims[Key(c.Key)] = c
	}
	return p, nil
}

// Bytes returns the page as it is stored.
func (p *Page) Bytes() ([]byte, error) {
	cs := make([]Claim, 0, len(p.Claims))
	for _, c := range p.Claims {
		cs = append(cs, c)
	}
	b, err := msgpack.Marshal(cs)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return b, nil
}

// Add enters a claim unless its key is claimed, and returns the claim that is
// in force and whether the page changed.
func (p *Page) Add(c Claim) (Claim, bool) {
	if old, taken := p.Claims[Key(c.Key)]; taken {
		return old, false
	}
	p.Claims[Key(c.Key)] = c
	return c, true
}

// Expire drops claims made longer ago than ttl, and returns how many.
func (p *Page) Expire(now time.Time, ttl time.Duration) int {
	n := 0
	for k, c := range p.Claims {
		if now.Sub(time.Unix(c.At, 0)) > ttl {
			delete(p.Claims, k)
			n++
		}
	}
	return n
}
