// Package script reads the scripts of tests from files.
package script

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Script is a sequence of commands.
type Script struct {
	Name  string
	Lines []string
}

// Read returns the scripts in a file. Each begins with a line "# NAME"; empty lines are left out.
func Read(t testing.TB, path string) []Script {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	var out []Script
	s := bufio.NewScanner(f)
	for s.Scan() {
		line := s.Text()
		if name, ok := strings.CutPrefix(line, "# "); ok {
			out = append(out, Script{Name: name})
			continue
		}
		if line != "" {
			require.NotEmpty(t, out, "a command before the first name")
			last := &out[len(out)-1]
			last.Lines = append(last.Lines, line)
		}
	}
	require.NoError(t, s.Err())
	require.NotEmpty(t, out, path)
	return out
}
