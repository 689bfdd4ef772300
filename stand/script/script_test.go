package script_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/script"
)

func TestRead(t *testing.T) {
	require.Equal(t, []script.Script{{Name: "first one", Lines: []string{"a 1", "b"}}, {Name: "second", Lines: []string{"c"}}}, script.Read(t, "testdata/two.txt"))
}
