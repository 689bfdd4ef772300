package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/wait"
)

// The interval and the timeout of the readiness checks.
const (
	checkInterval = 250 * time.Millisecond
	checkTimeout  = time.Second
)

var checkClient = httpstatus.NewClient(http.DefaultTransport, checkTimeout)

// Balancer is a stand-in for the load balancer of the platform. It selects the entry boxes that pass
// their readiness check in round-robin order. Boxes are their addresses.
type Balancer struct {
	Boxes []string

	mu    sync.Mutex
	ready []string
	turn  atomic.Uint64
}

// Run checks the boxes periodically until c is done.
func (b *Balancer) Run(c context.Context) {
	for c.Err() == nil {
		b.CheckAll(c)
		wait.For(c, checkInterval)
	}
}

// CheckAll checks the readiness of all boxes once, in parallel.
func (b *Balancer) CheckAll(c context.Context) {
	ok := make([]bool, len(b.Boxes))
	var g sync.WaitGroup
	for i, a := range b.Boxes {
		g.Go(func() {
			r, err := http.NewRequestWithContext(c, http.MethodGet, "http://"+a+"/ready", nil)
			if err != nil {
				return
			}
			if p, err := checkClient.Do(r); err == nil {
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

// Next returns the address of the box for the next request. If no box is ready, it selects among all.
func (b *Balancer) Next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.ready
	if len(candidates) == 0 {
		candidates = b.Boxes
	}
	return candidates[b.turn.Add(1)%uint64(len(candidates))]
}
