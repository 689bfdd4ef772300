package errkind_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
)

func ExampleOf() {
	err := fmt.Errorf("while routing: %w", errkind.New(errkind.NoEndpoint, "nothing has %s", "m@1"))
	e := errkind.Of(err)
	fmt.Println(e.Kind, e.Kind.Answer().Status, e.Kind.Answer().Run)
	// Output: no_endpoint 503 not_run
}

// The page for callers has each kind that they can meet, with the status and
// the run of the table, and no other.
func TestPageHasTheTable(t *testing.T) {
	b, err := os.ReadFile("../docs/API.md")
	require.NoError(t, err)
	own := map[errkind.Kind]bool{errkind.CallerGone: true, errkind.ConfigConflict: true, errkind.ConfigInvalid: true}
	for _, k := range errkind.All() {
		if own[k] {
			continue
		}
		a := k.Answer()
		retry := "-"
		if a.Retry {
			retry = "yes"
		}
		row := fmt.Sprintf("(?m)^\\|[^|]*`%s`[^|]*\\| %d \\| %s \\| %s \\|", a.Name, a.Status, a.Run, retry)
		require.Regexp(t, regexp.MustCompile(row), string(b))
	}
}

// A kind that says "not run" never comes of an error that may mean a run.
func TestOf(t *testing.T) {
	require.Equal(t, errkind.DeadlinePassed, errkind.Of(context.DeadlineExceeded).Kind)
	require.Equal(t, errkind.CallerGone, errkind.Of(context.Canceled).Kind)
	require.Equal(t, errkind.Internal, errkind.Of(errors.New("x")).Kind)
	for _, err := range []error{context.DeadlineExceeded, context.Canceled, errors.New("x")} {
		require.NotEqual(t, errkind.NotRun, errkind.Of(err).Kind.Answer().Run)
	}
	require.Equal(t, http.StatusInternalServerError, errkind.Kind(-1).Answer().Status)
}
