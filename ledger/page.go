// Package ledger encodes the claims on idempotency keys of requests that may run at most once. The
// claims are spread over pages, and each page is updated by compare-and-swap in the store.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Key identifies a request: the hash of an account and the key that its client chose.
type Key [16]byte

// NewKey returns the Key of an account and a client's key.
func NewKey(account, key string) Key {
	h := sha256.Sum256([]byte(account + "\x00" + key))
	return Key(h[:16])
}

// Slot returns the index of the page that holds k, among n pages.
func (k Key) Slot(n int) int { return int(binary.BigEndian.Uint32(k[:4]) % uint32(n)) }

// Claim grants one process, the Holder, the exclusive right to run the request with a key. A claimer
// recognizes its own claim by Nonce if the answer to the write was lost. At is the time of the claim
// in Unix seconds.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key    []byte
	Holder string
	Nonce  uint64
	At     int64
}

// Page holds the claims of one slot.
type Page struct {
	Claims map[Key]Claim
}

// Parse decodes a stored page. Empty input yields an empty page.
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

// Bytes encodes the page for the store.
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

// Add adds c unless its key is already claimed. It returns the claim in force and whether the page
// changed.
func (p *Page) Add(c Claim) (Claim, bool) {
	if old, taken := p.Claims[Key(c.Key)]; taken {
		return old, false
	}
	p.Claims[Key(c.Key)] = c
	return c, true
}

// Expire removes claims older than ttl and returns how many it removed.
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
