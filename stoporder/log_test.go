package stoporder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stoporder"
)

func ExampleLog() {
	var l stoporder.Log
	first, second := l.Send("a"), l.Send("a")
	l.Answer("a", second, "no_run")
	fmt.Println(first, second)
	fmt.Println(l.Answers("a"))
	fmt.Println(l.Answers("b"))
	// Output:
	// 1 2
	// [unanswered no_run] 2
	// [] 0
}

func TestLogIsBounded(t *testing.T) {
	var l stoporder.Log
	for range 100 {
		l.Answer("a", l.Send("a"), "under_way")
	}
	answers, sent := l.Answers("a")
	require.Len(t, answers, 16)
	require.Equal(t, 100, sent)
}

func TestIsNoRun(t *testing.T) {
	var l stoporder.Log
	require.False(t, l.IsNoRun("a", 0), "no order was sent")
	n := l.Send("a")
	require.False(t, l.IsNoRun("a", 0), "it has no answer")
	l.Answer("a", n, "no_run")
	require.True(t, l.IsNoRun("a", 0))
	require.False(t, l.IsNoRun("b", 0))
	l.Answer("a", l.Send("a"), "no_run")
	require.False(t, l.IsNoRun("a", 0), "the first one may have stopped the run")
	require.True(t, l.IsNoRun("a", 1))
}

func TestMayStop(t *testing.T) {
	var l stoporder.Log
	require.False(t, l.MayStop("a"))
	first, second := l.Send("a"), l.Send("a")
	l.Answer("a", second, "copied")
	require.True(t, l.MayStop("a"), "the first order may be carried out late")
	require.False(t, l.MayStop("b"))
	l.Answer("a", first, stoporder.Unanswered)
	require.True(t, l.MayStop("a"))
	l.Answer("a", first, "failed")
	require.False(t, l.MayStop("a"))
}
