package compare_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/compare"
)

func runScript(t *testing.T, name, text string) string {
	s, err := compare.Read(name, strings.NewReader(text))
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, compare.Run(&b, s))
	return b.String()
}

// TestRunIsDeterministic checks that two runs of the same file print identical tables.
func TestRunIsDeterministic(t *testing.T) {
	t.Chdir("..")
	for _, n := range []string{"pamoja", "freight"} {
		b, err := os.ReadFile(filepath.Join("compare", "data", n+".txt"))
		require.NoError(t, err)
		first := runScript(t, n, string(b))
		require.Contains(t, first, "chosen")
		require.Equal(t, first, runScript(t, n, string(b)))
	}
}

// TestRunReportsLineOfMistake checks that the error for a mistake in a data file gives its line.
func TestRunReportsLineOfMistake(t *testing.T) {
	t.Chdir("..")
	for text, want := range map[string]string{
		"plaice":                                 "line 1: unknown command",
		"config nowhere.ini":                     "line 1: open nowhere.ini",
		"\nclass new slots=8 speed=fast cache=1": "line 2: class: speed is not a number",
		"price a new":                            "line 1: price DC CLASS",
		"notice":                                 "line 1: notice needs at least 1 arguments",
	} {
		s, err := compare.Read("x", strings.NewReader(text))
		require.NoError(t, err)
		require.ErrorContains(t, compare.Run(&bytes.Buffer{}, s), want)
	}
}
