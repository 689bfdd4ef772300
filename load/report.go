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

// Report gathers outcomes. Its zero value is empty and ready.
type Report struct {
	mu       sync.Mutex
	kinds    map[string]*kindReport
	refusals map[string]int
	Outcomes []Outcome
}

type kindReport struct {
	sent, answered, resumed int
	first, whole            *hdrhistogram.Histogram
}

// Add enters one outcome.
func (r *Report) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds, r.refusals = map[string]*kindReport{}, map[string]int{}
	}
	k, ok := r.kinds[o.Spec.Kind]
	if !ok {
		k = &kindReport{first: histogram(), whole: histogram()}
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
		_ = k.first.RecordValue(o.First.Microseconds())
		_ = k.whole.RecordValue(o.Whole.Microseconds())
	}
}

func histogram() *hdrhistogram.Histogram {
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

// Print writes the percentiles by kind and the refusals on the way.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\tanswered\tresumed\tfirst p50\tp95\tp99\twhole p50\tp95\t")
	for _, n := range keys(r.kinds) {
		k := r.kinds[n]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", n, k.sent, k.answered, k.resumed,
			at(k.first, 50), at(k.first, 95), at(k.first, 99), at(k.whole, 50), at(k.whole, 95))
	}
	_ = t.Flush()
	for _, n := range keys(r.refusals) {
		fmt.Fprintf(w, "refused on the way: %s %d\n", n, r.refusals[n])
	}
}

func keys[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

func at(h *hdrhistogram.Histogram, q float64) string {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
}

// Len returns how many outcomes there are.
func (r *Report) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Outcomes)
}
