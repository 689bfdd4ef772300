package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/requesthash"
)

// Suspect reports a content from one box to another: the endpoints that crashed while they ran it,
// and the time since it was last answered. Times are ages, so that the clocks of the boxes need not
// agree.
type Suspect struct {
	Content  requesthash.Hash
	Ends     []Crash
	Answered time.Duration `msgpack:",omitempty" json:",omitempty"` // zero if no answer is known
}

// Crash is the crash of one endpoint, identified by the hash of its ID.
type Crash struct {
	Endpoint uint64
	Age      time.Duration
}

// record is the state that a box keeps for a content.
type record struct {
	crashes    map[uint64]time.Time // time of the crash, by hash of the endpoint
	lastCrash  time.Time            // time of the latest crash
	lastLocal  time.Time            // when this box itself last saw a crash, or an answer to the content
	lastAnswer time.Time            // when the content was last answered; zero if never
	lastTrial  time.Time            // when this box last sent the content as a trial
}

// holdTime returns how long after its last crash the content is refused. Crashes more than trialGap
// after the previous one count as failed trials.
func (r *record) holdTime() time.Duration {
	trials := 0
	var previous time.Time
	for n, at := range slices.SortedFunc(maps.Values(r.crashes), time.Time.Compare) {
		if n > 0 && at.Sub(previous) > trialGap {
			trials++
		}
		previous = at
	}
	return holdTimes[min(trials, len(holdTimes)-1)]
}

// addCrash records the crash of an endpoint. It reports whether the record changed.
func (r *record) addCrash(endpoint uint64, at time.Time) bool {
	if _, ok := r.crashes[endpoint]; ok || !at.After(r.lastAnswer.Add(answerProtection)) {
		return false
	}
	r.crashes[endpoint] = at
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	if len(r.crashes) > maxCrashes {
		r.dropOldestCrash()
	}
	return true
}

func (r *record) dropOldestCrash() {
	var oldest uint64
	var at time.Time
	for e, t := range r.crashes {
		if at.IsZero() || t.Before(at) || t.Equal(at) && e < oldest {
			oldest, at = e, t
		}
	}
	delete(r.crashes, oldest)
}

// addAnswer records that an endpoint answered the content without crashing. All earlier
// crashes, and those up to answerProtection later, are discarded. addAnswer reports whether the
// record changed enough to notify others: an answer that other boxes send back appears a few
// milliseconds newer than the one recorded here and must not be forwarded again.
func (r *record) addAnswer(at time.Time) bool {
	crashes := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ uint64, t time.Time) bool { return !t.After(at.Add(answerProtection)) })
	if len(r.crashes) == crashes && at.Sub(r.lastAnswer) < recentWindow {
		return false
	}
	r.lastAnswer = at
	return true
}

// unexplained returns the number of the content's crashes that are not in explained.
func (r *record) unexplained(explained map[uint64]bool) int {
	n := 0
	for e := range r.crashes {
		if !explained[e] {
			n++
		}
	}
	return n
}

// suspect returns the record in the form in which it is sent to other boxes.
func (r *record) suspect(h requesthash.Hash, now time.Time) Suspect {
	s := Suspect{Content: h}
	for e, at := range r.crashes {
		s.Ends = append(s.Ends, Crash{e, now.Sub(at)})
	}
	if !r.lastAnswer.IsZero() {
		s.Answered = max(now.Sub(r.lastAnswer), 1)
	}
	return s
}

// Sum returns a checksum of a list of suspects that does not depend on their ages or order.
func Sum(suspects []Suspect) uint64 {
	var sum uint64
	var b [16]byte
	for _, s := range suspects {
		binary.LittleEndian.PutUint64(b[:8], uint64(s.Content))
		if s.Answered > 0 {
			binary.LittleEndian.PutUint64(b[8:], 0)
			sum ^= xxhash.Sum64(b[:])
		}
		for _, e := range s.Ends {
			binary.LittleEndian.PutUint64(b[8:], e.Endpoint)
			sum ^= xxhash.Sum64(b[:])
		}
	}
	return sum
}

func hashEndpoint(endpoint string) uint64 { return xxhash.Sum64String(endpoint) }
