package bytebudget_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/bytebudget"
)

func ExampleBudget() {
	var b bytebudget.Budget
	dropped := func() { fmt.Println("dropped") }
	fmt.Println(b.Hold("first", "endpoint", 20<<20, dropped))
	fmt.Println(b.Hold("second", "endpoint", 16<<20, dropped))
	fmt.Println(b.Hold("second", "endpoint", 40<<20, dropped))
	b.Release("second")
	// Output:
	// <nil>
	// dropped
	// <nil>
	// the endpoint's answers hold too many bytes
}

// TestHolds plays the cases in testdata.
func TestHolds(t *testing.T) {
	f, err := os.Open("testdata/holds.txt")
	require.NoError(t, err)
	defer f.Close()
	var b *bytebudget.Budget
	r := bufio.NewScanner(f)
	for n := 1; r.Scan(); n++ {
		words := strings.Fields(r.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		at := "line " + strconv.Itoa(n)
		switch words[0] {
		case "case":
			b = &bytebudget.Budget{}
		case "hold":
			require.Equal(t, words[4], hold(t, b, words), at)
		case "settle":
			b.Settle(words[1])
		case "release":
			b.Release(words[1])
		case "total":
			require.Equal(t, words[1], strconv.Itoa(b.Total()>>20), at)
		default:
			t.Fatalf("%s: no step %q", at, words[0])
		}
	}
	require.NoError(t, r.Err())
}

// drops has the answer that was dropped last.
var drops string

func hold(t *testing.T, b *bytebudget.Budget, words []string) string {
	t.Helper()
	n, err := strconv.Atoi(words[3])
	require.NoError(t, err)
	drops = "ok"
	err = b.Hold(words[1], words[2], n<<20, func() { drops = words[1] })
	if errors.Is(err, bytebudget.ErrFull) {
		return "full"
	}
	require.NoError(t, err)
	return drops
}
