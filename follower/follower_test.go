package follower_test

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/follower"
)

// Whatever versions arrive, in whatever order and as often as they like, the
// one in force never goes back, and every change of it is told once.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := follower.New(zerolog.Nop())
		var told []uint64
		f.OnChange(func(d *config.Document) { told = append(told, d.Version) })
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			usable := rapid.IntRange(0, 4).Draw(t, "usable") > 0
			text := fmt.Sprintf("[model \"m\"]\nversions = %d\n", v)
			if !usable {
				text = "[model \"m\"]\n"
			}
			require.Equal(t, usable && v > highest, f.Install(follower.Revision{Version: v, Text: text}))
			if usable {
				highest = max(highest, v)
			}
			require.Equal(t, highest, f.Revision().Version)
		}
		for i := 1; i < len(told); i++ {
			require.Greater(t, told[i], told[i-1])
		}
	})
}
