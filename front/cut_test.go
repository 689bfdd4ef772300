package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/stream"
)

// Guards against responses of plain services that are cut, because the caller reads slowly, and look whole to callers of HTTP/1.0,
// to whom the end of a connection is the end of a response without a length.
func TestCutResponsesLookWhole(t *testing.T) {
	body := strings.Repeat("x", 64<<10)
	for _, c := range []struct {
		name, version string
		reads         bool // the caller, while the box writes
	}{
		{"HTTP/1.0, whole", "1.0", true},
		{"HTTP/1.1, whole", "1.1", true},
		{"HTTP/1.0, cut", "1.0", false},
		{"HTTP/1.1, cut", "1.1", false},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				l := oneConn{conns: make(chan net.Conn, 1)}
				l.conns <- far
				written := make(chan error, 1)
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					written <- writeResponse(w, &serviceproxy.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)})
				})}
				go func() { _ = s.Serve(l) }()
				defer func() {
					near.Close()
					close(l.conns)
					_ = s.Close()
				}()
				_, err := io.WriteString(near, "GET / HTTP/"+c.version+"\r\nHost: h\r\nConnection: close\r\n\r\n")
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(near), nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				if !c.reads {
					require.Equal(t, errkind.CallerGone, errkind.Of(<-written).Kind)
					_, err := io.ReadAll(resp.Body)
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
					return
				}
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, body, string(got))
				require.NoError(t, <-written)
			})
		})
	}
}

// Guards against streams that are broken off and end as whole ones do.
func TestBrokenStreamsEndAsWhole(t *testing.T) {
	const done, stop = "data: [DONE]", `"finish_reason":"stop"`
	for _, err := range []error{
		errkind.New(errkind.AnswerCut, "cut"), errkind.New(errkind.OutcomeUnknown, "broken"), &stream.MovedError{}, errClosing, context.Canceled,
	} {
		w := httptest.NewRecorder()
		o := newWriter(&session{w: w}, openai.ChatRequest{Stream: true}, "id")
		require.NoError(t, o.writeToken(0, "a"))
		require.NoError(t, o.finish(err))
		require.Contains(t, w.Body.String(), `data: {"error":`)
		require.NotContains(t, w.Body.String(), done)
		require.NotContains(t, w.Body.String(), stop)

		w = httptest.NewRecorder()
		require.Error(t, newWriter(&session{w: w}, openai.ChatRequest{Stream: true}, "id").finish(err))
		require.Empty(t, w.Body.String())
	}
	w := httptest.NewRecorder()
	o := newWriter(&session{w: w}, openai.ChatRequest{Stream: true}, "id")
	require.NoError(t, o.writeToken(0, "a"))
	require.NoError(t, o.finish(nil))
	require.Contains(t, w.Body.String(), stop)
	require.Contains(t, w.Body.String(), done)
}

// The length of a response that has no body is that of the service: for HEAD it is that of another response.
func TestLengthWithoutBody(t *testing.T) {
	for _, h := range []http.Header{{}, {"Content-Length": {"4"}}} {
		w := httptest.NewRecorder()
		require.NoError(t, writeResponse(w, &serviceproxy.Response{Status: http.StatusOK, Header: h}))
		require.Equal(t, h["Content-Length"], w.Header()["Content-Length"])
	}
}

// Guards against requests whose callers wait and that are answered as whole and empty, since their context was cancelled.
func TestCancelledRequestLooksWhole(t *testing.T) {
	f := New(Options{}, metrics.NewRegistry(), zerolog.Nop())
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { f.writeError(httptest.NewRecorder(), "id", context.Canceled) })
}
