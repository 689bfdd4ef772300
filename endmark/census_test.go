package endmark_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/endmark"
)

func ExampleCensus() {
	var c endmark.Census
	done := endmark.HashOf([]byte("data: [DONE]\n\n"))
	for i := range 16 {
		c.Record("chat", strconv.Itoa(i%2), done)
	}
	fmt.Println(c.Lacks("chat", "r1", endmark.HashOf([]byte("data: He\n\n"))), c.Lacks("chat", "r2", done))
	// Output: true false
}

func record(c *endmark.Census, answers, endpoints int, last string) {
	for i := range answers {
		c.Record("s", strconv.Itoa(i%endpoints), endmark.HashOf([]byte(last)))
	}
}

// The IDs of marks differ, as all events of a stream have one.
func TestIDsHideMarks(t *testing.T) {
	require.Equal(t, endmark.HashOf([]byte("id: 7\ndata: end\n\n")), endmark.HashOf([]byte("id: 9\ndata: end\n\n")))
	require.NotEqual(t, endmark.HashOf([]byte("data: end\n\n")), endmark.HashOf([]byte("data: ends\n\n")))
}

// Whole answers are refused if a mark is presumed that the service doesn't have, or no longer has.
func TestMarksArePresumed(t *testing.T) {
	other := endmark.HashOf([]byte("data: other\n\n"))
	var few, one, mixed, changed endmark.Census
	record(&few, 15, 2, "data: end\n\n")
	require.False(t, few.Lacks("s", "r1", other))
	record(&one, 100, 1, "data: end\n\n") // one endpoint may cut all of its answers at the same event
	require.False(t, one.Lacks("s", "r2", other))
	record(&mixed, 100, 2, "data: end\n\n")
	require.True(t, mixed.Lacks("s", "r3", other))
	require.False(t, mixed.Lacks("another service", "r4", other))
	record(&mixed, 1, 1, "data: other\n\n") // a second mark
	require.False(t, mixed.Lacks("s", "r5", other))
	require.True(t, mixed.Lacks("s", "r6", endmark.HashOf([]byte("data: third\n\n"))))
	record(&mixed, 1, 1, "data: fourth\n\n")
	require.False(t, mixed.Lacks("s", "r7", endmark.HashOf([]byte("data: fifth\n\n"))))
	record(&changed, 16, 2, "data: end\n\n")
	for i := range 8 {
		require.True(t, changed.Lacks("s", "r8", uint64(i)))
	}
	require.False(t, changed.Lacks("s", "r9", 8))
	require.False(t, changed.Lacks("s", "r10", 9))
}

// Sound streams that end with one of two events are refused for good if those with the other one are more frequent.
func TestSecondMarkIsNeverLearnt(t *testing.T) {
	var c endmark.Census
	record(&c, 16, 2, "data: [DONE]\n\n")
	lacking := 0
	for i := range 100 {
		if c.Lacks("s", strconv.Itoa(i), endmark.HashOf([]byte("event: limit\ndata: {}\n\n"))) {
			lacking++
		}
		record(&c, 9, 2, "data: [DONE]\n\n")
	}
	require.Less(t, lacking, 100)
}

// A cut answer that is sent again, by another endpoint after its last event, looks like a mark.
func TestRepeatedEventLooksLikeMark(t *testing.T) {
	var c endmark.Census
	record(&c, 16, 2, "data: [DONE]\n\n")
	for range 3 {
		require.True(t, c.Lacks("s", "r1", 7))
	}
	require.False(t, c.Lacks("s", "r2", 7))
}
