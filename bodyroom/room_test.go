package bodyroom_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/bodyroom"
)

func ExampleRoom() {
	m := bodyroom.New(100, 0)
	b, release, err := m.Read(strings.NewReader("a body"), 60)
	fmt.Println(string(b), err)
	_, _, err = m.Read(strings.NewReader("another"), 60)
	fmt.Println(err)
	release()
	_, _, err = m.Read(strings.NewReader("another"), 60)
	fmt.Println(err)
	// Output:
	// a body <nil>
	// too many request bodies are held at this box
	// <nil>
}

// Bodies of all sizes arrive whole in any pieces, and one of the largest size needs half as much again while it grows.
func TestSizes(t *testing.T) {
	for _, n := range []int{0, 1, 4<<10 - 1, 4 << 10, 4<<10 + 1, 64 << 10, 100_000, 1 << 20} {
		for _, limit := range []int{n, 1 << 20} {
			in := bytes.Repeat([]byte{'x'}, n)
			for _, r := range []io.Reader{bytes.NewReader(in), iotest.HalfReader(bytes.NewReader(in)), iotest.DataErrReader(bytes.NewReader(in))} {
				m := bodyroom.New(3<<19, 0)
				b, release, err := m.Read(r, limit)
				require.NoError(t, err)
				require.True(t, bytes.Equal(in, b))
				release()
				_, _, err = m.Read(bytes.NewReader(make([]byte, 1<<20)), 1<<20)
				require.NoError(t, err)
			}
		}
	}
}

// A body that breaks off is an error, and its room is returned; small bodies have the reserve when there is no other room.
func TestErrors(t *testing.T) {
	m := bodyroom.New(64<<10, 128<<10)
	cut := errors.New("cut")
	_, _, err := m.Read(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(cut)), 64<<10)
	require.ErrorIs(t, err, cut)
	_, held, err := m.Read(bytes.NewReader(make([]byte, 32<<10)), 32<<10)
	require.NoError(t, err)
	defer held()
	_, _, err = m.Read(bytes.NewReader(make([]byte, 1<<20)), 1<<20)
	require.ErrorIs(t, err, bodyroom.ErrFull)
	_, release, err := m.Read(bytes.NewReader(make([]byte, 40<<10)), 40<<10)
	require.NoError(t, err)
	release()
}
