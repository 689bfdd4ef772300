// Package endmark finds out which services end their streams with the same event, such as [DONE]. One that ends without it has
// been cut, although its endpoint ended the connection in order: a server whose handler fails closes the connection as after a
// whole answer.
package endmark

import (
	"bytes"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAnswers is the number of whole answers in a row, of two endpoints at least, that must end with the same event.
	minAnswers = 16

	// maxLacking is the number of answers in a row without the mark after which the service is taken to have changed.
	maxLacking = 8
)

// Census records the last events of each service's newest whole answers. Its zero value is ready to use, and its methods may be
// called concurrently.
type Census struct {
	mu       sync.Mutex
	services map[string]*tally
}

// tally is what is known of the answers of one service.
type tally struct {
	last      uint64 // the event with which they end
	answers   int    // in a row
	endpoint  string // of the first of them
	isGeneral bool   // another endpoint ends its answers so, too
	lacking   int    // answers since that lacked the event
}

// hasMark reports whether the answers are known to end with the same event.
func (t *tally) hasMark() bool { return t.answers >= minAnswers && t.isGeneral }

// HashOf returns a hash of an event by which it is known in other streams, whatever its ID.
func HashOf(raw []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	for line := range bytes.Lines(raw) {
		if !bytes.HasPrefix(line, []byte("id:")) {
			_, _ = h.Write(line) // never fails
		}
	}
	return h.Sum64()
}

// Record records the last event of a whole answer, by its hash.
func (c *Census) Record(service, endpoint string, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	if t == nil || t.last != last {
		if c.services == nil {
			c.services = map[string]*tally{}
		}
		t = &tally{last: last, endpoint: endpoint}
		c.services[service] = t
	}
	t.answers, t.lacking = t.answers+1, 0
	t.isGeneral = t.isGeneral || t.endpoint != endpoint
}

// Lacks reports whether the answers of a service are known to end with another event than this, with which one has ended.
func (c *Census) Lacks(service string, last uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	if t == nil || !t.hasMark() || t.last == last {
		return false
	}
	if t.lacking++; t.lacking > maxLacking {
		delete(c.services, service)
		return false
	}
	return true
}
