// Package kv implements a client of the platform's key-value service. The client limits the rate of
// a box's reads and writes and backs off while the service is unavailable.
package kv

import "time"

// MaxValue is the size of the largest value that the service accepts, in bytes.
const MaxValue = 1 << 20

// Entry is a key with its value. Rev is the revision of the value, or zero if the key does not exist.
// A key with a TTL is a lease: the service deletes it unless it is written again within the TTL.
type Entry struct {
	Key   string        `json:"key"`
	Rev   uint64        `json:"rev"`
	Value []byte        `json:"value,omitempty"`
	TTL   time.Duration `json:"ttl,omitempty"`
}
