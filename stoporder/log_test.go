package stoporder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stoporder"
)

func ExampleLog() {
	var l stoporder.Log
	first, second := l.Send("a@1"), l.Send("a@1")
	l.Answer("a@1", second, "no_run")
	fmt.Println(first, second)
	fmt.Println(l.Answers("a@1"))
	fmt.Println(l.Answers("a@2"))
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
