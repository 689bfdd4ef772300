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
		time.Sleep(6 * time.Second)
		s.ConfirmView(19, 7, 0)
		require.Greater(t, s.ViewAge(), 5*time.Second, "nor these records")
		require.Zero(t, s.ConfigAge(), "but this configuration")
	})
}

// A box knows for how long it has lacked what others announced, of the configuration and of the records.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstate.New(source, nil, zerolog.Nop())
		install := func(v int) { require.NoError(t, s.Install(fmt.Appendf(nil, `{"Version":%d}`, v), "another box")) }
		install(1)
		s.Announce(2, 7)
		time.Sleep(time.Second)
		require.Equal(t, []time.Duration{time.Second, time.Second}, []time.Duration{s.ConfigLag(), s.RecordsLag()})
		install(2)
		require.Equal(t, []time.Duration{0, time.Second}, []time.Duration{s.ConfigLag(), s.RecordsLag()})
		s.Merge(fleetstate.Records{To: 7})
		require.Zero(t, s.RecordsLag())
		s.Announce(9, 9)
		time.Sleep(time.Second)
		s.ConfirmView(2, 7, 0)
		require.Zero(t, s.ConfigLag()+s.RecordsLag(), "a later confirmation counts for more than an announcement")
	})
}
