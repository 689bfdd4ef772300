// Package stream carries accepted requests to the end of their answers: it
// keeps each stream's tokens, starts its attempts, and takes it through broken
// connections, reclaims and the stop of its own box.
package stream

import (
	"context"
	"strconv"
	"sync"
	"time"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/errkind"
)

// Request is one accepted request.
type Request struct {
	ID         string
	Account    string
	Workload   string
	Prompt     string
	MaxTokens  int
	Kind       admission.Kind
	Member     string
	Match      string
	Weight     float64
	Rate       float64
	Repeatable bool
	Deadline   time.Time
}

// Admission returns what admission needs to know of the request.
func (q Request) Admission() admission.Request {
	return admission.Request{Account: q.Account, Member: q.Member, Match: q.Match, Kind: q.Kind, Weight: q.Weight, Rate: q.Rate, Workload: q.Workload}
}

// content returns what the request asks for, whatever its ID is.
func (q Request) content() content.Hash {
	return content.Of(q.Account, &call.Call{Host: q.Workload, Target: strconv.Itoa(q.MaxTokens), Body: []byte(q.Prompt)})
}

// MovedError is the error that ends a stream here because a peer goes on with it.
type MovedError struct {
	To string
}

// Error says where the stream went.
func (m *MovedError) Error() string { return "the stream was handed to " + m.To }

// Stats is what a stream cost.
type Stats struct {
	Attempts   int
	Recomputed int
	Box        string
}

// Stream is the answer to one request as far as it has come.
type Stream struct {
	Request

	mu      sync.Mutex
	tokens  []string
	done    bool
	err     error
	stats   Stats
	changed chan struct{}
	relayed bool
	abroad  bool
	readers int
	left    time.Time
	ended   time.Time

	signals chan signal
	cancel  context.CancelFunc
}

// newStream returns a stream without tokens.
func newStream(q Request) *Stream {
	return &Stream{Request: q, changed: make(chan struct{}), signals: make(chan signal, 1), left: time.Now()}
}

// set changes the stream under its lock and wakes the readers.
func (s *Stream) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Stream) add(t string) { s.set(func() { s.tokens = append(s.tokens, t) }) }

func (s *Stream) finish(err error) {
	s.set(func() {
		if !s.done {
			s.done, s.err, s.ended = true, err, time.Now()
		}
	})
}

// view returns the tokens from an index on, whether and how the stream ended,
// and a channel that closes on change.
func (s *Stream) view(from int) (ts []string, done bool, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.tokens) {
		ts = s.tokens[from:]
	}
	return ts, s.done, s.changed, s.err
}

// Tokens returns the tokens so far, whether they are the whole answer, and how
// the stream ended otherwise.
func (s *Stream) Tokens() (ts []string, whole bool, err error) {
	ts, done, _, err := s.view(0)
	return ts, done && err == nil, err
}

// Stats returns what the stream has cost so far.
func (s *Stream) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Len returns how many tokens there are.
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

// attach counts readers, so that a stream without any can be told.
func (s *Stream) attach(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.left = time.Now()
}

// abandoned reports for how long nobody has read the stream.
func (s *Stream) abandoned(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 || s.done {
		return 0
	}
	return now.Sub(s.left)
}

// Read hands the tokens from an index on to each until the answer is whole. The
// error is a *MovedError if a peer goes on, an *errkind.Error if the request failed.
func (s *Stream) Read(c context.Context, from int, each func(index int, token string) error) error {
	s.attach(1)
	defer s.attach(-1)
	if from < 0 || from > s.MaxTokens {
		return errkind.New(errkind.HeaderOutOfRange, "no token %d in an answer of at most %d", from, s.MaxTokens)
	}
	for {
		ts, done, changed, err := s.view(from)
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

// attempt names an attempt at an engine process.
func (s *Stream) attempt(n int, incarnation string, from int) engine.Attempt {
	return engine.Attempt{RequestID: s.ID, Attempt: n, Incarnation: incarnation, From: from}
}

// Wait returns once the stream has ended here, with its error.
func (s *Stream) Wait(c context.Context) error {
	for {
		_, done, changed, err := s.view(0)
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
