package front

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/openai"
	"birchlink.dev/birchlink/splice"
)

// BenchmarkToken measures the cost of passing one token from an engine to the caller, without the
// network I/O.
func BenchmarkToken(b *testing.B) {
	l := engine.Line{RequestID: "0fd6a3a4-8f3c-4d0e-b6f9-4d8c1e0b2a77", Attempt: 1, Token: "token "}
	s := splice.Splicer{RequestID: l.RequestID, Attempt: 1, MaxTokens: 1 << 60}
	w := httptest.NewRecorder()
	o := newWriter(&session{w: w}, openai.ChatRequest{Stream: true, Model: "birch-llm"}, l.RequestID)
	for i := 0; b.Loop(); i++ {
		l.Index = i
		raw, err := json.Marshal(l)
		require.NoError(b, err)
		var got engine.Line
		require.NoError(b, json.Unmarshal(raw, &got))
		require.Equal(b, splice.Accepted, s.Accept(got))
		require.NoError(b, o.writeToken(i, got.Token))
		w.Body.Reset()
	}
}

// A token whose index is not the next one is an error and is not passed on.
func TestWriterRejectsTokensOutOfOrder(t *testing.T) {
	o := newWriter(&session{w: httptest.NewRecorder()}, openai.ChatRequest{}, "id")
	require.NoError(t, o.writeToken(0, "a"))
	require.Error(t, o.writeToken(2, "c"))
	require.Error(t, o.writeToken(0, "a"))
	require.NoError(t, o.writeToken(1, "b"))
}
