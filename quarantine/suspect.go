package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/requesthash"
)

// Suspect reports an item from one box to another: the endpoints that crashed while they ran it, its trials and its
// answers. Times are ages, so that the clocks of the boxes need not agree. Boxes of earlier software take parts for contents
// that never come.
type Suspect struct {
	Content requesthash.Hash // of the item
	Part    bool             `msgpack:"p,omitempty" json:",omitempty"` // the item is a part of prompts
	Ends    []Crash
	Refuted []uint64 `msgpack:"f,omitempty" json:",omitempty"` // hashes of the endpoints whose crashes the item did not cause
	Trials  []Crash  `msgpack:"t,omitempty" json:",omitempty"` // the endpoints that got the item as a trial
	Answers []Answer `msgpack:"a,omitempty" json:",omitempty"`
}

// Crash is the crash of one endpoint, identified by the hash of its ID, or a trial there. Ran is how long before the crash
// a request with the item was sent there last. HasRun reports that an endpoint of its version has run the item since for
// RunningTime.
type Crash struct {
	Endpoint uint64
	Age      time.Duration
	Ran      time.Duration `msgpack:"r,omitempty" json:",omitempty"`
	Version  uint32        `msgpack:"v,omitempty" json:",omitempty"` // hash of its software version
	HasRun   bool          `msgpack:"h,omitempty" json:",omitempty"`
}

// Answer is the last complete answer of endpoints of one software version. Begun is the time since they began to write it.
type Answer struct {
	Version uint32        `msgpack:"v,omitempty" json:",omitempty"`
	Begun   time.Duration `msgpack:"b"`
}

// crash is a crash or a trial.
type crash struct {
	at      time.Time
	ran     time.Duration
	version uint32
	hasRun  bool
}

// answers has the time at which the last answer began, by software version.
type answers map[uint32]time.Time

// add records an answer that began at a time, unless a later one is known. Of more than maxVersions, the oldest is dropped.
func (a answers) add(version uint32, begun time.Time) {
	if begun.After(a[version]) {
		a[version] = begun
	}
	for len(a) > maxVersions {
		delete(a, slices.MinFunc(slices.Collect(maps.Keys(a)), func(v, w uint32) int { return a[v].Compare(a[w]) }))
	}
}

// last returns the time at which the last answer began at any version; zero if there is none.
func (a answers) last() time.Time {
	var t time.Time
	for _, b := range a {
		if b.After(t) {
			t = b
		}
	}
	return t
}

// record is the state that a box keeps for an item.
//
// What refutes a crash is decided by the box that saw the answer, on its own clock, and told to the others by the name of
// the endpoint. The times that other boxes report only seem later than they are, for example after this box was suspended, so
// that a crash that was reported can't be refuted wrongly.
type record struct {
	isPart    bool
	crashes   map[uint64]crash     // that no answer has refuted, by hash of the endpoint
	refuted   map[uint64]time.Time // when crashes were found to be refuted, by hash of the endpoint
	trials    map[uint64]crash     // since the last time that all crashes were refuted, by hash of the endpoint
	answers   answers              // that any box has seen
	running   answers              // that this box has seen go on for RunningTime, whether or not they ended well
	lastCrash time.Time            // time of the latest crash
	lastLocal time.Time            // when this box itself last saw a crash, or an answer to the item
	lastTrial time.Time            // when this box last sent the item as a trial
}

func newRecord(isPart bool) *record {
	return &record{
		isPart: isPart, crashes: map[uint64]crash{}, refuted: map[uint64]time.Time{}, trials: map[uint64]crash{},
		answers: answers{}, running: answers{},
	}
}

// addCrash records the crash of an endpoint, unless it is refuted. It reports whether the record changed.
func (r *record) addCrash(endpoint uint64, c crash) bool {
	if _, ok := r.refuted[endpoint]; ok {
		return false
	}
	if known, ok := r.crashes[endpoint]; ok {
		return r.correct(endpoint, known, c)
	}
	c.hasRun = c.hasRun || r.running.isSince(c)
	r.crashes[endpoint] = c
	if c.at.After(r.lastCrash) {
		r.lastCrash = c.at
	}
	if len(r.crashes) > maxCrashes {
		r.dropOldestCrash()
	}
	return true
}

