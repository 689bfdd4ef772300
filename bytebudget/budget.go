// Package bytebudget bounds the bytes of endpoints' answers that a box holds in memory.
package bytebudget

import (
	"errors"
	"sync"
)

// The bounds in bytes. A box has 284 MB, and its heap may grow to twice what is in use. Three answers of the maximum
// size, 8 MB, fit into the share of an endpoint.
const (
	maxTotal    = 64 << 20
	maxEndpoint = 32 << 20
)

// ErrFull reports that the answers of the endpoint hold too many bytes.
var ErrFull = errors.New("the endpoint's answers hold too many bytes")

// Budget is the number of bytes that answers may hold, in total and for each endpoint. The zero value is ready to use.
type Budget struct {
	mu        sync.Mutex
	total     int
	endpoints map[string]int // bytes held, by ID
	holders   map[any]holder
}

// holder is an answer that holds bytes.
type holder struct {
	endpoint string
	bytes    int
	drop     func()
}

// Hold sets the number of bytes that an answer of an endpoint holds, which the key identifies. If they don't fit, the
// largest answer of the endpoint that holds the most is dropped, or Hold returns ErrFull if that is this one. Then the answer
// holds what it held. Hold calls the function drop of another answer, which must not call the budget and ends the reading of
// that answer; an answer whose drop is nil is not dropped.
func (b *Budget) Hold(key any, endpoint string, n int, drop func()) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.holders[key]
	if n == 0 && !ok {
		return nil
	}
	b.set(key, holder{endpoint, n, drop})
	for n > old.bytes && (b.total > maxTotal || b.endpoints[endpoint] > maxEndpoint) {
		of := ""
		if b.endpoints[endpoint] > maxEndpoint {
			of = endpoint
		}
		k := b.largest(key, of)
		if k == key {
			b.set(key, old)
			return ErrFull
		}
		b.holders[k].drop()
		b.set(k, holder{})
	}
	return nil
}

// Settle has an answer dropped no more: it was read to its end.
func (b *Budget) Settle(key any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h, ok := b.holders[key]; ok {
		h.drop = nil
		b.holders[key] = h
	}
}

// Release ends the holding of an answer.
func (b *Budget) Release(key any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[key]; ok {
		b.set(key, holder{})
	}
}

// Total returns the number of bytes held.
func (b *Budget) Total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// set replaces a holder, and removes it if it holds nothing. The caller must hold b.mu.
func (b *Budget) set(key any, h holder) {
	if b.holders == nil {
		b.holders, b.endpoints = map[any]holder{}, map[string]int{}
	}
	old := b.holders[key]
	b.total += h.bytes - old.bytes
	if h.bytes > 0 {
		b.endpoints[h.endpoint] += h.bytes
	}
	if b.endpoints[old.endpoint] -= old.bytes; b.endpoints[old.endpoint] == 0 {
		delete(b.endpoints, old.endpoint)
	}
	if b.holders[key] = h; h.bytes == 0 {
		delete(b.holders, key)
	}
}

// largest returns the key of the largest answer that can be dropped at an endpoint, or of all if the endpoint is empty, at
// the one that holds the most. It returns key if there is none. The caller must hold b.mu.
func (b *Budget) largest(key any, endpoint string) any {
	of := func(h holder) (atEndpoint, bytes int) { return b.endpoints[h.endpoint], h.bytes }
	most, bytes := of(b.holders[key])
	for k, h := range b.holders {
		if h.drop == nil || endpoint != "" && h.endpoint != endpoint {
			continue
		}
		if m, n := of(h); m > most || m == most && n > bytes {
			key, most, bytes = k, m, n
		}
	}
	return key
}
