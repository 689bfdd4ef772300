package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against answers of other locations that are taken for an accepted configuration, and against the key being sent there.
func TestRedirects(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config")
	require.NoError(t, os.WriteFile(file, []byte("[x]"), 0o600))
	for _, status := range statustest.Redirects {
		s := statustest.NewRedirector(t, status, "{}")
		calls := []arguments{
			{Put: &putArguments{File: file}},
			{Check: &fileArguments{File: file}},
			{Show: &struct{}{}},
			{Status: &struct{}{}},
			{Explain: &explainArguments{Subject: "placement"}},
		}
		for _, a := range calls {
			a.Address, a.Key = s.Address, "key"
			require.Error(t, run(a), status)
		}
		require.EqualValues(t, len(calls), s.Requests.Load(), status)
	}
}
