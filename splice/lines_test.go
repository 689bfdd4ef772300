package splice_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/splice"
)

// Tests the verdict on any line of the current attempt, after any lines and from any token on.
func TestVerdictFollowsFromIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := splice.Splicer{RequestID: "r", Attempt: 1, MaxTokens: 8, Next: rapid.IntRange(0, 8).Draw(t, "next")}
		for range rapid.IntRange(1, 60).Draw(t, "lines") {
			l := engine.Line{
				RequestID: "r", Attempt: 1,
				Index:  s.Next + rapid.IntRange(-9, 2).Draw(t, "step"),
				Token:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "token"),
				End:    rapid.Bool().Draw(t, "end"),
				Reason: rapid.SampledFrom([]string{"stop", "cancelled", ""}).Draw(t, "reason"),
			}
			var want splice.Verdict
			switch {
			case l.Index < s.Next:
				want = splice.Dropped
			case l.Index > s.Next, !l.End && s.Next == s.MaxTokens:
				want = splice.Gap
			case !l.End:
				want = splice.Accepted
			case l.Reason == "stop":
				want = splice.Complete
			default:
				want = splice.Halted
			}
			require.Equal(t, want, s.Accept(l))
		}
	})
}

// Tests that an attempt that is read again after a gap, and repeats its tokens, completes the response.
func TestAttemptIsReadAgain(t *testing.T) {
	s := splice.Splicer{RequestID: "r", Attempt: 1, MaxTokens: 100, Next: 50}
	line := engine.Line{RequestID: "r", Attempt: 1, Index: 51}
	require.Equal(t, splice.Gap, s.Accept(line))
	for line.Index = range 50 {
		require.Equal(t, splice.Dropped, s.Accept(line))
	}
	line.Index, line.End, line.Reason = 50, true, "stop"
	require.Equal(t, splice.Complete, s.Accept(line))
}

// Tests that a copy of a splicer judges a line without an effect on the splicer.
func TestCopyIsIndependent(t *testing.T) {
	s := splice.Splicer{RequestID: "r", Attempt: 1, MaxTokens: 2}
	line := engine.Line{RequestID: "r", Attempt: 2}
	c := s
	c.StartAttempt(2)
	require.Equal(t, splice.Accepted, c.Accept(line))
	require.Equal(t, splice.Dropped, s.Accept(line))
	line.Attempt = 1
	require.Equal(t, splice.Accepted, s.Accept(line))
}
