// Package kv speaks the platform's key-value service's published protocol, and
// keeps the calls of one box within a budget.
package kv

import "time"

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// Entry is one key's value. Rev is zero for a key that does not exist. With a
// TTL the key is a lease: it vanishes unless it is written again in time.
type Entry struct {
	Key   string        `json:"key"`
	Rev   uint64        `json:"rev"`
	Value []byte        `json:"value,omitempty"`
	TTL   time.Duration `json:"ttl,omitempty"`
}
