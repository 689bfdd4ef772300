package fleetstate_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/fleetstate"
)

// A box that gets changes from others knows how old its view is, also while these have newer versions each time it hears of them.
func TestViewAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstate.New(source, nil, zerolog.Nop())
		install := func(v int) { require.NoError(t, s.Install(fmt.Appendf(nil, `{"Version":%d}`, v), "another box")) }
		install(1)
		time.Sleep(10 * time.Second)
		require.Equal(t, 10*time.Second, s.ViewAge())
		s.ConfirmView(1, 0, time.Second)
		require.Equal(t, time.Second, s.ViewAge())
		for v := 2; v < 20; v++ {
			s.ConfirmView(uint64(v), 0, time.Second)
			time.Sleep(time.Second)
			install(v)
			require.LessOrEqual(t, s.ViewAge(), 4*time.Second)
		}
		time.Sleep(5 * time.Second)
		s.ConfirmView(30, 0, 0)
		require.Greater(t, s.ViewAge(), 5*time.Second, "this box doesn't have what was confirmed")
		s.ConfirmView(19, 7, 0)
		require.Greater(t, s.ViewAge(), 5*time.Second, "nor these records")
	})
}
