package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/wait"
)

// Plan says what to send, and for how long. The same seed makes the same
// requests.
type Plan struct {
	Boxes    []string
	Mix      string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Document *config.Document
}

// Run sends a plan's requests at its rate, whether or not answers come, and
// waits for them all.
func Run(c context.Context, p Plan, r *Report) {
	b := &Balancer{Boxes: p.Boxes}
	x, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	b.Check(x, &http.Client{Timeout: checkLimit})
	go b.Run(x)
	l := &Client{Balancer: b, HTTP: NewHTTP(), Resolve: func(m string) string {
		w, _ := p.Document.Resolve(m)
		return w
	}}
	var g sync.WaitGroup
	d := rand.New(rand.NewPCG(p.Seed, 1))
	end := time.Now().Add(p.Duration)
	for n := 0; time.Now().Before(end) && c.Err() == nil; n++ {
		s := Mixes[p.Mix](d, n)
		g.Go(func() { r.Add(l.Send(x, s)) })
		wait.For(c, time.Duration(d.ExpFloat64()/p.Rate*float64(time.Second)))
	}
	g.Wait()
}

// NewHTTP returns the HTTP client of callers, which never follows or repeats.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true}}
}
