package front

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that share messages share the parts of their prompts, except the last message, and only for the same workload.
func TestPartHashes(t *testing.T) {
	a := partHashes("m", []string{"system: s\n", "user: document\n", "user: question\n"})
	b := partHashes("m", []string{"system: t\n", "user: document\n", "user: another question\n"})
	require.Len(t, a, 2)
	require.NotEqual(t, a[0], b[0])
	require.Equal(t, a[1], b[1])
	require.NotEqual(t, a[1], partHashes("n", []string{"user: document\n", "user: question\n"})[0])
	require.Empty(t, partHashes("m", []string{"user: document\n"}))
}
