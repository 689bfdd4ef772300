package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
)

// Guards against heads without end, which take 10 MB each by default.
func TestHeadWithoutEnd(t *testing.T) {
	const target = 2 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := []byte("X: " + strings.Repeat("y", 1<<10) + "\r\n")
		for err == nil {
			_, err = c.Write(line)
		}
	}))
	defer s.Close()
	c := engine.NewClient("entry-1")
	defer c.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := c.Generate(t.Context(), s.Listener.Addr().String(), engine.Request{})
	require.Error(t, err)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
}
