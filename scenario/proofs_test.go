package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every cell of the table names a script that is there, and every script is
// named on the page.
func TestTableOfProofs(t *testing.T) {
	b, err := os.ReadFile("../docs/PROOFS.md")
	require.NoError(t, err)
	there := map[string]bool{}
	fs, err := filepath.Glob("testdata/quick/*.txtar")
	require.NoError(t, err)
	for _, f := range fs {
		n := strings.TrimSuffix(filepath.Base(f), ".txtar")
		there[n] = true
		require.Contains(t, string(b), n)
	}
	rows := regexp.MustCompile(`(?m)^\| [1-7] [^|]+\|([^|]+)\|([^|]+)\|([^|]+)\|([^|]+)\|([^|]+)\|$`).FindAllStringSubmatch(string(b), -1)
	require.Len(t, rows, 7)
	for _, r := range rows {
		for _, cell := range r[1:] {
			n := strings.TrimSpace(cell)
			require.True(t, there[n] || strings.HasPrefix(n, "not proved: "), "%q in %q", n, r[0])
		}
	}
}
