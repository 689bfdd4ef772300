package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// The times of the case, from the start of traffic. The history of the store is kept until after the end.
const (
	stormAt  = 2 * time.Second
	changeAt = 8 * time.Second // of the last change
	stormEnd = 20 * time.Second

	// The storm of the site file is a change each stormGap for stormTime.
	stormGap  = 80 * time.Millisecond
	stormTime = 2 * time.Second

	// valueBytes is the most that a value in the store may have.
	valueBytes = 1_048_576
)

// largeConfig returns the configuration of lookupConfig with as many further routes as fit into a value of the store.
func largeConfig(version int, service string, keys ...string) (text json.RawMessage, routes int, err error) {
	c := lookupConfig(version, service, keys...)
	b, err := json.Marshal(c)
	if err != nil {
		return nil, 0, fmt.Errorf("encode configuration: %w", err)
	}
	all := c["routes"].([]any)
	for left := valueBytes - len(b); ; {
		i := len(all)
		r := map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": fmt.Sprintf("host%02d.example", i%40), "path_prefix": fmt.Sprintf("/path%04d/", i), "kind": "stream",
			"timeout_ms": 4000, "slo_ms": 1000, "priority": 0, "service": service, "max_attempts": 1, "public": false, "sticky": true,
			"resumable": false, "gap_target_ms": 500,
		}
		if b, err = json.Marshal(r); err != nil {
			return nil, 0, fmt.Errorf("encode route: %w", err)
		}
		size := len(b) + len(",")
		if left < 2*size { // the last route has a long name, and fills the value
			r["name"] = fmt.Sprintf("r-%0*d", len("0000000")+left-size, i)
			size = left
		}
		all = append(all, r)
		if left -= size; left == 0 {
			break
		}
	}
	c["routes"] = all
	if b, err = json.Marshal(c); err != nil {
		return nil, 0, fmt.Errorf("encode configuration: %w", err)
	}
	return b, len(all), nil
}

// configStorm changes a large configuration in quick succession. Later, it changes it once more.
func configStorm(f *fleet, trouble bool) (bool, error) {
	for i, z := range zones {
		for _, n := range []string{oldName, newName} {
			s := &server{id: fmt.Sprintf("i-%s-%d", n, i), service: n, zone: z.name, slots: 6, work: 15 * time.Millisecond}
			if err := f.startServer(s); err != nil {
				return false, err
			}
		}
	}
	changes := int(stormTime / stormGap)
	texts, routes := make([]json.RawMessage, changes+2), 0
	for i := range texts {
		service, keys := oldName, []string{keyKept, keyTaken}
		if i == len(texts)-1 {
			service, keys = newName, []string{keyKept, keyAdded}
		}
		var err error
		if texts[i], routes, err = largeConfig(i+1, service, keys...); err != nil {
			return false, err
		}
	}
	if _, err := f.put(texts[0]); err != nil {
		return false, err
	}
	f.record.add("operator configuration 1 has %d routes and %d bytes", routes, len(texts[0]))
	if err := f.runBoxes(); err != nil {
		return false, err
	}
	traffic := time.Now()
	c, stop := context.WithCancel(context.Background())
	defer stop()
	var sent sync.Map
	var g sync.WaitGroup
	look := func(name, key string) {
		for i, b := range f.boxes {
			g.Go(func() { lookUp(c, f, b, fmt.Sprintf("%s%d", name, i), key, &sent) })
		}
	}
	look("kept", keyKept)
	look("taken", keyTaken)
	time.Sleep(time.Until(traffic.Add(stormAt)))
	if trouble {
		for i := range changes {
			time.Sleep(time.Until(traffic.Add(stormAt + time.Duration(i)*stormGap)))
			if _, err := f.put(texts[i+1]); err != nil {
				return false, err
			}
		}
		f.record.add("trouble  the configuration was changed %d times, %v apart; the last version is %d", changes, stormGap, changes+1)
	}
	time.Sleep(time.Until(traffic.Add(changeAt)))
	acknowledged, err := f.put(texts[len(texts)-1])
	if err != nil {
		return false, err
	}
	f.record.add("operator configuration %d is acknowledged: the route leads to %s, %s is taken away and %s is added", len(texts), newName, keyTaken, keyAdded)
	time.Sleep(time.Until(acknowledged.Add(configApply)))
	look("added", keyAdded)
	time.Sleep(time.Until(traffic.Add(stormEnd)))
	stop()
	g.Wait()
	return checkStale(f, acknowledged.Add(configApply), acknowledged, &sent), nil
}
