package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// start starts servers and boxes. Servers of each service are spread over the zones as in pamoja-live. Of the answers of every second
// server, unframed in 100 have neither a length nor chunks, for a part of the time.
func (f *fleet) start(unframed, firstMs, pauseMs int) error {
	if err := f.putConfig(); err != nil {
		return err
	}
	for i := range 12 {
		o := serverOptions{ID: serverID(i), Service: llm, Version: "v1", Slots: 128, FirstMs: firstMs, PauseMs: pauseMs}
		if i >= 9 {
			o.Service, o.Slots = api, 6
		}
		if i%2 == 0 {
			o.Unframed, o.Held = unframed, i != 2
		}
		if _, err := f.addServer(o, zones[i%len(zones)].name); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := f.startBoxes(); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

func serverID(i int) string { return fmt.Sprintf("i-%08x", hash(fmt.Sprint("server ", i))&0xffffffff) }

// usual are the rates of pamoja-live.
var usual = []rate{
	{"/stream-recap/", 11.5, 8 * time.Second},
	{"/stream-commentary/", 17.1, 15 * time.Second},
	{"/alert/", 11, 600 * time.Millisecond},
	{"/tick/", 6.79, 600 * time.Millisecond},
}

const span = 76 * time.Second // of the traffic

// count counts outcomes: whole answers, parts that look whole, and the others.
func (l *load) count() (wholes, parts, others int) {
	byHeld := map[bool]int{}
	defer func() {
		l.f.add("servers of these parts: %d whose socket was held while they were down, %d others", byHeld[true], byHeld[false])
	}()
	for _, o := range l.outcomes {
		switch {
		case o.status == 200 && o.err == nil && (!o.whole || !o.stamped || o.invalid != ""):
			parts++
			for _, s := range l.f.runs[o.id] {
				byHeld[s.Held]++
			}
			l.f.add("BROKEN: %s to %s got a success that looks whole and is not: %d of the answer %s", o.id, o.box.name, o.got, o.invalid)
		case o.status == 200 && o.whole:
			wholes++
		default:
			others++
		}
	}
	return wholes, parts, others
}

// One of the nine model servers crashes at a time, crashPause after the one before, maxCrashes in all.
const (
	crashPause = 1850 * time.Millisecond
	maxCrashes = 38
)

// restart plays servers that crash and start again at once under their IDs, while some answers have no length.
func restart(f *fleet, trouble bool) (bool, string, error) {
	const unframed = 5
	if err := f.start(unframed, 110, 110); err != nil {
		return false, "", err
	}
	l := &load{f: f}
	c, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	crashes := 0
	if trouble {
		go func() {
			for ; crashes < maxCrashes; crashes++ {
				select {
				case <-c.Done():
					return
				case <-time.After(crashPause):
				}
				s := f.servers[crashes*2%10] // of the model servers, those whose answers may have no length
				f.add("server %s crashes (SIGKILL)", s.ID)
				s.signal(syscall.SIGKILL)
			}
		}()
	}
	l.run(c, usual)
	wholes, parts, others := l.count()
	text := fmt.Sprintf("%d crashes; of %d requests, %d of which had answers without a length, %d got the whole answer, %d failed or were broken off, %d got a part that looks whole",
		crashes, len(l.outcomes), len(f.unframed), wholes, others, parts)
	if wholes < len(l.outcomes)*3/4 {
		return false, text, fmt.Errorf("too few answers: %s", text)
	}
	return parts > 0, text, nil
}

func wait(c context.Context, d time.Duration) {
	select {
	case <-c.Done():
	case <-time.After(d):
	}
}

// Times of silent connections.
const (
	contact   = 3 * time.Second // contact_ms
	hushPause = 12 * time.Second
	hushSpan  = 70 * time.Second
	afterMove = 400 * time.Millisecond // for which the server before may still work
)

// calm are rates of a quiet hour, less than half of the usual ones.
var calm = []rate{{"/stream-recap/", 5, 8 * time.Second}, {"/alert/", 3, 600 * time.Millisecond}, {"/tick/", 2, 600 * time.Millisecond}}

// silence plays connections to servers that fall silent for good, while new ones work.
func silence(f *fleet, trouble bool) (bool, string, error) {
	f.hasLinks = true
	if err := f.start(0, 1900, 200); err != nil {
		return false, "", err
	}
	l := &load{f: f}
	c, cancel := context.WithTimeout(context.Background(), hushSpan)
	defer cancel()
	var hushes []time.Time
	if trouble {
		go func() {
			wait(c, 10*time.Second) // boxes know by then how long servers take
			for c.Err() == nil {
				n := 0
				hushes = append(hushes, time.Now())
				for _, s := range f.servers[:9] {
					n += s.link.hush()
				}
				f.add("%d open connections to the model servers fall silent", n)
				wait(c, hushPause)
			}
		}()
	}
	l.run(c, calm)
	wholes, _, others := l.count()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	moved, twice, anew := 0, 0, 0
	for id, vs := range f.spans {
		for i := 1; i < len(vs); i++ {
			moved++
			before, after := vs[i-1], vs[i]
			inTouch := true
			for _, h := range hushes {
				inTouch = inTouch && (after.began.Before(h) || after.began.Sub(h) > contact)
			}
			until := before.ended
			if before.server == after.server || !inTouch || !until.IsZero() && until.Sub(after.began) <= afterMove {
				continue
			}
			if after.first == "1" {
				anew++
				continue
			}
			twice++
			f.add("BROKEN: the stream %s goes on at %s with event %s, and %s works on it for %v more", id, after.server.ID, after.first, before.server.ID, until.Sub(after.began))
		}
	}
	text := fmt.Sprintf("of %d requests %d got the whole answer and %d did not; %d times a stream began at another server, "+
		"%d times it went on there %v or more after the last silence, and the server before worked on for over %v (%d more began there anew)",
		len(l.outcomes), wholes, others, moved, twice, contact, afterMove, anew)
	if wholes < len(l.outcomes)/2 {
		return false, text, fmt.Errorf("too few answers: %s", text)
	}
	return twice > 0, text, nil
}
