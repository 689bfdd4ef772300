package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/wait"
)

// Plan describes the load. Boxes are the addresses of the entry boxes, Mix is a key of Mixes, and Rate
// is the mean number of requests per second. The same seed gives the same requests.
type Plan struct {
	Boxes    []string
	Mix      string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Document *config.Document
}

// Run sends the requests of a plan as a Poisson process, without waiting for answers between them, and
// adds their outcomes to r. It stops sending after p.Duration or when c is done, and then waits for
// all outcomes.
func Run(c context.Context, p Plan, r *Report) {
	b := &Balancer{Boxes: p.Boxes}
	x, stop := context.WithCancel(context.WithoutCancel(c))
	defer stop()
	b.CheckAll(x)
	go b.Run(x)
	l := &Client{Balancer: b, HTTP: NewHTTP(), ResolveModel: func(m string) string {
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

// NewHTTP returns the HTTP client of callers. It uses a new connection for each request, so that
// net/http does not retry a request on its own.
func NewHTTP() *http.Client {
	return httpstatus.NewClient(&http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true}, 0)
}