// correct merges another report of a known crash. The earliest time is the most accurate.
func (r *record) correct(endpoint uint64, known, c crash) bool {
	k := known
	k.ran, k.hasRun = min(k.ran, c.ran), k.hasRun || c.hasRun
	if c.at.Before(k.at) {
		k.at = c.at
	}
	r.crashes[endpoint] = k
	return k.hasRun != known.hasRun || known.at.Sub(k.at) > minCorrection
}

// isSince reports whether an answer of the crash's version began after it.
func (a answers) isSince(c crash) bool {
	begun, ok := a[c.version]
	return ok && !c.at.After(begun.Add(maxTimeError))
}

// refute discards the crashes that an answer refutes which this box has seen: endpoints of a version began to answer the item
// since. An answer that began before a crash shows nothing, as the item may crash endpoints only since then. It reports
// whether there are such crashes.
func (r *record) refute(version uint32, begun, now time.Time) bool {
	n := len(r.crashes)
	for e, c := range r.crashes {
		if (answers{version: begun}).isSince(c) {
			delete(r.crashes, e)
			r.refuted[e] = now
		}
	}
	r.forgetTrials()
	return len(r.crashes) < n
}

// addRefuted discards a crash that another box has refuted. It reports whether the record changed.
func (r *record) addRefuted(endpoint uint64, now time.Time) bool {
	if _, ok := r.refuted[endpoint]; ok {
		return false
	}
	r.refuted[endpoint] = now
	delete(r.crashes, endpoint)
	r.forgetTrials()
	return true
}

// forgetTrials forgets the trials of an item that caused no crash.
func (r *record) forgetTrials() {
	if len(r.crashes) == 0 {
		clear(r.trials)
	}
}

// forgetRefuted forgets crashes that were refuted so long ago that no box reports them any more, and of more than maxCrashes
// the oldest.
func (r *record) forgetRefuted(now time.Time) {
	maps.DeleteFunc(r.refuted, func(_ uint64, at time.Time) bool { return now.Sub(at) > 2*recentWindow })
	if n := len(r.refuted) - maxCrashes; n > 0 {
		es := slices.SortedFunc(maps.Keys(r.refuted), func(a, b uint64) int {
			return cmp.Or(r.refuted[a].Compare(r.refuted[b]), cmp.Compare(a, b))
		})
		for _, e := range es[:n] {
			delete(r.refuted, e)
		}
	}
}

// addAnswer records when endpoints of a version last began an answer. It reports whether others should know: an answer
// that other boxes send back appears a few milliseconds newer than the one recorded here and must not be forwarded again.
func (r *record) addAnswer(version uint32, begun time.Time) bool {
	previous, known := r.answers[version]
	r.answers.add(version, begun)
	return !known || begun.Sub(previous) >= recentWindow
}

// addRunning records that an endpoint of a version has run the item for RunningTime. It reports whether none had since one of
// the crashes.
func (r *record) addRunning(version uint32, begun time.Time) bool {
	r.running.add(version, begun)
	changed := false
	for e, c := range r.crashes {
		if !c.hasRun && r.running.isSince(c) {
			c.hasRun = true
			r.crashes[e] = c
			changed = true
		}
	}
	return changed
}

// withoutRunning returns the crashes since which no endpoint of the same version has run the item for RunningTime. That one
// has does not refute a crash: the item may crash endpoints later in an answer.
func withoutRunning(cs map[uint64]crash) map[uint64]crash {
	out := map[uint64]crash{}
	for e, c := range cs {
		if !c.hasRun {
			out[e] = c
		}
	}
	return out
}

