package viewage_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/viewage"
)

func Example() {
	a := viewage.New()
	a.Confirm(boottime.Now().Add(-time.Hour)) // older than what is known
	fmt.Println(a.Get() < time.Minute)
	// Output: true
}

func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := viewage.New()
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, a.Get())
		require.False(t, a.IsConfirmed())
		a.Confirm(boottime.Now().Add(-time.Second))
		require.True(t, a.IsConfirmed())
		require.Equal(t, time.Second, a.Get())
		a.Confirm(boottime.Now().Add(-2 * time.Second))
		require.Equal(t, time.Second, a.Get())
	})
}

// A copy is as old as what was confirmed, also if it began later.
func TestConfirmedAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := viewage.New()
		_, isConfirmed := a.Confirmed()
		require.False(t, isConfirmed)
		a.Confirm(boottime.Now().Add(-time.Hour))
		age, isConfirmed := a.Confirmed()
		require.True(t, isConfirmed)
		require.Equal(t, time.Hour, age)
	})
}
