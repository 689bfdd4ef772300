package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host      = "lookups.example"
	tenant    = "hule930"
	keyKept   = "key-that-is-kept"
	keyTaken  = "key-that-is-taken"
	keyAdded  = "key-that-is-added"
	oldName   = "lookup-old"
	newName   = "lookup-new"
	clockSlop = 50 * time.Millisecond // between the store's acknowledgement and the clients' clock
)

// lookupConfig returns a configuration whose only route leads to a service.
func lookupConfig(version int, service string, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lookup", "host": host, "path_prefix": "/lookup/", "kind": "idempotent", "service": service, "timeout_ms": 600, "slo_ms": 100,
			"max_attempts": 2, "priority": 2, "public": false,
		}},
		"services": []any{
			map[string]any{"name": oldName, "health_path": "/health", "max_conns": 96},
			map[string]any{"name": newName, "health_path": "/health", "max_conns": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}},
	}
}

// checkStale reports whether requests sent later than from were handled as only an older configuration allows: run by the old
// service, run with the key that was taken away, or refused with the key that was added.
func checkStale(f *fleet, from, acknowledged time.Time, sent *sync.Map) bool {
	from = from.Add(clockSlop)
	f.record.addAt(from, "check    requests sent from now on may not be handled as only an older configuration allows")
	old, taken, refused := map[string]int{}, map[string]int{}, map[string]int{}
	isBroken, last := false, time.Time{}
	sent.Range(func(k, v any) bool {
		q := v.(*lookup)
		if !q.at.After(from) {
			return true
		}
		isStale := q.key == keyAdded && q.status == http.StatusUnauthorized
		if isStale {
			refused[q.box]++
		}
		for _, r := range f.record.of(k.(string)) {
			if r.service == oldName {
				old[q.box]++
				isStale = true
			}
			if q.key == keyTaken {
				taken[q.box]++
				isStale = true
			}
		}
		if isStale && q.at.After(last) {
			last = q.at
		}
		isBroken = isBroken || isStale
		return true
	})
	for _, b := range f.boxes {
		f.record.add("result   %s: %d run by the old service, %d of them or others run with the key that was taken away, %d refused with 401 that have the key that was added",
			b.name, old[b.name], taken[b.name], refused[b.name])
	}
	if isBroken {
		f.record.add("result   the last of them was sent %v after the acknowledgement", last.Sub(acknowledged).Round(time.Millisecond))
	}
	return isBroken
}

// lookup is a request that was sent, and the status of its answer.
type lookup struct {
	box, key string
	at       time.Time
	status   int
}

// lookUp sends requests to a box, one after the other, until c is done.
func lookUp(c context.Context, f *fleet, b *box, name, key string, sent *sync.Map) {
	h := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	for i := 0; c.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		q, err := http.NewRequest(http.MethodGet, "http://"+b.callers+"/lookup/x", nil)
		if err != nil {
			panic(err) // unreachable: the address is valid
		}
		q.Host = host
		q.Header.Set("X-Request-Id", id)
		q.Header.Set("X-Deadline-Ms", "600")
		q.Header.Set("Api-Key", key)
		l := &lookup{box: b.name, key: key, at: time.Now()}
		f.record.addAt(l.at, "sent     %s to %s with %s", id, b.name, key)
		a, err := h.Do(q)
		if err != nil {
			f.record.add("answer   %s: %v", id, err)
		} else {
			t, _ := io.ReadAll(io.LimitReader(a.Body, 100))
			_ = a.Body.Close()
			l.status = a.StatusCode
			f.record.add("answer   %s: %d %s", id, a.StatusCode, strings.TrimSpace(string(t)))
		}
		sent.Store(id, l)
		time.Sleep(200 * time.Millisecond)
	}
}
