package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// MaxEntries bounds the entries of one message, at up to 16 bytes each. A box has some 8 endpoints
// with new samples in a round of 500 ms, and a relay of 12 boxes sends the news of 60 endpoints in
// 4 rounds.
const MaxEntries = 16

// Members are told of an endpoint that they use when its logarithm has changed by minChange, its
// samples have doubled, or refreshAfter has passed, in which samples decay by 30%. Of others they are
// told the class only, by the samples that give it.
const (
	minChange    = 0.04
	refreshAfter = 30 * time.Second
)

// maxUnsent bounds the weight of an endpoint's samples that wait for a receiver, so that a box that
// was cut off for long does not outweigh the others.
const maxUnsent = 64

// The units of the numbers in an Entry.
const (
	countUnit = 1.0 / 16
	sumUnit   = 1.0 / 64
)

// maxCount bounds the samples of one endpoint that are taken from a message. It is some ten times
// the samples that count at 100 requests a second.
const maxCount = 100_000

// Entry holds the samples of one endpoint in a message. Its numbers are integers in units of
// countUnit and sumUnit, which take few bytes.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key   uint64
	Count int
	Sum   int
}

func newEntry(k Key, s sums) Entry {
	return Entry{Key: uint64(k), Count: int(math.Round(s.count / countUnit)), Sum: int(math.Round(s.sum / sumUnit))}
}

func (n Entry) sums() sums {
	s := sums{count: min(max(float64(n.Count)*countUnit, 0), maxCount)}
	bound := s.count * (maxLogFactor + maxDeviation)
	s.sum = min(max(float64(n.Sum)*sumUnit, -bound), bound)
	return s
}

// Reply is what a relay tells a member: the samples of all boxes for the endpoints whose estimate has
// changed. The member confirms Sequence in its next report; if it doesn't, the relay tells it all.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Sequence uint64
	Entries  []Entry
}

// memberState is what a member was told last.
type memberState struct {
	sequence uint64
	told     map[Key]told
}

type told struct {
	sums
	at    time.Time
	class int8
}

// SetReceivers sets the boxes to which samples are sent: those of this box and, at a relay, those of
// its members. If none of the receivers stays, as when a member becomes a relay, the new ones get
// what one of the former has not got. Without names, nothing changes. Otherwise samples for former
// receivers are dropped.
func (e *Estimator) SetReceivers(names ...string) {
	if len(names) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	unsent, stays := make(map[string]map[Key]sums, len(names)), false
	for _, n := range names {
		unsent[n] = e.unsent[n]
		stays = stays || unsent[n] != nil
	}
	var left map[Key]sums
	if former := slices.Sorted(maps.Keys(e.unsent)); !stays && len(former) > 0 {
		left = e.unsent[former[0]]
	}
	for n, m := range unsent {
		if m == nil {
			unsent[n] = make(map[Key]sums, len(left))
			maps.Copy(unsent[n], left)
		}
	}
	e.unsent = unsent
}

// limitUnsent bounds the weights of samples that wait for a receiver by those of the totals, which
// include them and decay. Otherwise a box that is cut off would later send old samples at full weight,
// and keep those of each process that has ended since.
func (e *Estimator) limitUnsent() {
	for _, unsent := range e.unsent {
		for k, s := range unsent {
			if t := e.totals[k]; t != nil {
				unsent[k] = s.limited(t.count)
			} else {
				delete(unsent, k)
			}
		}
	}
}

// Take removes and returns up to MaxEntries endpoints' samples for a receiver, those with the most
// first.
func (e *Estimator) Take(receiver string) []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	unsent := e.unsent[receiver]
	all := make([]Entry, 0, len(unsent))
	for k, s := range unsent {
		all = append(all, newEntry(k, s))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key)) })
	all = all[:min(len(all), MaxEntries)]
	for _, n := range all {
		delete(unsent, Key(n.Key))
	}
	return all
}

// Return takes back samples that a receiver did not get.
func (e *Estimator) Return(receiver string, entries []Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unsent := e.unsent[receiver]
	if unsent == nil {
		return
	}
	for _, n := range entries {
		s, u := n.sums(), unsent[Key(n.Key)]
		unsent[Key(n.Key)] = sums{u.count + s.count, u.sum + s.sum}.limited(maxUnsent)
	}
}

// AddMember adds a member's new samples. They are sent on to the other relays.
func (e *Estimator) AddMember(entries []Entry, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range entries[:min(len(entries), MaxEntries)] {
		e.add(Key(n.Key), n.sums().limited(maxUnsent), now)
	}
}

// AddRelay adds the new samples of another relay and its members.
func (e *Estimator) AddRelay(entries []Entry, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range entries[:min(len(entries), MaxEntries)] {
		e.addTotal(Key(n.Key), n.sums().limited(maxUnsent), now)
	}
}

// Accept replaces the samples of endpoints by what the relay knows, which includes what this box has
// sent. A relay that has started anew knows less than its members and is not believed until it knows
// half of what they know.
func (e *Estimator) Accept(r Reply, receiver string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range r.Entries[:min(len(r.Entries), MaxEntries)] {
		k, s := Key(n.Key), n.sums()
		t, u := e.total(k, now), e.unsent[receiver][k]
		if 2*s.count >= t.count {
			t.sums = sums{s.count + u.count, s.sum + u.sum}
		}
	}
}

// ReplyTo returns what a member is to be told. Confirmed is the sequence of the last reply that it
// got. Used are the endpoints that it works with; none means all.
func (e *Estimator) ReplyTo(member string, confirmed uint64, used []Key, now time.Time) Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.members == nil {
		e.members = map[string]*memberState{}
	}
	m := e.members[member]
	if m == nil || m.sequence != confirmed {
		m = &memberState{sequence: confirmed, told: map[Key]told{}}
		e.members[member] = m
	}
	m.sequence++
	uses := make(map[Key]bool, len(used))
	for _, k := range used {
		uses[k] = true
	}
	type candidate struct {
		key    Key
		change float64
	}
	var news []candidate
	for k, t := range e.totals {
		t.decay(now)
		last := m.told[k]
		if last.shouldRepeat(t, len(used) == 0 || uses[k], now) {
			news = append(news, candidate{k, math.Abs(t.logFactor() - last.logFactor())})
		}
	}
	slices.SortFunc(news, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.key, b.key)) })
	r := Reply{Sequence: m.sequence}
	for _, c := range news[:min(len(news), MaxEntries)] {
		t := e.totals[c.key]
		m.told[c.key] = told{t.sums, now, t.class}
		r.Entries = append(r.Entries, newEntry(c.key, t.sums))
	}
	for k := range m.told {
		if e.totals[k] == nil {
			delete(m.told, k)
		}
	}
	return r
}

// shouldRepeat reports whether a member must be told an endpoint's samples again.
func (l told) shouldRepeat(t *total, used bool, now time.Time) bool {
	isOld := now.Sub(l.at) > refreshAfter
	if !used {
		return t.class != l.class || t.class != 0 && isOld
	}
	return isOld && t.count >= 1 || math.Abs(t.logFactor()-l.logFactor()) > minChange || t.count > 2*l.count+1
}

// ForgetMembers discards what members were told, except for those that are still members.
func (e *Estimator) ForgetMembers(isMember func(name string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.members {
		if !isMember(n) {
			delete(e.members, n)
		}
	}
}
