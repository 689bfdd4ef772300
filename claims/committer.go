// Package claims commits claims on keys to the platform's key-value service. The owner of each slot
// in the data centre commits the claims of many boxes together. Ownership is advisory: two owners
// of a slot cost retries and never grant a key twice.
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

const (
	commitInterval        = 20 * time.Millisecond // pause between two groups of claims
	commitTimeout         = 3 * time.Second       // for all tries of a group
	maxCommitTries        = 16
	rereadDelay           = 200 * time.Millisecond // before the page is read again from an unreachable service
	maxPageBytes          = kv.MaxValue * 9 / 10   // larger pages accept no claims
	fullRetryAfter        = 30 * time.Second       // for the caller of a claim that the full page refused
	unavailableRetryAfter = 3 * time.Second        // for the caller of a claim that could not be committed
)

// store is the part of the key-value service that a committer uses.
type store interface {
	Get(c context.Context, key string) (kv.Entry, error)
	Swap(c context.Context, e kv.Entry) (kv.Entry, error)
}

// result is the claim in force, or the reason why there is none.
type result struct {
	claim ledger.Claim
	err   error
}

// pending is a claim that waits to be committed.
type pending struct {
	claim ledger.Claim
	done  chan result
}

// committer commits the claims of one slot, many with each swap of the slot's page.
type committer struct {
	store    store
	key      string
	ttl      time.Duration
	interval time.Duration

	mu      sync.Mutex
	waiting []pending
	running bool
	page    *ledger.Page
	rev     uint64
}

// submit queues a claim and waits for the claim in force. The commit continues if c ends first.
func (cm *committer) submit(c context.Context, claim ledger.Claim, spawn func(func())) (ledger.Claim, error) {
	w := pending{claim: claim, done: make(chan result, 1)}
	cm.mu.Lock()
	cm.waiting = append(cm.waiting, w)
	if !cm.running {
		cm.running = true
		spawn(cm.commitLoop)
	}
	cm.mu.Unlock()
	select {
	case r := <-w.done:
		return r.claim, r.err
	case <-c.Done():
		return ledger.Claim{}, errkind.New(errkind.ClaimUnavailable, "the claim took too long").WithRetryAfter(unavailableRetryAfter)
	}
}

// commitLoop commits the queued claims in groups until the queue is empty.
func (cm *committer) commitLoop() {
	for {
		cm.mu.Lock()
		ws := cm.waiting
		cm.waiting = nil
		if len(ws) == 0 {
			cm.running = false
			cm.mu.Unlock()
			return
		}
		cm.mu.Unlock()
		cm.commit(ws)
		time.Sleep(cm.interval)
	}
}

func (cm *committer) commit(ws []pending) {
	c, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var rs []result
	var err error
	unknown := false
	for n := 0; n < maxCommitTries && c.Err() == nil; n++ {
		if rs, err = cm.tryCommit(c, ws); err == nil {
			deliver(ws, rs)
			return
		}
		unknown = unknown || errors.Is(err, kv.ErrOutcomeUnknown)
		if !unknown && !errors.Is(err, kv.ErrConflict) {
			break
		}
		if errors.Is(err, kv.ErrUnavailable) {
			// A swap with an unknown result may have committed the claims: read the page again.
			wait.For(c, rereadDelay)
		}
	}
	for _, w := range ws {
		w.done <- result{err: errkind.New(errkind.ClaimUnavailable, "%w; use a ticket while the platform is away", err).WithRetryAfter(unavailableRetryAfter)}
	}
}

func deliver(ws []pending, rs []result) {
	for i, w := range ws {
		w.done <- rs[i]
	}
}

// tryCommit adds the claims to the page as this box knows it, and swaps the page once. No swap is
// needed if all keys are claimed already.
func (cm *committer) tryCommit(c context.Context, ws []pending) ([]result, error) {
	if err := cm.load(c); err != nil {
		return nil, err
	}
	cm.page.Expire(time.Now(), cm.ttl)
	rs := make([]result, len(ws))
	added := 0
	for i, w := range ws {
		current, fresh := cm.page.Add(w.claim)
		rs[i] = result{claim: current}
		if fresh {
			added++
		}
	}
	if added == 0 {
		return rs, nil
	}
	return rs, cm.swap(c)
}

// load reads the page unless it is known.
func (cm *committer) load(c context.Context) error {
	if cm.page != nil {
		return nil
	}
	e, err := cm.store.Get(c, cm.key)
	if err != nil {
		return err
	}
	return cm.setPage(e)
}

func (cm *committer) setPage(e kv.Entry) error {
	p, err := ledger.Parse(e.Value)
	if err != nil {
		return err
	}
	cm.page, cm.rev = p, e.Rev
	return nil
}

// swap writes the page. After a failure the page's content is unknown: it is taken from the
// conflict's answer or read again.
func (cm *committer) swap(c context.Context) error {
	b, err := cm.page.Bytes()
	if err == nil && len(b) > maxPageBytes {
		err = errkind.New(errkind.ClaimUnavailable, "the page of claims is full").WithRetryAfter(fullRetryAfter)
	}
	if err != nil {
		cm.page = nil
		return err
	}
	e, err := cm.store.Swap(c, kv.Entry{Key: cm.key, Rev: cm.rev, Value: b})
	switch {
	case err == nil:
		cm.rev = e.Rev
		return nil
	case errors.Is(err, kv.ErrConflict):
		if k := cm.setPage(e); k != nil {
			return fmt.Errorf("%w: %w", err, k)
		}
		return err
	default:
		cm.page = nil
		return err
	}
}
