package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/requesthash"
)

// Suspect reports an item from one box to another: the endpoints that crashed while they ran it, its trials and its
// answers. Times are ages, so that the clocks of the boxes need not agree.
type Suspect struct {
	Content requesthash.Hash // of the item
	Part    bool             `msgpack:",omitempty" json:",omitempty"` // the item is a part of prompts
	Ends    []Crash
	Trials  []Crash  `msgpack:",omitempty" json:",omitempty"` // the endpoints that got the item as a trial
	Answers []Answer `msgpack:",omitempty" json:",omitempty"`
	Running []Answer `msgpack:",omitempty" json:",omitempty"` // that had lasted for RunningTime at least
}

// Crash is the crash of one endpoint, identified by the hash of its ID, or a trial there. Ran is how long before the crash
// a request with the item was sent there last.
type Crash struct {
	Endpoint uint64
	Age      time.Duration
	Ran      time.Duration `msgpack:",omitempty" json:",omitempty"`
	Version  uint32        `msgpack:",omitempty" json:",omitempty"` // hash of its software version
}

// Answer is the last complete answer of endpoints of one software version. Begun is the time since they began to write it.
type Answer struct {
	Version uint32 `msgpack:",omitempty" json:",omitempty"`
	Begun   time.Duration
}

// crash is a crash or a trial.
type crash struct {
	at      time.Time
	ran     time.Duration
	version uint32
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
type record struct {
	isPart    bool
	crashes   map[uint64]crash // that no answer has refuted, by hash of the endpoint
	trials    map[uint64]crash // since the last time that all crashes were refuted, by hash of the endpoint
	answers   answers
	running   answers   // that had lasted for RunningTime at least, whether or not they ended well
	lastCrash time.Time // time of the latest crash
	lastLocal time.Time // when this box itself last saw a crash, or an answer to the item
	lastTrial time.Time // when this box last sent the item as a trial
}

func newRecord(isPart bool) *record {
	return &record{isPart: isPart, crashes: map[uint64]crash{}, trials: map[uint64]crash{}, answers: answers{}, running: answers{}}
}

// addCrash records the crash of an endpoint, unless an answer refutes it. It reports whether the record changed.
func (r *record) addCrash(endpoint uint64, c crash) bool {
	if known, ok := r.crashes[endpoint]; ok {
		known.ran = min(known.ran, c.ran)
		r.crashes[endpoint] = known
		return false
	}
	if r.isRefuted(c) {
		return false
	}
	r.crashes[endpoint] = c
	if c.at.After(r.lastCrash) {
		r.lastCrash = c.at
	}
	if len(r.crashes) > maxCrashes {
		r.dropOldestCrash()
	}
	return true
}

// isRefuted reports whether an answer shows that the item did not cause a crash: endpoints of the same version began to
// answer it since. An answer that began before the crash shows nothing, as the item may crash endpoints only since then.
func (r *record) isRefuted(c crash) bool {
	begun, ok := r.answers[c.version]
	return ok && !c.at.After(begun.Add(maxTimeError))
}

// withoutRunning returns the crashes since which no endpoint of the same version has run the item for RunningTime. That one
// has does not refute a crash: the item may crash endpoints later in an answer.
func withoutRunning(cs map[uint64]crash, running answers) map[uint64]crash {
	out := map[uint64]crash{}
	for e, c := range cs {
		if begun, ok := running[c.version]; !ok || c.at.After(begun.Add(maxTimeError)) {
			out[e] = c
		}
	}
	return out
}

// addRunning records that an endpoint of a version has run the item for RunningTime. It reports whether that speaks against
// further crashes.
func (r *record) addRunning(version uint32, begun time.Time) bool {
	n := len(withoutRunning(r.crashes, r.running))
	r.running.add(version, begun)
	return len(withoutRunning(r.crashes, r.running)) < n
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

// isRepeated reports whether an answer that another box reports is one that is known: reports arrive some milliseconds after
// their ages were taken, and would make an answer newer with each box that passes them on.
func (a answers) isRepeated(version uint32, begun time.Time) bool {
	known, ok := a[version]
	return ok && !begun.After(known.Add(maxTimeError))
}

// addAnswer records that endpoints of a version answered the item without crashing, and discards the crashes that this
// refutes. It reports whether the record changed enough to notify others: an answer that other boxes send back appears a
// few milliseconds newer than the one recorded here and must not be forwarded again.
func (r *record) addAnswer(version uint32, begun time.Time) bool {
	previous, known := r.answers[version]
	r.answers.add(version, begun)
	n := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ uint64, c crash) bool { return r.isRefuted(c) })
	if len(r.crashes) == 0 {
		clear(r.trials)
	}
	return len(r.crashes) < n || !known || begun.Sub(previous) >= recentWindow
}

// firstCrash returns the time of the first crash at a version, or at any if there is none at it.
func (r *record) firstCrash() time.Time {
	var t time.Time
	for _, c := range r.crashes {
		if t.IsZero() || c.at.Before(t) {
			t = c.at
		}
	}
	return t
}

// wasAnswered reports whether endpoints of a version that crashed under the item had answered it within answerProtection
// before.
func (r *record) wasAnswered() bool {
	for _, c := range r.crashes {
		if begun, ok := r.answers[c.version]; ok && c.at.Sub(begun) < answerProtection {
			return true
		}
	}
	return false
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
	s.Answers, s.Running = r.answers.reports(now), r.running.reports(now)
	return s
}

func (a answers) reports(now time.Time) []Answer {
	out := make([]Answer, 0, len(a))
	for v, begun := range a {
		out = append(out, Answer{v, max(now.Sub(begun), 1)})
	}
	return out
}

func reports(cs map[uint64]crash, now time.Time) []Crash {
	out := make([]Crash, 0, len(cs))
	for e, c := range cs {
		out = append(out, Crash{e, now.Sub(c.at), c.ran, c.version})
	}
	return out
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
			add(s.Content, 1, e.Endpoint)
		}
		for _, t := range s.Trials {
			add(s.Content, 2, t.Endpoint)
		}
	}
	return sum
}
