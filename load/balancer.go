package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/wait"
)

// The balancer's check.
const (
	checkEvery = 250 * time.Millisecond
	checkLimit = time.Second
)

// Balancer stands in for the platform's balancer: it sends to the boxes whose
// check passes, in turn.
type Balancer struct {
	Boxes []string

	mu    sync.Mutex
	ready []string
	n     atomic.Uint64
}

// Run checks the boxes until c ends.
func (b *Balancer) Run(c context.Context) {
	h := &http.Client{Timeout: checkLimit}
	for c.Err() == nil {
		b.Check(c, h)
		wait.For(c, checkEvery)
	}
}

// Check asks every box once.
func (b *Balancer) Check(c context.Context, h *http.Client) {
	ok := make([]bool, len(b.Boxes))
	var g sync.WaitGroup
	for i, a := range b.Boxes {
		g.Go(func() {
			r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+a+"/ready", nil)
			if err != nil {
				return
			}
			if p, err := h.Do(r); err == nil {
				ok[i] = p.StatusCode == http.StatusOK
				p.Body.Close()
			}
		})
	}
	g.Wait()
	var ready []string
	for i, a := range b.Boxes {
		if ok[i] {
			ready = append(ready, a)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Next returns the box for the next request. Without a ready box it is any.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ready
	if len(l) == 0 {
		l = b.Boxes
	}
	return l[b.n.Add(1)%uint64(len(l))]
}
