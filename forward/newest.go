package forward

import "slices"

// newestEvents holds the hashes of the newest events of a stream, as of package endmark. Its zero value has none.
type newestEvents struct {
	hashes [16]uint64
	n      int // events added
}

func (e *newestEvents) add(hash uint64) {
	e.hashes[e.n%len(e.hashes)] = hash
	e.n++
}

// last returns the hash of the last event, or zero if there is none.
func (e *newestEvents) last() uint64 {
	if e.n == 0 {
		return 0
	}
	return e.hashes[(e.n-1)%len(e.hashes)]
}

// isLastNew reports whether the last event is unlike the others. One that comes again and again ends no stream.
func (e *newestEvents) isLastNew() bool {
	h, last := e.hashes[:min(e.n, len(e.hashes))], e.last()
	i := slices.Index(h, last)
	return i >= 0 && slices.Index(h[i+1:], last) < 0
}
