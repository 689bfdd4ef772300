package configsync_test

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/configsync"
)

// The installed version never decreases, whatever the order and number of the versions received, and
// hooks are called once for each change.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := configsync.New(zerolog.Nop())
		var notified []uint64
		f.OnChange(func(d *config.Document) { notified = append(notified, d.Version) })
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			valid := rapid.IntRange(0, 4).Draw(t, "usable") > 0
			text := fmt.Sprintf("[model \"m\"]\nversions = %d\n", v)
			if !valid {
				text = "[model \"m\"]\n"
			}
			require.Equal(t, valid && v > highest, f.Install(configsync.Revision{Version: v, Text: text}))
			if valid {
				highest = max(highest, v)
			}
			require.Equal(t, highest, f.Revision().Version)
		}
		for i := 1; i < len(notified); i++ {
			require.Greater(t, notified[i], notified[i-1])
		}
	})
}
