// Package origin holds what a box remembers of where streams began: the service, the software version of its
// endpoint, and the account. Another box may need it when the caller takes the stream up again.
package origin

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRecords bounds the records of a table. At 1,400 streams per second that live for 15 s, 86 boxes hold some 700
// each.
const maxRecords = 1 << 15

// Origin is where a stream began. Account is a hash of the account's name.
type Origin struct {
	Service string
	Version string
	Account uint64
}

// Finding is what is known of where a stream began. Known is false if the origin is not. Foreign is set if another account
// began the stream.
type Finding struct {
	Origin

	Known   bool
	Foreign bool
}

// Hash returns the hash of a stream's ID or of an account's name.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Record is the origin of a stream, named by the hash of its ID. It lapses at Expires.
type Record struct {
	Stream  uint64
	Expires time.Time
	Origin
}

// Group holds the records of streams that began at one version of a service, in a compact form for other boxes and for
// the store.
type Group struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Version string
	Packed  []byte
}

// packedSize is the size of a packed record in bytes: the stream, the account, and the second in which it
// lapses.
const packedSize = 8 + 8 + 4

// Pack groups records. The time at which a record lapses is given in seconds on the clock that toSeconds reads.
func Pack(rs []Record, toSeconds func(time.Time) uint32) []Group {
	var out []Group
	index := map[Origin]int{}
	for _, r := range rs {
		key := Origin{Service: r.Service, Version: r.Version}
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, Group{Service: r.Service, Version: r.Version})
		}
		b := binary.LittleEndian.AppendUint64(out[i].Packed, r.Stream)
		b = binary.LittleEndian.AppendUint64(b, r.Account)
		out[i].Packed = binary.LittleEndian.AppendUint32(b, toSeconds(r.Expires))
	}
	return out
}

// Unpack returns the records of a group. Bytes that are no whole record are ignored.
func (g Group) Unpack(toTime func(seconds uint32) time.Time) []Record {
	var out []Record
	for b := g.Packed; len(b) >= packedSize; b = b[packedSize:] {
		out = append(out, Record{
			Stream: binary.LittleEndian.Uint64(b), Expires: toTime(binary.LittleEndian.Uint32(b[16:])),
			Origin: Origin{Service: g.Service, Version: g.Version, Account: binary.LittleEndian.Uint64(b[8:])},
		})
	}
	return out
}

// Table holds a bounded number of records. It is safe for concurrent use, and must be created with NewTable.
type Table struct {
	mu      sync.Mutex
	records *simplelru.LRU[uint64, Record]
}

// NewTable returns an empty table.
func NewTable() *Table {
	l, err := simplelru.NewLRU[uint64, Record](maxRecords, nil)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Table{records: l}
}

// Put adds a record, or replaces the one of the same stream unless that lapses later or is of another account, which may
// not take a stream away by using its ID.
func (t *Table) Put(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.records.Peek(r.Stream)
	if ok && now.Before(old.Expires) && (old.Account != r.Account || old.Origin == r.Origin && old.Expires.After(r.Expires)) {
		return
	}
	t.records.Add(r.Stream, r)
	for {
		_, oldest, ok := t.records.GetOldest()
		if !ok || now.Before(oldest.Expires) {
			return
		}
		t.records.RemoveOldest()
	}
}

// Get returns the record of a stream that has not lapsed.
func (t *Table) Get(stream uint64, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records.Peek(stream)
	return r, ok && now.Before(r.Expires)
}

// OfService returns the records of a service that have not lapsed.
func (t *Table) OfService(service string, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, r := range t.records.Values() {
		if r.Service == service && now.Before(r.Expires) {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of records, including some that have lapsed.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Len()
}
