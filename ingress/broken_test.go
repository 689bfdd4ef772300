package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// events is the number of events of a whole stream of the tests.
const events = 200

// sendEvents sends a stream of events. Halfway it breaks off if kind is "broken", and holds the rest back if kind is "held".
func (b *box) sendEvents(w http.ResponseWriter, kind string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if kind == "broken" && i == events/2 {
			panic(http.ErrAbortHandler)
		}
		if kind == "held" && i == events/2 {
			<-b.release
		}
		fmt.Fprintf(w, "id: %d\ndata: text\n\n", i+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// ask sends a request in a version of HTTP for a path, and returns what the caller can read.
func ask(t *testing.T, address, version, path string) *bufio.Reader {
	t.Helper()
	n, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { n.Close() })
	_, err = fmt.Fprintf(n, "POST %s HTTP/%s\r\nHost: h\r\nId: 1\r\nKey: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	return bufio.NewReader(n)
}

// Guards against answers that break off and look whole to callers of HTTP/1.0, to whom the end of a connection is the end of an
// answer. Callers of HTTP/1.1 keep the events of a broken answer, which lacks its last chunk.
func TestBrokenAnswersLookWhole(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	for _, c := range []struct {
		version, path string
		ended         error // the connection
		read          error // the body
		events        int
	}{
		{"1.0", "/stream/events/whole", nil, nil, events},
		{"1.1", "/stream/events/whole", nil, nil, events},
		{"1.0", "/stream/events/broken", syscall.ECONNRESET, nil, 0},
		{"1.1", "/stream/events/broken", nil, io.ErrUnexpectedEOF, events / 2},
		{"1.0", "/a/x", nil, nil, 0},
		{"1.1", "/a/x", nil, nil, 0},
	} {
		t.Run(c.version+c.path, func(t *testing.T) {
			r := ask(t, b.address, c.version, c.path)
			_, err := r.Peek(1)
			b.await(func() bool { return b.InFlight() == 0 }) // what the box has sent must be read although it closes the connection
			var text []byte
			if err == nil {
				text, err = io.ReadAll(r)
			}
			require.ErrorIs(t, err, c.ended)
			if c.ended != nil {
				return // events may be lost
			}
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			require.ErrorIs(t, err, c.read)
			require.Equal(t, c.events, strings.Count(string(body), "data: text\n\n"))
		})
	}
}

// Guards against the same when the process of the box is killed amid an answer: the kernel ends its connections.
func TestAnswersOfKilledBoxesLookWhole(t *testing.T) {
	if os.Getenv(killedBox) != "" {
		b := startBox(t, true)
		b.await(b.isReady)
		fmt.Println(b.address)
		_, _ = io.Copy(io.Discard, os.Stdin) // until the process is killed, or the one that started it has ended
		return
	}
	p := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+t.Name()+"$")
	p.Env = append(os.Environ(), killedBox+"=1")
	_, err := p.StdinPipe()
	require.NoError(t, err)
	out, err := p.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	address, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	r := ask(t, strings.TrimSpace(address), "1.0", "/stream/events/held")
	for line := ""; line != "data: text\n"; {
		line, err = r.ReadString('\n')
		require.NoError(t, err)
	}
	require.NoError(t, p.Process.Kill())
	_ = p.Wait()
	_, err = io.ReadAll(r)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// killedBox is the environment variable that is set in the process that TestAnswersOfKilledBoxesLookWhole kills.
const killedBox = "BIRCHLINK_TEST_KILLED_BOX"
