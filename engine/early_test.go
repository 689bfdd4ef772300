package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/splice"
)

// earlyRounds is how often each case is played: which of two goroutines the kernel tells of a reset is up to it.
const earlyRounds = 20

// A stream is complete only with the line that ends it, whatever the end of its connection looks like: an engine answers a long request at
// once, and the connection is reset while the request is still being written.
func TestEarlyStreamIsIncomplete(t *testing.T) {
	for name, head := range map[string]string{"unframed": "\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n1e\r\n"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+`{"r":"r","a":1,"i":0,"t":"x"}`+"\n")
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
			}()
			client := engine.NewClient("test")
			defer client.Close()
			for range earlyRounds {
				q := engine.Request{RequestID: "r", Attempt: 1, Prompt: strings.Repeat("x", 6<<20), MaxTokens: 1}
				s, err := client.Generate(t.Context(), l.Addr().String(), q)
				if err != nil {
					require.NotErrorIs(t, err, engine.ErrNotRun)
					require.NotErrorIs(t, err, engine.ErrUnreachable)
					continue
				}
				p := splice.Splicer{RequestID: "r", Attempt: 1, MaxTokens: 1}
				for {
					n, err := s.Next()
					if err != nil {
						break
					}
					require.Equal(t, splice.Accepted, p.Accept(n))
				}
				require.NoError(t, s.Close())
			}
		})
	}
}
