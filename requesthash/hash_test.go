package requesthash_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/requesthash"
)

// The hash depends on the content and the account, and not on the request's ID, the caller's timeout,
// the last event or the key.
func TestHashOf(t *testing.T) {
	base := call.Call{ID: "1", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body"), Timeout: 1}
	same := base
	same.ID, same.Timeout, same.LastEventID, same.Key = "2", 2, "7", "another key of the account"
	require.Equal(t, requesthash.HashOf("a", &base), requesthash.HashOf("a", &same))

	seen := map[requesthash.Hash]bool{requesthash.HashOf("a", &base): true}
	for _, change := range []func(c *call.Call){
		func(c *call.Call) { c.Method = "PUT" },
		func(c *call.Call) { c.Host = "i" },
		func(c *call.Call) { c.Target = "/a?c" },
		func(c *call.Call) { c.Body = []byte("bodx") },
		func(c *call.Call) { c.Body = nil },
		func(c *call.Call) { c.Host, c.Target = "h/", "a?b" },
	} {
		other := base
		change(&other)
		h := requesthash.HashOf("a", &other)
		require.False(t, seen[h])
		seen[h] = true
	}
	require.False(t, seen[requesthash.HashOf("b", &base)])
}
