package sequence_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"birchlink.dev/birchlink/eventid"
	"birchlink.dev/birchlink/sequence"
)

type answer = sequence.Answer[string, eventid.Decimal]

func newEvent(id, content string) sequence.Event[string] {
	return sequence.Event[string]{Number: id, HasNumber: id != "", Content: xxhash.Sum64String(id + "\n" + content)}
}

func ExampleRun_End() {
	var a answer
	r := a.Start(1)
	e := newEvent("1", "the only event")
	fmt.Println(r.Judge(e))
	r.Accept(e)
	fmt.Println(r.End(false))
	r = a.Start(2) // continues after 1
	fmt.Println(r.End(true))
	// Output:
	// accepted
	// broken
	// unproven_end
}

// Tests the answers in testdata.
func TestAnswers(t *testing.T) {
	f, err := os.Open("testdata/answers.txt")
	require.NoError(t, err)
	defer f.Close()
	a, name := answer{}, ""
	var r *sequence.Run[string, eventid.Decimal]
	var held []sequence.Event[string]
	runs := 0
	s := bufio.NewScanner(f)
	for n := 1; s.Scan(); n++ {
		w := strings.Fields(s.Text())
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		at := fmt.Sprintf("line %d, %s", n, name)
		last := w[len(w)-1]
		switch w[0] {
		case "case":
			a, name = answer{Counted: true}, strings.Join(w[1:], " ")
		case "after":
			a = sequence.StartAfter[string, eventid.Decimal](w[1])
			a.Counted = true
		case "counts":
			a.Counted = w[1] == "yes"
		case "presumed":
			a.Presumed = true
		case "sole":
			a.Sole = true
		case "run":
			runs++
			r, held = a.Start(runs), nil
		case "again":
			r = a.Start(runs)
		case "again_at_last":
			r = a.StartAtLast(runs)
		case "event":
			e := newEvent(strings.Trim(w[1], "-"), strings.Join(w[2:len(w)-1], " "))
			v := r.Judge(e)
			require.Equal(t, last, v.String(), at)
			if v == sequence.Accepted {
				r.Accept(e)
			}
			if v == sequence.Held || v == sequence.Uncounted {
				held = append(held, e)
			}
		case "allow":
			r.AllowGaps()
			for _, e := range held {
				require.Equal(t, sequence.Accepted, r.Judge(e), at)
				r.Accept(e)
			}
		case "end":
			require.Equal(t, last, r.End(w[1] == "stated").String(), at)
		case "endat":
			require.Equal(t, last, r.EndAt(w[1], w[2] == "stated").String(), at)
		default:
			require.Fail(t, "unknown step", at)
		}
	}
	require.NoError(t, s.Err())
}

// Tests that, whatever runs send, the events accepted of an answer that counts them are 1, 2, 3 and so on, each once, and that
// it is whole only if a run has stated its end directly after the last of them.
func TestAcceptsEventsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, last := answer{Counted: true}, 0
		for range rapid.IntRange(1, 4).Draw(t, "runs") {
			r, isLast, failed := a.Start(1), false, false
			for range rapid.IntRange(0, 30).Draw(t, "events") {
				n := max(1, last+rapid.IntRange(-3, 2).Draw(t, "step"))
				e := newEvent(fmt.Sprint(n), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content"))
				switch v := r.Judge(e); v {
				case sequence.Accepted:
					require.Equal(t, last+1, n)
					r.Accept(e)
					last, isLast = n, true
				case sequence.Dropped:
					require.LessOrEqual(t, n, last)
					isLast = n == last
				default:
					require.True(t, failed || (n > last) == (v == sequence.Gap))
					failed = true
				}
			}
			stated := rapid.Bool().Draw(t, "stated")
			require.Equal(t, stated && isLast && !failed, r.End(stated) == sequence.Complete)
		}
	})
}

// Tests that, whatever runs send, the events of an answer that may not be resumed are of one run.
func TestSoleRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, last, owner := answer{Sole: true}, 0, 0
		for range rapid.IntRange(1, 8).Draw(t, "parts") {
			id := rapid.IntRange(1, 3).Draw(t, "run")
			r := a.Start(id)
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				e := newEvent(fmt.Sprint(last+1), "")
				if owner != 0 && owner != id {
					require.Equal(t, sequence.Joined, r.Judge(e))
					require.NotEqual(t, sequence.Complete, r.End(true))
					continue
				}
				require.Equal(t, sequence.Accepted, r.Judge(e))
				r.Accept(e)
				last, owner = last+1, id
			}
		}
		require.Equal(t, min(last, 1), a.Runs())
	})
}

// Tests that no event of an answer that counts them is missed, if no run loses events before each of three in a row.
func TestGapsAreNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, last := answer{}, rapid.IntRange(0, 3).Draw(t, "from")
		if last > 0 {
			a = sequence.StartAfter[string, eventid.Decimal](fmt.Sprint(last))
		}
		a.Counted, a.Presumed = true, true
		for i := range rapid.IntRange(1, 6).Draw(t, "runs") {
			r, n, gaps := a.Start(i), last, 0
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				lost := rapid.IntRange(0, 2).Draw(t, "lost")
				if gaps++; lost == 0 || gaps == 3 {
					lost, gaps = 0, 0
				}
				n += 1 + lost
				e := newEvent(fmt.Sprint(n), "")
				v := r.Judge(e)
				require.NotEqual(t, sequence.Uncounted, v)
				if v == sequence.Accepted {
					require.Equal(t, last+1, n)
					r.Accept(e)
					last = n
				}
			}
			require.False(t, last != n && r.End(true) == sequence.Complete)
		}
	})
}

// Tests that a run whose events only repeat others is given up.
func TestRepeatsAreBounded(t *testing.T) {
	var a answer
	r, e := a.Start(1), newEvent("1", "x")
	r.Accept(e)
	n := 0
	for r.Judge(e) == sequence.Dropped {
		n++
		require.Less(t, n, 100)
	}
	require.Equal(t, sequence.Reversed, r.Judge(e))
}

// Tests after which event a run sends the last one again.
func TestPrevious(t *testing.T) {
	a := sequence.StartAfter[string, eventid.Decimal]("12")
	before, ok := a.Previous()
	require.Equal(t, []any{"11", true}, []any{before, ok})
	r := a.Start(1)
	r.Accept(newEvent("20", ""))
	before, ok = a.Previous()
	require.Equal(t, []any{"12", true}, []any{before, ok})
	r.Accept(newEvent("", "no number"))
	_, ok = a.Previous()
	require.False(t, ok)
	require.False(t, a.CanContinue())
	a = sequence.StartAfter[string, eventid.Decimal]("x")
	_, ok = a.Previous()
	require.False(t, ok)
	a = answer{}
	_, ok = a.Previous()
	require.False(t, ok)
	require.True(t, a.CanContinue())
}