func (r *record) dropOldestCrash() {
	var oldest uint64
	var at time.Time
	for e, c := range r.crashes {
		if at.IsZero() || c.at.Before(at) || c.at.Equal(at) && e < oldest {
			oldest, at = e, c.at
		}
	}
	delete(r.crashes, oldest)
}

// firstCrash returns the time of the first crash.
func (r *record) firstCrash() time.Time {
	var t time.Time
	for _, c := range r.crashes {
		if t.IsZero() || c.at.Before(t) {
			t = c.at
		}
	}
	return t
}

// wasAnswered reports whether endpoints of the version that crashed last under the item had answered it within answerProtection
// before.
func (r *record) wasAnswered() bool {
	var last crash
	for _, c := range r.crashes {
		if c.at.After(last.at) {
			last = c
		}
	}
	begun, ok := r.answers[last.version]
	return ok && last.at.Sub(begun) < answerProtection
}

// hasCrashed reports whether an endpoint of the version crashed under the item.
func (r *record) hasCrashed(version uint32) bool {
	for _, c := range r.crashes {
		if c.version == version {
			return true
		}
	}
	return false
}

// isSoundAt reports whether endpoints of the version have answered the item since the first crash, and none crashed.
func (r *record) isSoundAt(version uint32) bool {
	begun, ok := r.answers[version]
	return ok && begun.After(r.firstCrash()) && !r.hasCrashed(version)
}

// unexplained returns the crashes that are not in explained.
func (r *record) unexplained(explained map[uint64]bool) map[uint64]crash {
	out := map[uint64]crash{}
	for e, c := range r.crashes {
		if !explained[e] {
			out[e] = c
		}
	}
	return out
}

// suspect returns the record in the form in which it is sent to other boxes.
func (r *record) suspect(h requesthash.Hash, now time.Time) Suspect {
	s := Suspect{Content: h, Part: r.isPart, Ends: reports(r.crashes, now), Trials: reports(r.trials, now)}
	s.Answers, s.Refuted = r.answers.reports(now), slices.Collect(maps.Keys(r.refuted))
	return s
}

func (a answers) reports(now time.Time) []Answer {
	out := make([]Answer, 0, len(a))
	for v, begun := range a {
		out = append(out, Answer{Version: v, Begun: max(now.Sub(begun), 1)})
	}
	return out
}

// report returns the crash of an endpoint in the form in which it is sent to other boxes.
func (c crash) report(endpoint uint64, now time.Time) Crash {
	return Crash{Endpoint: endpoint, Age: now.Sub(c.at), Ran: c.ran, Version: c.version, HasRun: c.hasRun}
}

func reports(cs map[uint64]crash, now time.Time) []Crash {
	out := make([]Crash, 0, len(cs))
	for e, c := range cs {
		out = append(out, c.report(e, now))
	}
	return out
}

// limitCrashes keeps the newest crashes of a report.
func (s *Suspect) limitCrashes(n int) {
	slices.SortFunc(s.Ends, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint)) })
	s.Ends = s.Ends[:min(len(s.Ends), n)]
}

// Sum returns a checksum of a list of suspects that does not depend on their ages or order.
func Sum(suspects []Suspect) uint64 {
	var sum uint64
	var b [24]byte
	add := func(h requesthash.Hash, kind, what uint64) {
		binary.LittleEndian.PutUint64(b[:8], uint64(h))
		binary.LittleEndian.PutUint64(b[8:16], kind)
		binary.LittleEndian.PutUint64(b[16:], what)
		sum ^= xxhash.Sum64(b[:])
	}
	for _, s := range suspects {
		for _, a := range s.Answers {
			add(s.Content, 0, uint64(a.Version))
		}
		for _, e := range s.Ends {
			kind := uint64(1)
			if e.HasRun {
				kind = 4
			}
			add(s.Content, kind, e.Endpoint)
		}
		for _, e := range s.Refuted {
			add(s.Content, 3, e)
		}
		for _, t := range s.Trials {
			add(s.Content, 2, t.Endpoint)
		}
	}
	return sum
}
