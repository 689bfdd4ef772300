package quarantine

import (
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/requesthash"
)

// Request names what a request may have in common with others that crash endpoints: its content, and the parts of its
// prompt. Each of them is an item of the quarantine.
type Request struct {
	Content requesthash.Hash
	Parts   []requesthash.Hash // that other requests may share
}

// Attempt is a request sent to an endpoint.
type Attempt struct {
	Request
	Endpoint string // incarnation
	Version  string // software version of the endpoint; empty if unknown
}

// Verdict is a decision on a request. The zero value allows it at any endpoint.
type Verdict struct {
	Refused    bool          // no endpoint may get the request
	RetryAfter time.Duration // when the caller may retry, if the request is refused

	// Versions are the software versions of the endpoints that may get the request; nil allows all.
	Versions []string

	isTrial bool
}

// Allows reports whether endpoints of a software version may get the request.
func (v Verdict) Allows(version string) bool {
	return !v.Refused && (v.Versions == nil || slices.Contains(v.Versions, version))
}

// items returns the items of a request, and whether each is a part.
func (r Request) items() iter.Seq2[requesthash.Hash, bool] {
	return func(yield func(requesthash.Hash, bool) bool) {
		if !yield(r.Content, false) {
			return
		}
		for _, p := range r.Parts {
			if !yield(p, true) {
				return
			}
		}
	}
}

// versionHash identifies a software version in records. It is zero for an unknown version.
func versionHash(version string) uint32 {
	if version == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(version)) | 1
}

func hashEndpoint(endpoint string) uint64 { return xxhash.Sum64String(endpoint) }
