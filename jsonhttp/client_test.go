package jsonhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/jsonhttp"
)

// Guards against heads without end, which take 10 MB each by default, and against bodies that are cut at the limit without a
// word.
func TestAnswersWithoutEnd(t *testing.T) {
	const target = 2 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			for range 5 {
				_, _ = io.WriteString(w, strings.Repeat(" ", 1<<20))
			}
			return
		}
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
	c := jsonhttp.New(strings.TrimPrefix(s.URL, "http://"), "test", time.Minute)
	var out any
	require.ErrorContains(t, c.Do(t.Context(), http.MethodGet, "/body", nil, &out), "over 4194304 bytes")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.Error(t, c.Do(t.Context(), http.MethodGet, "/head", nil, &out))
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(target))
}
