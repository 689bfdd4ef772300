// Package stream runs accepted requests for streamed answers until they are complete. It keeps the
// tokens of each stream, chooses the endpoint of each attempt, and continues streams after broken
// connections, reclaims of boxes and the shutdown of its own box.
package stream

import (
	"context"
	"sync"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/requesthash"
)

// Request is one accepted request.
type Request struct {
	ID         string
	Account    string
	Workload   string
	Prompt     string
	Parts      []requesthash.Hash // of the prompt that other requests may share
	MaxTokens  int
	Kind       admission.Kind
	Member     string
	Match      string
	Weight     float64
	Rate       float64
	Repeatable bool
	Deadline   time.Time

	// Software is the software version of the engine that sent the first token. Other boxes that continue the stream need it.
	Software string
}

// Admission returns the fields of the request that admission control uses.
func (q Request) Admission() admission.Request {
	return admission.Request{Account: q.Account, Member: q.Member, Match: q.Match, Kind: q.Kind, Weight: q.Weight, Rate: q.Rate, Workload: q.Workload}
}

// MovedError is the error of a stream that ended on this box because a peer continues it.
type MovedError struct {
	To string
}

// Error returns the box that continues the stream.
func (m *MovedError) Error() string { return "the stream was handed to " + m.To }

// Stats is the cost of a stream: the attempts so far, the tokens that were computed again, and the
// box of the last attempt.
type Stats struct {
	Attempts   int
	Recomputed int
	Box        string
}

// Stream is the answer to one request, as far as it has been received.
type Stream struct {
	Request

	mu         sync.Mutex
	tokens     []string
	done       bool
	err        error
	stats      Stats
	changed    chan struct{}
	relayed    bool
	remoteOnly bool
	readers    int
	idleSince  time.Time
	endedAt    time.Time

	moveRequests chan moveRequest
	cancel       context.CancelFunc
}

// newStream returns a stream without tokens.
func newStream(q Request) *Stream {
	return &Stream{Request: q, changed: make(chan struct{}), moveRequests: make(chan moveRequest, 1), idleSince: time.Now()}
}

// update calls f with the stream's lock held and then wakes the readers.
func (s *Stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// addToken adds a token of an engine of a software version.
func (s *Stream) addToken(t, software string) {
	s.update(func() {
		if len(s.tokens) == 0 {
			s.Software = software
		}
		s.tokens = append(s.tokens, t)
	})
}

// software returns the software version of the engine that sent the first token.
func (s *Stream) software() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Software
}

// mayContinueAt reports whether an engine may send the next token: the stream has not begun, or it has at the software
// version of the engine.
func (s *Stream) mayContinueAt(b fleet.Box) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens) == 0 || s.Software == b.Label(fleet.SoftwareLabel)
}

func (s *Stream) finish(err error) {
	s.update(func() {
		if !s.done {
			s.done, s.err, s.endedAt = true, err, time.Now()
		}
	})
}

// snapshot returns the tokens from an index on, whether the stream has ended and with which error,
// and a channel that is closed at the next change.
func (s *Stream) snapshot(from int) (ts []string, done bool, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.tokens) {
		ts = s.tokens[from:]
	}
	return ts, s.done, s.changed, s.err
}

// Tokens returns the tokens received so far and whether they are the complete answer. The error is
// that of a stream that failed.
func (s *Stream) Tokens() (ts []string, complete bool, err error) {
	ts, done, _, err := s.snapshot(0)
	return ts, done && err == nil, err
}

// Stats returns the cost of the stream so far.
func (s *Stream) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Len returns the number of tokens received so far.
func (s *Stream) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// Done reports whether the stream has ended.
func (s *Stream) Done() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// addReaders adds n to the number of readers. The sweep cancels streams that have had none for
// abandonTimeout.
func (s *Stream) addReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.idleSince = time.Now()
}

// unreadFor returns for how long a stream that has not ended has had no reader.
func (s *Stream) unreadFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 || s.done {
		return 0
	}
	return now.Sub(s.idleSince)
}

// Read calls each for every token from an index on until the stream ends. It returns nil for a
// complete answer, a *MovedError if a peer continues the stream, an *errkind.Error if the request
// failed, and otherwise the error of each or of the context.
func (s *Stream) Read(c context.Context, from int, each func(index int, token string) error) error {
	s.addReaders(1)
	defer s.addReaders(-1)
	if from < 0 || from > s.MaxTokens {
		return errkind.New(errkind.HeaderOutOfRange, "no token %d in an answer of at most %d", from, s.MaxTokens)
	}
	for {
		ts, done, changed, err := s.snapshot(from)
		for _, t := range ts {
			if err := each(from, t); err != nil {
				return err
			}
			from++
		}
		if done {
			return err
		}
		select {
		case <-changed:
		case <-c.Done():
			return c.Err()
		}
	}
}

// attempt identifies an attempt of the stream at an engine process.
func (s *Stream) attempt(n int, incarnation string, from int) engine.Attempt {
	return engine.Attempt{RequestID: s.ID, Attempt: n, Incarnation: incarnation, From: from}
}

// Wait returns once the stream has ended on this box, with the stream's error.
func (s *Stream) Wait(c context.Context) error {
	for {
		_, done, changed, err := s.snapshot(0)
		if done {
			return err
		}
		select {
		case <-changed:
		case <-c.Done():
			return c.Err()
		}
	}
}
