package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"birchlink.dev/birchlink/platform/standin"
)

// The load of BenchmarkCrashingPart, which is the operators': 16 servers that are back some seconds after a crash, sound
// requests that share the first part of their prompts, and requests with a part that crashes servers.
const (
	crashServers    = 16
	crashBootTime   = 3 * time.Second
	crashLoadTime   = 16 * time.Second
	calmLoadTime    = 4 * time.Second
	soundInterval   = time.Second / 50
	settledTime     = 3 * time.Second // after the fifth crash
	crashesAreKnown = 5
)

// crashLoad counts what the requests of the load get.
type crashLoad struct {
	*platform
	boxes  []*entryBox
	path   string
	wait   sync.WaitGroup
	serial int

	mu         sync.Mutex
	sent       int // sound requests
	served     int // of these
	calmSent   int // sound requests before the first crashing one
	calmServed int
}

// send sends a request to a box and reports whether it was served completely.
func (l *crashLoad) send(b *entryBox, id, parts string) bool {
	s := &standin.Stream{}
	q, err := s.NewRequest(b.callersAddress, l.path, id, 10*time.Second)
	if err != nil {
		return false
	}
	q.GetBody = nil
	q.Header.Set(standin.PartsHeader, parts)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, a.Body)
		return false
	}
	if !strings.Contains(l.path, "stream") {
		_, err = io.Copy(io.Discard, a.Body)
		return err == nil
	}
	return s.Read(id, a.Body, l.events+1) == nil && s.Events == l.events
}

func (l *crashLoad) sendSound(calm bool) {
	l.serial++
	n := l.serial
	l.wait.Go(func() {
		ok := l.send(l.boxes[n%len(l.boxes)], fmt.Sprint("sound", n), fmt.Sprintf("f1a0:400,%x:20", 100000+n))
		l.mu.Lock()
		defer l.mu.Unlock()
		sent, served := &l.sent, &l.served
		if calm {
			sent, served = &l.calmSent, &l.calmServed
		}
		*sent++
		if ok {
			*served++
		}
	})
}

func (l *crashLoad) sendCrashing() {
	l.serial++
	n := l.serial
	l.wait.Go(func() {
		l.send(l.boxes[n%len(l.boxes)], fmt.Sprint("crashing", n), fmt.Sprintf("f1a0:400,bad0:50,%x:20", 100000+n))
	})
}

// play sends sound requests for a while, then crashing ones beside them.
func (l *crashLoad) play(interval time.Duration) {
	sound := time.NewTicker(soundInterval)
	defer sound.Stop()
	for end := time.Now().Add(calmLoadTime); time.Now().Before(end); <-sound.C {
		l.sendSound(true)
	}
	crashing := time.NewTicker(interval)
	defer crashing.Stop()
	for end := time.After(crashLoadTime); ; {
		select {
		case <-sound.C:
			l.sendSound(false)
		case <-crashing.C:
			l.sendCrashing()
		case <-end:
			l.wait.Wait()
			return
		}
	}
}

// BenchmarkCrashingPart reports the servers that crash, the requests with the crashing part that reach one later than
// settledTime after the fifth crash, and the share of the sound requests that are served before and meanwhile.
func BenchmarkCrashingPart(b *testing.B) {
	for _, c := range []struct {
		name, path string
		interval   time.Duration
		answered   bool
	}{
		{"calls", "/again/x", time.Second / 8, false},
		{"streams", "/stream/x", time.Second / 8, false},
		{"streams_answered_before", "/stream/x", time.Second / 8, true},
		{"calls_answered_before", "/again/x", time.Second / 8, true},
		{"streams_one_in_600ms", "/stream/x", 600 * time.Millisecond, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				l := &crashLoad{platform: newPlatform(b, 0), path: c.path}
				l.events, l.work, l.crashWork, l.bootTime = 8, 40*time.Millisecond, 60*time.Millisecond, crashBootTime
				for range crashServers {
					l.startServer()
				}
				l.boxes = l.startFleet("a", "b", "c", "d", "e", "f")
				if c.answered {
					for range 30 {
						l.sendCrashing()
					}
					l.wait.Wait()
				}
				l.setCrashParts(map[string]string{"bad0": ""})
				l.play(c.interval)
				stopAll(b, l.boxes)
				b.ReportMetric(float64(l.crashedServers()), "crashes")
				b.ReportMetric(float64(l.lateCrashes(crashesAreKnown, settledTime)), "late")
				b.ReportMetric(float64(l.calmServed)/float64(l.calmSent), "calm_share")
				b.ReportMetric(float64(l.served)/float64(l.sent), "share")
			}
		})
	}
}
