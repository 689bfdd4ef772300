// Package content tells requests by what they ask for.
package content

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"birchlink.dev/birchlink/call"
)

// Hash stands for what a request asks for: two requests with one hash have the same
// account, method, host, target and body, whatever their IDs are.
type Hash uint64

// HashOf returns the hash of a call by an account; the account is empty where none is
// needed.
func HashOf(account string, c *call.Call) Hash {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{account, c.Method, c.Host, c.Target} {
		writeLength(&d, len(s)) // so that no two lists of fields read alike
		_, _ = d.WriteString(s) // a hash takes whatever it is given
	}
	_, _ = d.Write(c.Body)
	return Hash(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

// String returns the hash as logs show it.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }
