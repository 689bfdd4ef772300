package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/settings"
)

// Every mistake in a file is reported, not only the first one.
func TestMistakes(t *testing.T) {
	fs, err := filepath.Glob("testdata/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, fs)
	for _, f := range fs {
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, err := settings.Load(f)
			require.Error(t, err)
			want, e := os.ReadFile(strings.TrimSuffix(f, ".ini") + ".golden")
			require.NoError(t, e)
			require.Equal(t, strings.TrimSpace(string(want)), err.Error())
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, n := range []string{"five", "more"} {
		b, err := os.ReadFile("testdata/" + n + ".ini")
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte("[box"))
	f.Add([]byte("[box]\nname"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse(text)
		if err == nil {
			require.NotEmpty(t, s.Box)
			require.NotEmpty(t, s.OperatorKey)
		}
	})
}
