// Package reporter reports to the cloud how many requests of each account began
// to run in each window. Each box writes its counts to the store; the holder of
// the duty fixes their sum there before it sends it, so that a successor sends
// the same.
package reporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/cloudapi"
	"birchlink.dev/birchlink/election"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/tally"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "reporter"

// The times of a report. A box writes its part partDelay after the window's end,
// when the others have told it what they
// counted until then. The holder looks for the
// parts after collectDelay, and waits for missing ones until collectMargin
// before the report is due; the rest is for the call itself.
const (
	writeDelay    = 800 * time.Millisecond
	collectDelay  = 1200 * time.Millisecond
	collectMargin = 3500 * time.Millisecond
	retryInterval = 400 * time.Millisecond
)

// keptWindows is how many windows stay in the store.
const retainedWindows = 8

// Options says where things stand. Incarnation tells this process from those
// before it on the same box, whose counts stand beside its own.
type Options struct {
	Prefix      string
	Box         string
	Incarnation string
	Due         time.Duration

	// WritersPrefix is where the store lists the boxes that write parts: each for
	// itself and for those that tell it.
	WritersPrefix string

	// Writes reports whether this box is one of them; nil is always.
	IsWriter func() bool

	// Now returns the time of day by which windows are numbered; nil is the box's own.
	Now func() time.Time
}

// Reporter is the service of one box.
type Reporter struct {
	Options
	Tally    *tally.Tally
	Store    store.Store
	Cloud    cloudapi.Cloud
	Election *election.Election

	log    zerolog.Logger
	cancel context.CancelFunc
	group  sync.WaitGroup
	fence  uint64
	sent   map[int64]bool

	mu     sync.Mutex
	remote map[int64]map[string]map[string]int // by window and source
}

// New returns the reporter of a box.
func New(o Options, t *tally.Tally, s store.Store, l cloudapi.Cloud, e *election.Election, log zerolog.Logger) *Reporter {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Reporter{Options: o, Tally: t, Store: s, Cloud: l, Election: e, log: log}
}

// Name returns the service's name.
func (r *Reporter) Name() string { return Name }

// Start begins to write and to report.
func (r *Reporter) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.writeLoop(c) })
	r.group.Go(func() { r.reportLoop(c) })
	return nil
}

// Stop writes what has been counted and ends.
func (r *Reporter) Stop(c context.Context) error {
	r.cancel()
	r.group.Wait()
	return r.writeCounts(c, r.Tally.WindowAt(r.Now()))
}

// Hear keeps what another process told of its counts, in case it ends or is cut
// off before it has written them.
func (r *Reporter) Merge(p tally.Report) {
	oldest := r.Tally.WindowAt(r.Now()) - retainedWindows
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remote == nil {
		r.remote = map[int64]map[string]map[string]int{}
	}
	maps.DeleteFunc(r.remote, func(w int64, _ map[string]map[string]int) bool { return w < oldest })
	for w, counts := range p.Windows {
		if w < oldest {
			continue
		}
		if r.remote[w] == nil {
			r.remote[w] = map[string]map[string]int{}
		}
		r.remote[w][p.Source] = maxCounts(r.remote[w][p.Source], counts)
	}
}

// Source names this process among those that count.
func (r *Reporter) Source() string { return r.Box + "." + r.Incarnation }

// write puts this box's part into the store after each window.
func (r *Reporter) writeLoop(c context.Context) {
	next := r.Tally.WindowAt(r.Now())
	for {
		wait.For(c, r.Tally.WindowEnd(next).Add(writeDelay).Sub(r.Now()))
		if c.Err() != nil {
			return
		}
		if r.IsWriter != nil && !r.IsWriter() {
			next++
			r.Tally.Forget(next - retainedWindows)
			continue
		}
		if err := r.writeCounts(c, next); err != nil {
			if r.Now().Sub(r.Tally.WindowEnd(next)) < r.Due {
				wait.For(c, retryInterval)
				continue
			}
			r.log.Warn().Str("event", "usage").Int64("window", next).Err(err).Msg("this box's part is lost")
		}
		next++
		r.Tally.Forget(next - retainedWindows)
	}
}

func (r *Reporter) countsKey(window int64) string {
	return r.countsPrefix(window) + r.Source()
}

func (r *Reporter) countsPrefix(window int64) string {
	return r.Prefix + "part/" + strconv.FormatInt(window, 10) + "/"
}

func (r *Reporter) sumKey(window int64) string {
	return r.Prefix + "sum/" + strconv.FormatInt(window, 10)
}

// put writes a window's part, and drops an old one of this process.
func (r *Reporter) writeCounts(c context.Context, window int64) error {
	all := r.remoteCounts(window)
	all[r.Source()] = r.Tally.Counts(window)
	b, err := json.Marshal(all)
	if err != nil {
		return fmt.Errorf("encode counts: %w", err)
	}
	_, err = r.Store.Commit(c, store.Change{
		Put:    []store.Put{{Key: r.countsKey(window), Value: b}},
		Delete: []string{r.countsKey(window - retainedWindows)},
	})
	return err
}

