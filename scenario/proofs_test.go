package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every cell of the table in docs/PROOFS.md names an existing script or says that nothing proves it,
// and the page names every script.
func TestProofsPageMatchesScripts(t *testing.T) {
	b, err := os.ReadFile("../docs/PROOFS.md")
	require.NoError(t, err)
	exists := map[string]bool{}
	fs, err := filepath.Glob("testdata/quick/*.txtar")
	require.NoError(t, err)
	for _, f := range fs {
		n := strings.TrimSuffix(filepath.Base(f), ".txtar")
		exists[n] = true
		require.Contains(t, string(b), n)
	}
	rows := regexp.MustCompile(`(?m)^\| [1-7] [^|]+\|([^|]+)\|([^|]+)\|([^|]+)\|([^|]+)\|([^|]+)\|$`).FindAllStringSubmatch(string(b), -1)
	require.Len(t, rows, 7)
	for _, r := range rows {
		for _, cell := range r[1:] {
			n := strings.TrimSpace(cell)
			require.True(t, exists[n] || strings.HasPrefix(n, "not proved: "), "%q in %q", n, r[0])
		}
	}
}
