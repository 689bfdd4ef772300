package main

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

func hash(s string) uint64 {
	h := sha256.Sum256([]byte(s))
	return binary.BigEndian.Uint64(h[:]) >> 1
}

// plainBody returns the whole body of the answer to a request that is no stream: 800 bytes.
func plainBody(id string) string {
	line := "answer to " + id + "; "
	return strings.Repeat(line, 800/len(line)+1)[:800]
}

// streamEvents returns the number of events of a stream.
func streamEvents(path, id string) int {
	n := int(hash("events " + id))
	if strings.Contains(path, "commentary") {
		return 40 + n%78
	}
	return 8 + n%21
}

// streamEvent returns event k of a stream, from 1 on.
func streamEvent(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", k, id, k) }
