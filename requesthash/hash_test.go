package requesthash_test

import (
	"strconv"
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

// The hash of a part depends on the service and its ID alone. The last part has none, and of too many parts the last ones have.
func TestPartsOf(t *testing.T) {
	c := &call.Call{Parts: []call.Part{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 2}, {ID: "c", Tokens: 3}}}
	a, b := requesthash.PartOf("s", "a"), requesthash.PartOf("s", "b")
	require.Equal(t, []requesthash.Hash{a, b}, requesthash.PartsOf("s", c))
	require.NotEqual(t, a, b)
	require.NotEqual(t, a, requesthash.PartOf("t", "a"))
	require.NotEqual(t, requesthash.PartOf("s", "ta"), requesthash.PartOf("st", "a"))
	require.Empty(t, requesthash.PartsOf("s", &call.Call{Parts: c.Parts[:1]}))
	require.Empty(t, requesthash.PartsOf("s", &call.Call{}))

	many := &call.Call{}
	for i := range requesthash.MaxParts + 3 {
		many.Parts = append(many.Parts, call.Part{ID: strconv.Itoa(i)})
	}
	hs := requesthash.PartsOf("s", many)
	require.Len(t, hs, requesthash.MaxParts)
	require.Equal(t, requesthash.PartOf("s", "2"), hs[0])
}
