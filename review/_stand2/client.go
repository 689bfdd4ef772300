package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what the client of one request has seen.
type outcome struct {
	id, path string
	box      *box
	sent     time.Time // when its last byte was sent, at the latest
	ended    time.Time
	status   int
	stamped  bool
	whole    bool  // the body or the stream is the server's whole one
	got      int   // bytes, or events
	err      error // the answer did not end as a whole one; nil if it looks whole
	invalid  string
}

// load sends the requests of a deployment and checks the answers.
type load struct {
	f      *fleet
	serial atomic.Int64
	group  sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// client is one client of a zone. It keeps connections, as clients do.
type client struct {
	box  *box
	http *http.Client
}

// rate of a route in requests a second, as the sheet of pamoja-live has them.
type rate struct {
	path  string
	perS  float64
	limit time.Duration
}

// run sends requests until c is done, and waits for their answers.
func (l *load) run(c context.Context, rates []rate) {
	var clients []*client
	for i := range 48 {
		b := l.f.boxes[i%len(l.f.boxes)]
		clients = append(clients, &client{box: b, http: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 12 * time.Second},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}})
	}
	for _, r := range rates {
		l.group.Go(func() {
			t := time.NewTicker(time.Duration(float64(time.Second) / r.perS))
			defer t.Stop()
			for {
				select {
				case <-c.Done():
					return
				case <-t.C:
				}
				n := l.serial.Add(1)
				k := clients[int(n)%len(clients)]
				l.group.Go(func() { l.request(k, r, fmt.Sprintf("%08x%04x", hash(fmt.Sprint(n))&0xffffffff, n)) })
			}
		})
	}
	<-c.Done()
	l.group.Wait()
}

func (l *load) request(k *client, r rate, id string) {
	o := outcome{id: id, path: r.path, box: k.box, sent: time.Now()}
	c, cancel := context.WithTimeout(context.Background(), r.limit+500*time.Millisecond)
	defer cancel()
	method, body := http.MethodPost, strings.NewReader(strings.Repeat("x", 600))
	if strings.HasPrefix(r.path, "/tick/") {
		method, body = http.MethodGet, strings.NewReader("")
	}
	q, err := http.NewRequestWithContext(c, method, "http://"+k.box.callers+r.path+"2f", body)
	if err != nil {
		return
	}
	q.GetBody = nil // no attempts of the library's own
	q.Host = host
	h := q.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", fmt.Sprint(r.limit.Milliseconds()))
	h.Set("Api-Key", key)
	if strings.Contains(r.path, "stream") {
		h.Set("X-Model", "m")
		h.Set("X-Token-Counts", "400,300")
		h.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:200", id))
	}
	l.f.add("client sends %s %s to %s", id, r.path, k.box.name)
	a, err := k.http.Do(q)
	if err != nil {
		o.err = err
	} else {
		o.status, o.stamped = a.StatusCode, a.Header.Get("X-Response-Stamp") != ""
		l.read(&o, a)
		a.Body.Close()
	}
	o.ended = time.Now()
	l.f.add("client gets %s: status %d, %d of the answer, whole %v, error %v %s", id, o.status, o.got, o.whole, o.err, o.invalid)
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
}

func (l *load) read(o *outcome, a *http.Response) {
	if a.StatusCode != http.StatusOK {
		b, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
		o.got, o.err, o.whole = len(b), err, err == nil
		return
	}
	if !strings.Contains(o.path, "stream") {
		b, err := io.ReadAll(a.Body)
		want := plainBody(o.id)
		o.got, o.err, o.whole = len(b), err, string(b) == want
		if !strings.HasPrefix(want, string(b)) {
			o.invalid = fmt.Sprintf("foreign bytes %.80q", b)
		}
		return
	}
	r, want := bufio.NewReader(a.Body), streamEvents(o.path, o.id)
	var text strings.Builder
	for {
		line, err := r.ReadString('\n')
		text.WriteString(line)
		if line == "\n" {
			o.got++
			if got := text.String(); got != streamEvent(o.id, o.got) {
				o.invalid = fmt.Sprintf("event %d is %.80q", o.got, got)
			}
			text.Reset()
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				o.err = err
			}
			break
		}
	}
	if text.Len() > 0 {
		o.invalid = "a part of an event at the end"
	}
	o.whole = o.err == nil && o.got == want
}