func encodeCounts(counts map[string]int) ([]byte, error) {
	if counts == nil {
		counts = map[string]int{}
	}
	b, err := json.Marshal(counts)
	if err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	return b, nil
}

// report sends what is due while this box holds the duty.
func (r *Reporter) reportLoop(c context.Context) {
	for c.Err() == nil {
		wait.For(c, retryInterval)
		if fence, ok := r.Election.Act(); ok {
			r.reportDue(c, fence)
		}
	}
}

// round looks at the windows that have ended and are still due.
func (r *Reporter) reportDue(c context.Context, fence uint64) {
	if fence != r.fence {
		r.fence, r.sent = fence, map[int64]bool{}
	}
	now := r.Now()
	for w := r.Tally.WindowAt(now.Add(-r.Due)); now.After(r.Tally.WindowEnd(w).Add(collectDelay)); w++ {
		if r.sent[w] || now.After(r.Tally.WindowEnd(w).Add(r.Due)) {
			continue
		}
		if err := r.sendReport(c, fence, w); err != nil {
			r.log.Info().Str("event", "usage").Int64("window", w).Uint64("fence", fence).Err(err).Msg("not reported yet")
			if errors.Is(err, cloudapi.ErrFenced) {
				r.Election.Drop(fence)
				return
			}
		}
	}
}

var errMissingCounts = errors.New("parts are missing")

func (r *Reporter) sendReport(c context.Context, fence uint64, window int64) error {
	counts, err := r.storedSum(c, window)
	if err != nil {
		return err
	}
	f, ok := r.Election.Act()
	if !ok || f != fence {
		return errors.New("the duty is no longer held")
	}
	if err := r.Cloud.Report(c, cloudapi.Lease{Holder: r.Box, Fence: fence}, window, counts); err != nil {
		return err
	}
	r.sent[window] = true
	r.log.Info().Str("event", "usage").Int64("window", window).Uint64("fence", fence).Interface("counts", counts).Msg("reported")
	return nil
}

// fixed returns the sum of a window as it stands in the store, and puts it
// there if it does not stand yet.
func (r *Reporter) storedSum(c context.Context, window int64) (map[string]int, error) {
	i, err := r.Store.Get(c, r.sumKey(window))
	if err != nil {
		return nil, err
	}
	if i.Revision != 0 {
		return decodeCounts(i.Value)
	}
	counts, err := r.collect(c, window)
	if err != nil {
		return nil, err
	}
	b, err := encodeCounts(counts)
	if err != nil {
		return nil, err
	}
	_, err = r.Store.Commit(c, store.Change{
		If:     []store.Condition{{Key: r.sumKey(window)}},
		Put:    []store.Put{{Key: r.sumKey(window), Value: b}},
		Delete: []string{r.sumKey(window - retainedWindows)},
	})
	if err != nil {
		// Whoever fixed it, it is read in the next round.
		return nil, err
	}
	return counts, nil
}

// collect adds the parts up once each box that is there has written its own, or
// when there is no more time to wait for one.
func (r *Reporter) collect(c context.Context, window int64) (map[string]int, error) {
	parts, _, err := r.Store.Range(c, r.countsPrefix(window))
	if err != nil {
		return nil, err
	}
	writers, _, err := r.Store.Range(c, r.WritersPrefix)
	if err != nil {
		return nil, err
	}
	if len(parts) < max(len(writers), 1) && r.Now().Sub(r.Tally.WindowEnd(window)) < r.Due-collectMargin {
		return nil, fmt.Errorf("%w: %d of %d", errMissingCounts, len(parts), len(writers))
	}
	all := r.remoteCounts(window)
	for _, p := range parts {
		var by map[string]map[string]int
		if err := json.Unmarshal(p.Value, &by); err != nil {
			return nil, fmt.Errorf("decode %s: %w", p.Key, err)
		}
		for source, counts := range by {
			all[source] = maxCounts(all[source], counts)
		}
	}
	sum := map[string]int{}
	for _, m := range all {
		for a, n := range m {
			sum[a] += n
		}
	}
	return sum, nil
}

// higher merges two counts of one process: they only grow, so of each the higher
// is the later.
func maxCounts(a, b map[string]int) map[string]int {
	out := map[string]int{}
	maps.Copy(out, a)
	for k, n := range b {
		out[k] = max(out[k], n)
	}
	return out
}

// heard returns what the processes told of a window.
func (r *Reporter) remoteCounts(window int64) map[string]map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]map[string]int{}
	maps.Copy(out, r.remote[window])
	return out
}

func decodeCounts(b []byte) (map[string]int, error) {
	var m map[string]int
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("decode counts: %w", err)
	}
	return m, nil
}
