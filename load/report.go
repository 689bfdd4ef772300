package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report collects outcomes. Its zero value is empty and ready to use.
type Report struct {
	mu       sync.Mutex
	kinds    map[string]*kindStats
	refusals map[string]int
	Outcomes []Outcome
}

type kindStats struct {
	sent, answered, resumed int
	timeToFirst, totalTime  *hdrhistogram.Histogram
}

// Add adds one outcome.
func (r *Report) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds, r.refusals = map[string]*kindStats{}, map[string]int{}
	}
	k, ok := r.kinds[o.Spec.Kind]
	if !ok {
		k = &kindStats{timeToFirst: newHistogram(), totalTime: newHistogram()}
		r.kinds[o.Spec.Kind] = k
	}
	r.Outcomes = append(r.Outcomes, o)
	k.sent++
	k.resumed += min(o.Resumes, 1)
	for _, f := range o.Refusals {
		r.refusals[f]++
	}
	if o.Answered {
		k.answered++
		_ = k.timeToFirst.RecordValue(o.TimeToFirst.Microseconds())
		_ = k.totalTime.RecordValue(o.TotalTime.Microseconds())
	}
}

// newHistogram returns a histogram of microseconds, up to 10 minutes.
func newHistogram() *hdrhistogram.Histogram {
	const digits = 3
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), digits)
}

// Unanswered returns the outcomes without an answer.
func (r *Report) Unanswered() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	var os []Outcome
	for _, o := range r.Outcomes {
		if !o.Answered {
			os = append(os, o)
		}
	}
	return os
}

// Print writes a table of latency percentiles by kind of request, and the number of refusals by kind.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\tanswered\tresumed\tfirst p50\tp95\tp99\twhole p50\tp95\t")
	for _, n := range sortedKeys(r.kinds) {
		k := r.kinds[n]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", n, k.sent, k.answered, k.resumed,
			formatPercentile(k.timeToFirst, 50), formatPercentile(k.timeToFirst, 95), formatPercentile(k.timeToFirst, 99),
			formatPercentile(k.totalTime, 50), formatPercentile(k.totalTime, 95))
	}
	_ = t.Flush()
	for _, n := range sortedKeys(r.refusals) {
		fmt.Fprintf(w, "refused on the way: %s %d\n", n, r.refusals[n])
	}
}

func sortedKeys[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

func formatPercentile(h *hdrhistogram.Histogram, q float64) string {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
}

// Len returns the number of outcomes.
func (r *Report) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Outcomes)
}
