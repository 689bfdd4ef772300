package ingress_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/openai"
)

// Guards against refusals of late bodies that are lost because the box closes the connection while the caller sends.
func TestRefusalsOfLateBodiesAreReset(t *testing.T) {
	for _, framing := range []string{"chunks", "length"} {
		t.Run(framing, func(t *testing.T) {
			b := startBoxWith(t, true, func(b *box) {
				d := document
				d.Limits.BodyBytes = 0
				text, err := json.Marshal(d)
				require.NoError(t, err)
				b.store.Set("config", string(text))
			})
			b.await(b.isReady)
			n, err := net.Dial("tcp", b.address)
			require.NoError(t, err)
			defer n.Close()
			const parts, part = 256, 1024
			head := "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n"
			text := strings.Repeat("x", part)
			if framing == "chunks" {
				head, text = head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+text+"\r\n"
			} else {
				head += "Content-Length: 8388608\r\n\r\n"
			}
			_, err = io.WriteString(n, head+text)
			require.NoError(t, err)
			b.await(func() bool { return b.InFlight() == 1 })
			go func() { _ = b.Stop(context.Background()) }()
			rd := bufio.NewReader(n)
			_, err = rd.Peek(1)
			require.NoError(t, err)
			for range parts { // many callers read the answer only after this
				_, err := io.WriteString(n, text)
				require.NoError(t, err)
			}
			resp, err := http.ReadResponse(rd, nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			a, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			var e openai.Error
			require.NoError(t, json.Unmarshal(a, &e))
			require.Equal(t, "stopping", e.Error.Code)
			require.Equal(t, "not_run", e.Error.Run)
			require.True(t, resp.Close)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		})
	}
}
