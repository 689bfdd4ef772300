package lag_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/lag"
	"birchlink.dev/birchlink/stand/script"
)

func Example() {
	var l lag.Lag
	l.Reach(3)
	l.Announce(4)
	fmt.Println(l.Get() > 0)
	l.Reach(4)
	fmt.Println(l.Get() > 0)
	// Output:
	// true
	// false
}

// Each line of a script is a command, or the lag that is expected.
func TestScripts(t *testing.T) {
	for _, x := range script.Read(t, "testdata/scripts.txt") {
		t.Run(x.Name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { play(t, x.Lines) }) })
	}
}

func play(t *testing.T, lines []string) {
	t.Helper()
	var l lag.Lag
	for i, line := range lines {
		w := strings.Fields(line)
		var n uint64
		var d time.Duration
		var err error
		switch w[0] {
		case "announce", "reach":
			_, err = fmt.Sscan(w[1], &n)
		default:
			d, err = time.ParseDuration(w[1])
		}
		require.NoError(t, err, line)
		switch w[0] {
		case "announce":
			l.Announce(n)
		case "reach":
			l.Reach(n)
		case "confirm":
			l.Confirm(boottime.Now().Add(-d))
		case "wait":
			time.Sleep(d)
		case "lag":
			require.Equal(t, d, l.Get(), "line %d", i+1)
		default:
			t.Fatal("unknown command", line)
		}
	}
}

// However many versions are announced, their memory is bounded and the lag is that of the oldest one.
func TestManyVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lag.Lag
		for v := range uint64(1000) {
			l.Announce(v + 1)
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, time.Second, l.Get())
		l.Reach(999)
		require.Positive(t, l.Get())
		l.Reach(1000)
		require.Zero(t, l.Get())
	})
}
