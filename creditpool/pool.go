// Package creditpool lets boxes spend each other's retry credits. A box has few credits, and failures do not come
// evenly: without it, retries are denied at one box while others keep credits that expire. A credit is
// spent once, at the box that has it or at the one that it is lent to, so lending adds nothing to the retries of all
// boxes together. If an answer is lost, so is the credit.
package creditpool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/peer"
)

// Name is the name under which the service is registered in the kernel.
const Name = "credits"

const methodLend = "credits.lend"

const (
	// maxLenders bounds the boxes that are asked for one credit. The last one may be of another data centre.
	maxLenders = 4

	// A box answers within a few milliseconds. One that doesn't answer within askTimeout is not asked again for
	// skipUnresponsive, and the request waits no longer than borrowTimeout.
	askTimeout       = 20 * time.Millisecond
	borrowTimeout    = 40 * time.Millisecond
	skipUnresponsive = time.Second

	// skipFruitless is the time for which no box is asked for credits of a service after none had any. It bounds the calls
	// while everything fails.
	skipFruitless = 70 * time.Millisecond
)

// question asks for a credit of a service.
type question struct{ Service string }

// answer reports whether the credit was lent.
type answer struct{ OK bool }

// AskFunc asks the box at an address for a credit of a service. It reports whether the box lent one, and whether it
// answered.
type AskFunc func(c context.Context, address, service string) (lent, answered bool)

// Pool spends credits of this box or, if it has none, of others, and lends credits to them. All exported
// fields but Ask must be set before it starts.
type Pool struct {
	Budget *budget.Budget

	// Boxes returns the addresses of the other boxes: the nearby ones, and others.
	Boxes func() (near, far []string)

	Metrics metrics.Registry
	Log     zerolog.Logger

	// Ask asks another box for a credit. If it is nil, Start sets it to a call to the box.
	Ask AskFunc

	// Perm returns a random permutation of the numbers below n, by which the boxes to ask are chosen.
	Perm func(n int) []int

	mu           sync.Mutex
	unresponsive map[string]time.Time // by address, until when a box is not asked
	fruitless    map[string]time.Time // by service, until when no box is asked
}

// New returns a pool for the credits of b.
func New(b *budget.Budget, boxes func() (near, far []string), m metrics.Registry, log zerolog.Logger) *Pool {
	return &Pool{
		Budget: b, Boxes: boxes, Metrics: m, Log: log, Perm: rand.Perm,
		unresponsive: map[string]time.Time{}, fruitless: map[string]time.Time{},
	}
}

// Name returns the service's name.
func (p *Pool) Name() string { return Name }

// Start registers the handler for calls from other boxes.
func (p *Pool) Start(_ context.Context, k *kernel.Kernel) error {
	var n *peer.Node
	if err := kernel.Bind(k, peer.Name, &n); err != nil {
		return err
	}
	peer.Handle(n.Server, methodLend, func(_ context.Context, q question) (answer, error) {
		return answer{OK: p.Lend(q.Service)}, nil
	})
	if p.Ask != nil {
		return nil
	}
	p.Ask = func(c context.Context, address, service string) (lent, answered bool) {
		var a answer
		err := n.Client.Call(c, address, methodLend, question{service}, &a)
		return a.OK, err == nil
	}
	return nil
}

// Stop does nothing. Calls end when the peer node stops.
func (p *Pool) Stop(context.Context) error { return nil }

// Spend spends a credit for a retry. It returns the address of the box that lent it, which is empty for one of this
// box, and false if neither this box nor the ones that it asked have a credit.
func (p *Pool) Spend(c context.Context, service string) (lender string, ok bool) {
	if p.Budget.Spend(service, boottime.Now()) {
		return "", true
	}
	lender, ok = p.borrow(c, service)
	if !ok {
		return "", false
	}
	p.Budget.CountBorrowed(service, boottime.Now())
	return lender, true
}

// borrow asks other boxes for a credit.
func (p *Pool) borrow(c context.Context, service string) (lender string, ok bool) {
	x, cancel := context.WithTimeout(c, borrowTimeout)
	defer cancel()
	began, asked := boottime.Now(), 0
	for _, a := range p.lenders(service) {
		if x.Err() != nil {
			break
		}
		asked++
		lent, answered := p.askFor(x, a, service)
		if lent {
			p.record("lent", service, asked, a, began)
			return a, true
		}
		if !answered && c.Err() == nil {
			p.skip(a)
		}
	}
	if asked > 0 && c.Err() == nil {
		p.mu.Lock()
		p.fruitless[service] = boottime.Now().Add(skipFruitless)
		p.mu.Unlock()
		p.record("none", service, asked, "", began)
	}
	return "", false
}

func (p *Pool) askFor(c context.Context, address, service string) (lent, answered bool) {
	c, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	return p.Ask(c, address, service)
}

// Lend takes a credit for another box. It returns false if this box has none.
func (p *Pool) Lend(service string) bool {
	ok := p.Budget.Lend(service, boottime.Now())
	if ok {
		metrics.GetOrRegisterCounter("credits.given", p.Metrics).Inc(1)
	}
	return ok
}

// record logs and counts the outcome of a round of questions.
func (p *Pool) record(outcome, service string, asked int, lender string, began time.Time) {
	metrics.GetOrRegisterCounter("credits.asked."+outcome, p.Metrics).Inc(1)
	p.Log.Info().Str("event", "credit").Str("service", service).Str("outcome", outcome).Int("asked", asked).Str("lender", lender).
		Dur("took", boottime.Since(began)).Msg("decision")
}

// skip leaves a box that did not answer out for a while.
func (p *Pool) skip(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[address] = boottime.Now().Add(skipUnresponsive)
}

// lenders returns the boxes to ask, in random order: nearby ones and, if it knows others, one of these.
func (p *Pool) lenders(service string) []string {
	near, far := p.Boxes()
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.fruitless[service]) {
		return nil
	}
	for a, until := range p.unresponsive {
		if !now.Before(until) {
			delete(p.unresponsive, a)
		}
	}
	out := p.choose(near, maxLenders)
	if others := p.choose(far, maxLenders); len(others) > 0 {
		n := min(len(out), maxLenders-1)
		out = append(out[:n], others[:min(len(others), maxLenders-n)]...)
	}
	return out
}

// choose returns up to n responsive boxes at random. The caller holds p.mu.
func (p *Pool) choose(boxes []string, n int) []string {
	var out []string
	for _, i := range p.Perm(len(boxes)) {
		if len(out) == n {
			break
		}
		if _, skipped := p.unresponsive[boxes[i]]; !skipped {
			out = append(out, boxes[i])
		}
	}
	return out
}
