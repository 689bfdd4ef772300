package soak_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/platform/standin"
	"birchlink.dev/birchlink/soak"
)

// The pieces of a slow request are the whole request, and take the time that was asked for.
func TestSlowPieces(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, d := range [][2]time.Duration{{}, {time.Second, 0}, {0, 3 * time.Second}, {time.Second, 3 * time.Second}} {
			q, err := standin.NewRequest("localhost:1", "/slow-once/x", "s-1-2-3", time.Second)
			require.NoError(t, err)
			pieces, took, err := soak.SlowPieces(q, chunked, d[0], d[1])
			require.NoError(t, err)
			require.Equal(t, d[0] > 0 || d[1] > 0, took > 0)
			require.InDelta(t, d[0]+d[1], took, float64(time.Second/4))
			got, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Join(pieces, ""))))
			require.NoError(t, err)
			require.Equal(t, chunked, len(got.TransferEncoding) > 0)
			require.Equal(t, "s-1-2-3", got.Header.Get("X-Request-Id"))
			b, err := io.ReadAll(got.Body)
			require.NoError(t, err)
			require.Equal(t, "body of s-1-2-3", string(b))
		}
	}
}
