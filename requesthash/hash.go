// Package requesthash computes hashes that identify requests by their content.
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

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

// String returns the hash in hexadecimal with 16 digits, as in logs.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }
