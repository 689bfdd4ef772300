// Package requesthash computes hashes that identify requests by their content, and the parts of their prompts.
package requesthash

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/call"
)

// Hash is a hash of a request's content: the account, the method, the host, the target and the body.
// The request's ID is not part of the content.
type Hash uint64

// HashOf returns the hash of a call by an account. The account is empty if calls need no key.
func HashOf(account string, c *call.Call) Hash {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{account, c.Method, c.Host, c.Target} {
		writeLength(&d, len(s)) // fields with the same concatenation must not collide
		_, _ = d.WriteString(s) // never returns an error
	}
	_, _ = d.Write(c.Body)
	return Hash(d.Sum64())
}

// MaxParts is the number of parts of one prompt that have a hash.
const MaxParts = 32

// PartsOf returns the hashes of the parts of a call's prompt that requests to the service may share: all but the last one,
// which is the request's own. Of more than MaxParts, it returns the last ones, since later parts are shared by fewer requests.
func PartsOf(service string, c *call.Call) []Hash {
	if len(c.Parts) < 2 {
		return nil
	}
	shared := c.Parts[:len(c.Parts)-1]
	shared = shared[max(len(shared)-MaxParts, 0):]
	hs := make([]Hash, len(shared))
	for n, p := range shared {
		hs[n] = PartOf(service, p.ID)
	}
	return hs
}

// PartOf returns the hash of a part of the prompts of requests to a service. No content has the same hash but by chance.
func PartOf(service, id string) Hash {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{"part", service, id} {
		writeLength(&d, len(s))
		_, _ = d.WriteString(s)
	}
	return Hash(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

// String returns the hash in hexadecimal with 16 digits, as in logs.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }
