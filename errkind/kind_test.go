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
	"birchlink.dev/birchlink/httpstatus"
)

func ExampleOf() {
	err := fmt.Errorf("while routing: %w", errkind.New(errkind.NoEndpoint, "nothing has %s", "m@1"))
	e := errkind.Of(err)
	fmt.Println(e.Kind, e.Kind.Response().Status, e.Kind.Response().Run)
	// Output: no_endpoint 503 not_run
}

// docs/API.md lists each kind that callers can receive, with its status, its run state and whether a
// retry is useful.
func TestKindsAreDocumented(t *testing.T) {
	b, err := os.ReadFile("../docs/API.md")
	require.NoError(t, err)
	internalOnly := map[errkind.Kind]bool{errkind.CallerGone: true, errkind.ConfigConflict: true, errkind.ConfigInvalid: true}
	for _, k := range errkind.All() {
		if internalOnly[k] {
			continue
		}
		resp := k.Response()
		retry := "-"
		if resp.Retry {
			retry = "yes"
		}
		row := fmt.Sprintf("(?m)^\\|[^|]*`%s`[^|]*\\| %d \\| %s \\| %s \\|", resp.Name, resp.Status, resp.Run, retry)
		require.Regexp(t, regexp.MustCompile(row), string(b))
	}
}

// The status of each kind, and of one that is not defined, is that of an error.
func TestStatuses(t *testing.T) {
	for _, k := range append(errkind.All(), -1, errkind.Kind(len(errkind.All()))) {
		require.GreaterOrEqual(t, k.Response().Status, http.StatusBadRequest, k)
		require.NoError(t, httpstatus.Check(k.Response().Status), k)
	}
}

// Of never maps an error without a kind to a kind that states that the request did not run, because
// it may have run.
func TestOf(t *testing.T) {
	require.Equal(t, errkind.DeadlinePassed, errkind.Of(context.DeadlineExceeded).Kind)
	require.Equal(t, errkind.CallerGone, errkind.Of(context.Canceled).Kind)
	require.Equal(t, errkind.Internal, errkind.Of(errors.New("x")).Kind)
	for _, err := range []error{context.DeadlineExceeded, context.Canceled, errors.New("x")} {
		require.NotEqual(t, errkind.NotRun, errkind.Of(err).Kind.Response().Run)
	}
	require.Equal(t, http.StatusInternalServerError, errkind.Kind(-1).Response().Status)
}
