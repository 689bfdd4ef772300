package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 78                    // the mean of live-commentary
	streamEvery  = 60 * time.Millisecond // well within the pause of 500 ms
	streamWait   = 15 * time.Second      // its deadline

	// The release replaces 0.45 of nine servers, one each releaseGap.
	releasedServers = 4
	releaseGap      = time.Second
	releaseAt       = 2 * time.Second         // from the start of traffic
	killAt          = 4500 * time.Millisecond // of one of six machines
	resumeEnd       = 14 * time.Second
	drainPeriod     = 2 * time.Second
)

// streamConfig returns a configuration with the route of live-commentary.
func streamConfig(version int, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "live-commentary", "host": host, "path_prefix": "/live/", "kind": "stream", "service": service, "timeout_ms": 15000, "slo_ms": 800,
			"max_attempts": 2, "priority": 2, "public": false, "resumable": true, "gap_target_ms": 500,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 610}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{keyKept}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	}
}

// resumeDuringRelease kills a machine while the servers of a service are replaced. The clients whose streams broke take them up
// again at other machines, as the pages say: with Last-Event-Id.
func resumeDuringRelease(f *fleet, trouble bool) (bool, error) {
	const service = "writer"
	newServer := func(zone, version string, i int) error {
		return f.startServer(&server{
			id: fmt.Sprintf("i-%s-%d", version, i), service: service, zone: zone, version: version, slots: 128, work: streamEvery, events: streamEvents,
		})
	}
	for i := range 9 {
		if err := newServer(zones[i%3].name, "v1", i); err != nil {
			return false, err
		}
	}
	if _, err := f.put(streamConfig(1, service)); err != nil {
		return false, err
	}
	if err := f.runBoxes(); err != nil {
		return false, err
	}
	traffic := time.Now()
	var g sync.WaitGroup
	var mu sync.Mutex
	requests, denied, whole, ended := 0, 0, 0, 0
	for i := range 120 {
		g.Go(func() {
			time.Sleep(time.Until(traffic.Add(time.Duration(i) * 60 * time.Millisecond)))
			o := f.readStream(fmt.Sprintf("s%d", i), i)
			mu.Lock()
			defer mu.Unlock()
			requests += o.requests
			denied += o.denied
			if o.whole {
				whole++
			} else {
				ended++
			}
		})
	}
	g.Go(func() {
		time.Sleep(time.Until(traffic.Add(releaseAt)))
		if !trouble {
			return
		}
		for i := range releasedServers {
			old := f.servers[i]
			if err := newServer(old.zone, "v2", i); err != nil {
				f.record.add("trouble  %v", err)
				return
			}
			old.write("draining")
			f.record.add("release  i-v2-%d has started, and %s drains", i, old.id)
			time.AfterFunc(drainPeriod+6*time.Second, func() { // at times it serves on for many seconds
				f.store.Delete("servers/" + old.id)
				_ = old.http.Close()
			})
			time.Sleep(releaseGap)
		}
	})
	time.Sleep(time.Until(traffic.Add(killAt)))
	if trouble {
		f.record.add("trouble  SIGKILL to %s", f.boxes[0].name)
		f.boxes[0].signal(syscall.SIGKILL)
		f.boxes[0].awaitExit(time.Second)
		time.AfterFunc(500*time.Millisecond, func() { _ = f.boxes[0].restart() })
	}
	g.Wait()
	allowed := 5 + requests/500
	f.record.add("result   %d requests, %d ended with a 3xx or 4xx of the machines' own, of which %d are allowed; %d streams were whole and %d were not",
		requests, denied, allowed, whole, ended)
	return denied > allowed, nil
}

// streamResult is what came of a stream over all its attempts.
type streamResult struct {
	requests, denied int
	whole            bool
}

// readStream reads a stream from a box. If the connection breaks, it goes on at another with a new request. It asks once more
// after a promise, and no more after 400, 401 or 404.
func (f *fleet) readStream(name string, i int) (out streamResult) {
	end, last := time.Now().Add(streamWait), ""
	for try := range 4 {
		b := f.boxes[(i+try)%len(f.boxes)]
		id := fmt.Sprintf("%s-%d", name, try)
		q, err := http.NewRequest(http.MethodPost, "http://"+b.callers+"/live/x", strings.NewReader(strings.Repeat("x", 1400)))
		if err != nil {
			panic(err) // unreachable: the address is valid
		}
		q.Host = host
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(end).Milliseconds()))
		q.Header.Set("Api-Key", keyKept)
		if last != "" {
			q.Header.Set("Last-Event-Id", last)
		}
		f.record.add("sent     %s to %s, Last-Event-Id %q", id, b.name, last)
		out.requests++
		h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Until(end)}
		a, err := h.Do(q)
		if err != nil {
			f.record.add("answer   %s: %v", id, err)
			continue
		}
		if a.StatusCode != http.StatusOK {
			t := bufio.NewScanner(a.Body)
			t.Scan()
			_ = a.Body.Close()
			f.record.add("answer   %s: %d %s", id, a.StatusCode, t.Text())
			switch s := a.StatusCode; {
			case s >= 300 && s < 500 && s != 408 && s != 421 && s != 429 && a.Header.Get("X-Response-Stamp") == "":
				out.denied++
				return out
			case s == 429 || s == 503:
				time.Sleep(time.Second / 2)
			}
			continue
		}
		t := bufio.NewScanner(a.Body)
		for t.Scan() {
			if v, ok := strings.CutPrefix(t.Text(), "id: "); ok {
				last = v
			}
		}
		err = t.Err()
		_ = a.Body.Close()
		f.record.add("answer   %s: 200 up to event %s, error %v", id, last, err)
		if err == nil {
			out.whole = last == fmt.Sprint(streamEvents)
			return out
		}
	}
	return out
}
