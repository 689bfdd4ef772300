package splice_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/splice"
)

func ExampleSplicer_Accept() {
	s := splice.Splicer{RequestID: "r", Attempt: 2, MaxTokens: 2}
	fmt.Println(s.Accept(engine.Line{RequestID: "r", Attempt: 1, Token: "late "}) == splice.Dropped)
	fmt.Println(s.Accept(engine.Line{RequestID: "r", Attempt: 2, Token: "on "}) == splice.Accepted)
	fmt.Println(s.Accept(engine.Line{RequestID: "r", Attempt: 2, Index: 1, End: true, Reason: "stop"}) == splice.Complete)
	// Output:
	// true
	// true
	// true
}

// Tests that, for any sequence of lines, only the request's own tokens are accepted, each once and
// in order, and that an end mark counts only directly after the last of them.
func TestAcceptsTokensInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := splice.Splicer{RequestID: "r", Attempt: 1, MaxTokens: 20}
		for range rapid.IntRange(0, 200).Draw(t, "lines") {
			l := engine.Line{
				RequestID: rapid.SampledFrom([]string{"r", "r", "r", "x"}).Draw(t, "id"),
				Attempt:   rapid.IntRange(0, 3).Draw(t, "attempt"),
				Index:     rapid.IntRange(0, 22).Draw(t, "index"),
				End:       rapid.IntRange(0, 9).Draw(t, "end") == 0,
				Reason:    rapid.SampledFrom([]string{"stop", "cancelled", ""}).Draw(t, "reason"),
			}
			before := s.Next
			v := s.Accept(l)
			own := l.RequestID == "r" && l.Attempt == s.Attempt
			require.Equal(t, v == splice.Accepted, own && !l.End && l.Index == before && before < s.MaxTokens)
			if v == splice.Accepted {
				require.Equal(t, before+1, s.Next)
			} else {
				require.Equal(t, before, s.Next)
			}
			if v == splice.Complete {
				require.True(t, own && l.End && l.Index == s.Next && l.Reason == "stop")
			}
			if rapid.IntRange(0, 19).Draw(t, "again") == 0 {
				s.StartAttempt(s.Attempt + 1)
			}
		}
	})
}
