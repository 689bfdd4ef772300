package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
)

// Sizes of a large fleet: the requests of one box that are under way at an endpoint that crashes, and the items of which a box
// keeps records.
const (
	inFlight  = 30
	tableSize = 4096
)

// crowdedQuarantine returns a quarantine whose table is full, and which refuses a part.
func crowdedQuarantine(now time.Time) *quarantine.Quarantine {
	q := &quarantine.Quarantine{Log: zerolog.Nop()}
	for i := range tableSize / inFlight * 2 {
		crashRequests(q, i, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	return q
}

// crashRequests lets an endpoint crash with the requests of this box.
func crashRequests(q *quarantine.Quarantine, serial int, now time.Time) {
	e := fmt.Sprint("endpoint-", serial)
	for j := range inFlight {
		a := quarantine.Attempt{Endpoint: e, Version: "v1"}
		a.Content = requesthash.Hash(serial*1000 + j + 1)
		a.Parts = []requesthash.Hash{1 << 50, requesthash.Hash(1<<51 + j%7)}
		if j == 0 {
			a.Parts = append(a.Parts, 1<<52)
		}
		q.RecordFailure(a, now.Add(-time.Second), now)
	}
	q.RecordCrash(e, "benchmark", now)
}

// BenchmarkCrash measures a crash of an endpoint, and reports the bytes of the notification of it, of the list that a box sends its
// relay in each round, and of the heap.
func BenchmarkCrash(b *testing.B) {
	now := time.Unix(1000, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := crowdedQuarantine(now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	now = now.Add(30 * time.Second)
	verdicts := size(b, q.Verdicts(now))
	now = now.Add(time.Hour / 4)
	notified := 0
	q.OnChange = func(s []quarantine.Suspect) { notified = size(b, s) }
	for i := 0; b.Loop(); i++ {
		crashRequests(q, 1_000_000+i, now)
	}
	b.ReportMetric(float64(notified), "notified-B")
	b.ReportMetric(float64(size(b, q.Local(now))), "local-B")
	b.ReportMetric(float64(verdicts), "verdicts-B")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
}

func size(b *testing.B, s []quarantine.Suspect) int {
	b.Helper()
	raw, err := msgpack.Marshal(s)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkRequest measures what each request costs: two verdicts and an answer.
func BenchmarkRequest(b *testing.B) {
	now := time.Unix(1000, 0)
	q := crowdedQuarantine(now)
	now = now.Add(time.Hour / 4)
	r := quarantine.Request{Content: 5, Parts: []requesthash.Hash{1 << 53, 1 << 54}}
	for i := 0; b.Loop(); i++ {
		r.Content = requesthash.Hash(i)
		q.Judge(r, noVersions, now)
		q.Admit(quarantine.Attempt{Request: r, Endpoint: "e", Version: "v1"}, noVersions, now)
		q.RecordAnswer(r, "v1", now, now)
	}
}

func noVersions() []string { return nil }
