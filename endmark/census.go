// Package endmark finds out which services end their streams with the same event, such as [DONE]. One that ends without it has
// been cut, although its endpoint ended the connection in order: a server whose handler fails closes the connection as after a
// whole answer.
package endmark

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/ring"
)

const (
	// numAnswers is the number of a service's newest whole answers, of two endpoints at least, of which all must end with one of
	// maxMarks events.
	numAnswers = 16
	maxMarks   = 2

	// numLacking is the number of the newest last events that are remembered of answers that lacked a mark. An event among them that
	// comes again is a mark, too: cut answers end with events of their own. After as many in a row the service is taken to have
	// changed.
	numLacking = 8
)

// Census records the last events of each service's newest whole answers. Its zero value is ready to use, and its methods may be
// called concurrently.
type Census struct {
	mu       sync.Mutex
	services map[string]*tally
}

// tally is what is known of the answers of one service.
type tally struct {
	ends    *ring.Ring[end]  // of whole answers
	lacking *ring.Ring[lack] // answers that lacked a mark
	row     int              // how many did in a row
}

// end is the last event of an answer, and the endpoint that sent it.
type end struct {
	event    uint64
	endpoint string
}

// lack is an answer that ended with an event that is no mark.
type lack struct {
	answer string
	event  uint64
}

// marks returns the events with which the answers end, or none if that is not known.
func (t *tally) marks() []uint64 {
	var marks []uint64
	answers, first, isGeneral := 0, "", false
	for e := range t.ends.Newest() {
		if answers++; answers == 1 {
			first = e.endpoint
		}
		isGeneral = isGeneral || e.endpoint != first
		if !slices.Contains(marks, e.event) {
			marks = append(marks, e.event)
		}
	}
	if answers < numAnswers || !isGeneral || len(marks) > maxMarks {
		return nil
	}
	return marks
}

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
	if t == nil {
		if c.services == nil {
			c.services = map[string]*tally{}
		}
		t = &tally{ends: ring.New[end](numAnswers), lacking: ring.New[lack](numLacking)}
		c.services[service] = t
	}
	t.ends.Add(end{last, endpoint})
	t.row = 0
}

// Lacks reports whether the answers of a service are known to end with other events than this, with which one has ended. The answer is
// the ID of its request.
func (c *Census) Lacks(service, answer string, last uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.services[service]
	if t == nil {
		return false
	}
	if marks := t.marks(); marks == nil || slices.Contains(marks, last) {
		return false
	}
	for l := range t.lacking.Newest() {
		if l.event == last {
			return l.answer == answer
		}
	}
	if t.row++; t.row > numLacking {
		delete(c.services, service)
		return false
	}
	t.lacking.Add(lack{answer, last})
	return true
}
