// Package reporter reports to the cloud how many requests of each account started to run in each
// window of time. Each box writes its counts to the store. The elected leader stores their sum there
// before it sends it, so that a successor sends the same sum.
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
	"birchlink.dev/birchlink/usage"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "reporter"

// A box writes its counts writeDelay after the end of a window, when it has received what the other
// boxes counted in it. The leader collects the counts after collectDelay, and waits for missing ones
// until collectMargin before the report is due. The margin is left for the call to the cloud.
const (
	writeDelay    = 800 * time.Millisecond
	collectDelay  = 1200 * time.Millisecond
	collectMargin = 3500 * time.Millisecond
	retryInterval = 400 * time.Millisecond
)

// minRetainedWindows is the least number of windows whose counts are kept in memory and in the store.
const minRetainedWindows = 8

// retained returns the number of windows whose counts are kept. They must outlast the time until the report is due: a leader
// that finds no sum of a window collects its counts again.
func (r *Reporter) retained() int64 {
	return max(minRetainedWindows, int64(r.Due/r.Tally.Window)+2)
}

// Options configures a Reporter.
type Options struct {
	Prefix string // of the reporter's keys in the store
	Box    string

	// Incarnation distinguishes this process from earlier ones on the same box, whose counts are
	// stored separately.
	Incarnation string

	// Due is how long after the end of a window its report is due.
	Due time.Duration

	// WritersPrefix is the prefix of the keys in the store that list the boxes that write
	// counts: each for itself and for the boxes that report to it.
	WritersPrefix string

	// IsWriter reports whether this box writes counts. Nil means always.
	IsWriter func() bool

	// Now returns the time of day by which windows are numbered. Nil means time.Now.
	Now func() time.Time
}

// Reporter is the service that writes the counts of one box and, on the leader, reports the sums.
type Reporter struct {
	Options
	Tally    *usage.Tally
	Store    store.Store
	Cloud    cloudapi.Cloud
	Election *election.Election

	log    zerolog.Logger
	cancel context.CancelFunc
	group  sync.WaitGroup
	fence  uint64
	sent   map[int64]bool

	mu     sync.Mutex
	remote map[int64]map[string]map[string]int // counts by window, source and account
}

// New returns a reporter for a box. The leader of the election e reports to l.
func New(o Options, t *usage.Tally, s store.Store, l cloudapi.Cloud, e *election.Election, log zerolog.Logger) *Reporter {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Reporter{Options: o, Tally: t, Store: s, Cloud: l, Election: e, log: log}
}

// Name returns the name of the service.
func (r *Reporter) Name() string { return Name }

// Start starts the loops that write counts and send reports.
func (r *Reporter) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.group.Go(func() { r.writeLoop(c) })
	r.group.Go(func() { r.reportLoop(c) })
	return nil
}

// Stop stops the loops and writes the counts of the current window.
func (r *Reporter) Stop(c context.Context) error {
	r.cancel()
	r.group.Wait()
	return r.writeCounts(c, r.Tally.WindowAt(r.Now()))
}

