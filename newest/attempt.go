package newest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
)

// attempt is one fetch.
type attempt struct {
	Source
	announced uint64 // version that the source has announced; zero if it has announced none
	began     time.Time
	cancel    context.CancelCauseFunc
	progress  progress
	abandoned bool  // another fetch has brought what this one was to bring
	err       error // once it has ended
}

// pursuit is a series of fetches, until this box has what was announced.
type pursuit struct {
	*Fetcher
	attempts  []*attempt      // in progress, the oldest first
	results   chan *attempt   // those that have ended
	over      chan struct{}   // closed when results are not read any more
	asked     map[string]bool // boxes that were asked since the last success
	startedAt time.Time       // of the last fetch
	failed    bool            // the last fetch that ended failed
}

// step starts the fetches that are due. It returns false if none is in progress.
func (p *pursuit) step() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Version() >= p.newest {
		p.abandon()
		p.running = false
		return false
	}
	stalled := 0
	for _, a := range p.attempts {
		silence := a.progress.silence()
		if silence >= p.StallTime {
			stalled++
		}
		if silence >= p.GiveUp {
			a.cancel(errStalled)
		}
	}
	isDue := stalled == len(p.attempts) && len(p.attempts) < maxAttempts
	if isDue && p.c.Err() == nil {
		p.startNext()
	}
	p.running = len(p.attempts) > 0
	return p.running
}

// startNext starts a fetch from the next source, if there is one. The caller holds p.mu.
func (p *pursuit) startNext() {
	isJoined := len(p.attempts) > 0
	address, version := p.take(func(address string) bool { return !isJoined || !p.asked[address] })
	if address == "" && (isJoined || p.failed) {
		address = p.other()
	}
	if address == "" && isJoined && boottime.Since(p.startedAt) >= p.StallTime {
		address = p.attempts[0].Address
	}
	if address == "" {
		return
	}
	p.asked[address], p.startedAt = true, boottime.Now()
	c, cancel := context.WithCancelCause(p.c)
	a := &attempt{Source: Source{address, isJoined}, announced: version, began: p.startedAt, cancel: cancel}
	a.progress.start()
	p.attempts = append(p.attempts, a)
	p.group.Go(func() {
		x, stop := context.WithTimeout(c, p.Timeout)
		defer stop()
		a.err = p.Fetch(x, a.Source, a.progress.add)
		if a.err != nil && errors.Is(context.Cause(c), errStalled) {
			a.err = errStalled
		}
		cancel(nil)
		select {
		case p.results <- a:
		case <-p.over:
		}
	})
}

// other returns a box that was not asked yet and has announced nothing, if one is left.
func (p *pursuit) other() string {
	if p.Others == nil || len(p.asked) >= maxAsked {
		return ""
	}
	for _, a := range p.Others() {
		if !p.asked[a] {
			return a
		}
	}
	return ""
}

// end handles a fetch that has ended. If this box has what was announced, the others are not needed any more.
func (p *pursuit) end(a *attempt) {
	version := p.Version()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = slices.DeleteFunc(p.attempts, func(x *attempt) bool { return x == a })
	if a.abandoned {
		return
	}
	p.log(a, version)
	if p.failed = a.err != nil; p.failed {
		return
	}
	for _, o := range p.attempts {
		if version < max(a.announced, o.announced) {
			return
		}
	}
	p.abandon()
	clear(p.asked)
}

// abandon ends the fetches in progress, which are not needed any more. The caller holds p.mu.
func (p *pursuit) abandon() {
	for _, a := range p.attempts {
		a.abandoned = true
		a.cancel(nil)
	}
	p.attempts = nil
}

// progress is how much of a fetch has come.
type progress struct {
	mu     sync.Mutex
	bytes  int
	seen   int       // bytes at the last progress
	at     time.Time // of the last progress, or the start of the fetch
	lastAt time.Time // of the last bytes
}

func (p *progress) start() { p.at, p.lastAt = boottime.Now(), boottime.Now() }

func (p *progress) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes, p.lastAt = p.bytes+n, boottime.Now()
	if p.bytes-p.seen >= minProgress {
		p.seen, p.at = p.bytes, p.lastAt
	}
}

// silence returns the time since the last progress.
func (p *progress) silence() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boottime.Since(p.at)
}

// MarshalZerologObject adds to a log event how many bytes came, and for how long none have.
func (p *progress) MarshalZerologObject(l *zerolog.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.Int("bytes", p.bytes).Dur("silent", boottime.Since(p.lastAt))
}
