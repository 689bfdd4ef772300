package gossip

import (
	"context"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/frame"
)

// maxPlainRecords is the number of records up to which they are sent with their announcement.
const maxPlainRecords = 50

func (g *Gossip) pushRecords(c context.Context, r fleetstate.Records) {
	u := update{Revision: r.To}
	if len(r.Items) <= maxPlainRecords {
		u.Records = &r
	}
	g.pushUpdate(c, u)
}

// missingRecords returns the changes that a box with records of a revision lacks, if they are few.
func (g *Gossip) missingRecords(revision uint64) *fleetstate.Records {
	if revision == 0 || revision >= g.state.Revision() {
		return nil
	}
	r := g.state.ChangesSince(revision)
	if r.Whole || len(r.Items) > maxPlainRecords {
		return nil
	}
	return &r
}

// mergeMissing merges changes that this box lacked when it called the sender; nil if there are none.
func (g *Gossip) mergeMissing(r *fleetstate.Records) {
	if r != nil {
		g.state.Merge(*r)
	}
}

// packRecords encodes and compresses records. A relay that has read the records of 3,000 endpoints
// sends them to a hundred members at once. Encoded separately for each member, this took 287 MB and
// 21 MB/s on the busiest of 300 boxes; packed once for all, 49 MB and 3.6 MB/s.
func packRecords(r fleetstate.Records) ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode records: %w", err)
	}
	return pack(b)
}

// recordsCache caches packed records of one revision by the revision from which they start: after a
// lost push, many members ask for the same records.
type recordsCache struct {
	mu          sync.Mutex
	revision    uint64
	zipsByStart map[uint64][]byte
}

// pack returns the packed records that changed since a revision. It packs once per pair of revisions.
func (rc *recordsCache) pack(state *fleetstate.Service, since uint64) ([]byte, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if zip, ok := rc.zipsByStart[since]; ok && rc.revision == state.Revision() {
		return zip, nil
	}
	r := state.ChangesSince(since)
	if rc.zipsByStart == nil || rc.revision != r.To {
		rc.revision, rc.zipsByStart = r.To, map[uint64][]byte{}
	}
	zip, ok := rc.zipsByStart[0]
	if !ok || !r.Whole {
		var err error
		if zip, err = packRecords(r); err != nil {
			return nil, err
		}
	}
	if r.Whole {
		rc.zipsByStart[0] = zip
	}
	rc.zipsByStart[since] = zip
	return zip, nil
}

// unpackRecords reverses packRecords.
func unpackRecords(zip []byte) (fleetstate.Records, error) {
	var r fleetstate.Records
	b, err := unpack(zip)
	if err != nil {
		return r, err
	}
	if err := frame.Check(b); err != nil {
		return r, fmt.Errorf("decode records: %w", err)
	}
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode records: %w", err)
	}
	return r, nil
}