// Merge keeps the counts that another process reported, in case it crashes or is partitioned before it
// has written them.
func (r *Reporter) Merge(p usage.Report) {
	oldest := r.Tally.WindowAt(r.Now()) - r.retained()
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

// Source returns the name under which this process's counts are kept.
func (r *Reporter) Source() string { return r.Box + "." + r.Incarnation }

// writeLoop writes this box's counts to the store after each window.
func (r *Reporter) writeLoop(c context.Context) {
	next := r.Tally.WindowAt(r.Now())
	for {
		wait.For(c, r.Tally.WindowEnd(next).Add(writeDelay).Sub(r.Now()))
		if c.Err() != nil {
			return
		}
		if r.IsWriter != nil && !r.IsWriter() {
			next++
			r.Tally.Forget(next - r.retained())
			continue
		}
		if err := r.writeCounts(c, next); err != nil {
			if r.Now().Sub(r.Tally.WindowEnd(next)) < r.Due {
				wait.For(c, retryInterval)
				continue
			}
			r.log.Warn().Str("event", "usage").Int64("window", next).Err(err).Msg("counts not written before the report was due")
		}
		next++
		r.Tally.Forget(next - r.retained())
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

// writeCounts writes the counts of a window, those of this process and those reported to it, and
// deletes what this process wrote for the window that is no longer kept.
func (r *Reporter) writeCounts(c context.Context, window int64) error {
	all := r.remoteCounts(window)
	all[r.Source()] = r.Tally.Counts(window)
	b, err := json.Marshal(all)
	if err != nil {
		return fmt.Errorf("encode counts: %w", err)
	}
	err = r.commitCounts(c, window, b, 0)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	i, err := r.Store.Get(c, r.countsKey(window))
	if err != nil {
		return err
	}
	return r.commitCounts(c, window, b, i.Revision)
}

// commitCounts writes the counts of a window if their key is still at a revision. Without that condition, an earlier change that got
// no answer could replace them with older counts later.
func (r *Reporter) commitCounts(c context.Context, window int64, value []byte, revision uint64) error {
	_, err := r.Store.Commit(c, store.Change{
		If:     []store.Condition{{Key: r.countsKey(window), Revision: revision}},
		Put:    []store.Put{{Key: r.countsKey(window), Value: value}},
		Delete: []string{r.countsKey(window - r.retained())},
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

// reportLoop sends the reports that are due while this box is the leader.
func (r *Reporter) reportLoop(c context.Context) {
	for c.Err() == nil {
		wait.For(c, retryInterval)
		if fence, ok := r.Election.UseFence(); ok {
			r.reportDue(c, fence)
		}
	}
}

// reportDue reports the windows that have ended and whose report is still due.
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
				r.Election.Resign(fence)
				return
			}
		}
	}
}

var errMissingCounts = errors.New("counts are missing")

func (r *Reporter) sendReport(c context.Context, fence uint64, window int64) error {
	counts, err := r.storedSum(c, window)
	if err != nil {
		return err
	}
	f, ok := r.Election.UseFence()
	if !ok || f != fence {
		return errors.New("leadership lost before the report was sent")
	}
	if err := r.Cloud.Report(c, cloudapi.Lease{Holder: r.Box, Fence: fence}, window, counts); err != nil {
		return err
	}
	r.sent[window] = true
	r.log.Info().Str("event", "usage").Int64("window", window).Uint64("fence", fence).Interface("counts", counts).Msg("reported")
	return nil
}

// storedSum returns the sum of a window in the store. If there is none, it collects the counts and
// stores their sum.
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
		Delete: []string{r.sumKey(window - r.retained())},
	})
	if err != nil {
		// If another box has stored a sum, the next round reads that one.
		return nil, err
	}
	return counts, nil
}

// collect returns the sum of the counts of all boxes. It returns errMissingCounts as long as a box has
// not written its counts and there is still time to wait for it.
func (r *Reporter) collect(c context.Context, window int64) (map[string]int, error) {
	entries, _, err := r.Store.Range(c, r.countsPrefix(window))
	if err != nil {
		return nil, err
	}
	writers, _, err := r.Store.Range(c, r.WritersPrefix)
	if err != nil {
		return nil, err
	}
	if len(entries) < max(len(writers), 1) && r.Now().Sub(r.Tally.WindowEnd(window)) < r.Due-collectMargin {
		return nil, fmt.Errorf("%w: %d of %d", errMissingCounts, len(entries), len(writers))
	}
	all := r.remoteCounts(window)
	for _, p := range entries {
		var bySource map[string]map[string]int
		if err := json.Unmarshal(p.Value, &bySource); err != nil {
			return nil, fmt.Errorf("decode %s: %w", p.Key, err)
		}
		for source, counts := range bySource {
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

// maxCounts merges two counts of one process. Counts only grow, so the higher value is the later one.
func maxCounts(a, b map[string]int) map[string]int {
	out := map[string]int{}
	maps.Copy(out, a)
	for k, n := range b {
		out[k] = max(out[k], n)
	}
	return out
}

// remoteCounts returns the counts of a window that other processes reported, by source.
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
