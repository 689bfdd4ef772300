package sse_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/sse"
)

func ExampleReader() {
	r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid:2\ndata: b\n\n"))
	for {
		e, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %q\n", e.ID, e.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id:2\ndata: b\n\n"
	// EOF
}

func TestTruncatedEvent(t *testing.T) {
	r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	_, err := r.Next()
	require.NoError(t, err)
	_, err = r.Next()
	require.ErrorIs(t, err, sse.ErrTruncated)
}

func TestLongLinesAndCRLF(t *testing.T) {
	long := strings.Repeat("x", 20000)
	r := sse.NewReader(strings.NewReader("x-versions: 3\r\nid: 7\r\ndata: " + long + "\r\n\r\n"))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "7", e.ID)
	require.True(t, strings.HasSuffix(string(e.Raw), long+"\r\n\r\n"))
	_, err = r.Next()
	require.True(t, errors.Is(err, io.EOF))
}

func TestOversizedEvent(t *testing.T) {
	r := sse.NewReader(strings.NewReader(strings.Repeat("data: x\n", 1<<18)))
	_, err := r.Next()
	require.ErrorContains(t, err, "over")
}

// Tests that an event counts with its copy while it grows, is given up if it can't be held, and counts no more once the
// next one is read.
func TestEventsHoldBytes(t *testing.T) {
	small, large := "data: x\n\n", "data: "+strings.Repeat("x", 100<<10)+"\n\n"
	var held []int
	r := sse.NewReader(strings.NewReader(small + large + small + small))
	r.Hold = func(n int) error {
		held = append(held, n)
		return nil
	}
	for range 4 {
		_, err := r.Next()
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, slices.Max(held), len(large))
	require.Less(t, slices.Max(held), 4*len(large))
	require.Zero(t, held[len(held)-1])
	require.Equal(t, 1, len(held)-len(slices.DeleteFunc(slices.Clone(held), func(n int) bool { return n == 0 })))

	full := errors.New("full")
	r = sse.NewReader(strings.NewReader(large))
	r.Hold = func(n int) error {
		if n > 64<<10 {
			return full
		}
		return nil
	}
	_, err := r.Next()
	require.ErrorIs(t, err, full)
}

// Tests that a part of a line that is longer than the buffer is not taken for a line.
func TestLineAtBufferEnd(t *testing.T) {
	for _, end := range []string{"", "id: 2"} {
		event := "id: 1\ndata: " + strings.Repeat("x", 4096-len("data: ")) + end + "\ndata: y\n\n"
		e, err := sse.NewReader(strings.NewReader(event)).Next()
		require.NoError(t, err)
		require.Len(t, e.Raw, len(event))
		require.Equal(t, "1", e.ID)
	}
}

// Tests that a stream which has no field in 64 KB of empty lines or comments breaks, and that comments between
// events do not count together.
func TestEventsWithoutFields(t *testing.T) {
	for _, unit := range []string{"\n", "\r\n", ": y\n\n", ":\r\n\r\n"} {
		r := sse.NewReader(strings.NewReader(strings.Repeat(unit, 128<<10/len(unit))))
		n := 0
		var err error
		for err == nil {
			var e sse.Event
			e, err = r.Next()
			n += len(e.Raw)
		}
		require.ErrorContains(t, err, "without")
		require.LessOrEqual(t, n, 64<<10)

		r = sse.NewReader(strings.NewReader(strings.Repeat(strings.Repeat(unit, 500)+"data: x\n\n", 4)))
		for err = nil; err == nil; {
			_, err = r.Next()
		}
		require.Equal(t, io.EOF, err)
	}
}

// Tests that an event without data is part of the answer only if it has an ID.
func TestContent(t *testing.T) {
	for text, want := range map[string]bool{
		"data: a\n\n": true, "\ufeffdata: a\n\n": true, "data\n\n": true, "id: 1\n\n": true, "id: 1\ndata: a\n\n": true, ": comment\ndata:\n\n": true,
		"\n": false, ": data: a\n\n": false, "retry: 1000\n\n": false, "event: ping\n\n": false, "database: a\n\n": false,
	} {
		e, err := sse.NewReader(strings.NewReader(text)).Next()
		require.NoError(t, err, text)
		require.Equal(t, want, e.IsContent(), text)
	}
}

func TestUnknownFields(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 1\nevent: a\nretry: 1\ndata: a\ndata\n\n": false, ": any: thing\n\n": false, "\n": false,
		"version: 2\ndata: a\n\n": true, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n": true, "ids: 1\n\n": true,
	} {
		e, err := sse.NewReader(strings.NewReader(text)).Next()
		require.NoError(t, err, text)
		require.Equal(t, want, e.HasUnknown, text)
	}
}
