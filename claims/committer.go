// Package claims has keys claimed in the platform's service: each slot's soft
// owner in the data centre commits the claims of many boxes together.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/ledger"
	"birchlink.dev/birchlink/wait"
)

// The bounds of a commit. A page is refused more claims when it is nearly as
// large as the service holds.
const (
	commitEvery = 20 * time.Millisecond
	commitLimit = 3 * time.Second
	tries       = 16
	lookAgain   = 200 * time.Millisecond
	fullBytes   = kv.MaxValue * 9 / 10
	retryFull   = 30 * time.Second
	retryAway   = 3 * time.Second
)

// store is what a committer needs of the key-value service.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// result is the claim in force, or why there is none.
type result struct {
	claim ledger.Claim
	err   error
}

// pending is one claim on its way.
type pending struct {
	claim ledger.Claim
	done  chan result
}

// committer commits the claims of one slot, many with one swap.
type committer struct {
	store store
	key   string
	ttl   time.Duration
	every time.Duration

	mu      sync.Mutex
	waiting []pending
	busy    bool
	page    *ledger.Page
	rev     uint64
}

// submit enters a claim and waits for the claim in force. The commit goes on
// when the waiter leaves.
func (m *committer) submit(c context.Context, claim ledger.Claim, spawn func(func())) (ledger.Claim, error) {
	w := pending{claim: claim, done: make(chan result, 1)}
	m.mu.Lock()
	m.waiting = append(m.waiting, w)
	if !m.busy {
		m.busy = true
		spawn(m.work)
	}
	m.mu.Unlock()
	select {
	case r := <-w.done:
		return r.claim, r.err
	case <-c.Done():
		return ledger.Claim{}, errkind.New(errkind.ClaimUnavailable, "the claim took too long").WithRetryAfter(retryAway)
	}
}

// work commits group after group until nobody waits.
func (m *committer) work() {
	for {
		m.mu.Lock()
		ws := m.waiting
		m.waiting = nil
		if len(ws) == 0 {
			m.busy = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		m.commit(ws)
		time.Sleep(m.every)
	}
}

func (m *committer) commit(ws []pending) {
	c, cancel := context.WithTimeout(context.Background(), commitLimit)
	defer cancel()
	var rs []result
	var err error
	unknown := false
	for n := 0; n < tries && c.Err() == nil; n++ {
		if rs, err = m.try(c, ws); err == nil {
			answer(ws, rs)
			return
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown)
		if !unknown && !errors.Is(err, kv.ErrConflict) {
			break
		}
		if errors.Is(err, kv.ErrAway) {
			// The claims may stand already: look again before giving up.
			wait.For(c, lookAgain)
		}
	}
	for _, w := range ws {
		w.done <- result{err: errkind.New(errkind.ClaimUnavailable, "%w; use a ticket while the platform is away", err).WithRetryAfter(retryAway)}
	}
}

func answer(ws []pending, rs []result) {
	for i, w := range ws {
		w.done <- rs[i]
	}
}

// try applies the claims to the page as it is known and swaps it once. Claims
// that find their key taken need no swap.
func (m *committer) try(c context.Context, ws []pending) ([]result, error) {
	if err := m.load(c); err != nil {
		return nil, err
	}
	m.page.Expire(time.Now(), m.ttl)
	rs := make([]result, len(ws))
	added := 0
	for i, w := range ws {
		in, fresh := m.page.Add(w.claim)
		rs[i] = result{claim: in}
		if fresh {
			added++
		}
	}
	if added == 0 {
		return rs, nil
	}
	return rs, m.swap(c)
}

// load reads the page unless it is known.
func (m *committer) load(c context.Context) error {
	if m.page != nil {
		return nil
	}
	e, err := m.store.Get(c, m.key)
	if err != nil {
		return err
	}
	return m.keep(e)
}

func (m *committer) keep(e kv.Entry) error {
	p, err := ledger.Parse(e.Value)
	if err != nil {
		return err
	}
	m.page, m.rev = p, e.Rev
	return nil
}

// swap writes the page. After any failure what the page holds is not known, so
// it is taken from the answer or read again.
func (m *committer) swap(c context.Context) error {
	b, err := m.page.Bytes()
	if err == nil && len(b) > fullBytes {
		err = errkind.New(errkind.ClaimUnavailable, "the page of claims is full").WithRetryAfter(retryFull)
	}
	if err != nil {
		m.page = nil
		return err
	}
	e, err := m.store.Swap(c, kv.Entry{Key: m.key, Rev: m.rev, Value: b})
	switch {
	case err == nil:
		m.rev = e.Rev
		return nil
	case errors.Is(err, kv.ErrConflict):
		if k := m.keep(e); k != nil {
			return fmt.Errorf("%w: %w", err, k)
		}
		return err
	default:
		m.page = nil
		return err
	}
}
