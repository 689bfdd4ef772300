// Package answer computes the deterministic answers of the stand-ins, so that any client can detect
// an answer that is wrong, truncated or mixed up with another.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultTokens is the length of an answer whose request gives none, in tokens.
const DefaultTokens = 16

// Token returns token i of the answer of a model to a prompt.
func Token(model, prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, i))
	return fmt.Sprintf("%s%04x ", string(rune('a'+i%26)), h&0xffff)
}

// Text returns the first n tokens of the answer of a model to a prompt.
func Text(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// Service returns the response body of a plain service to a request.
func Service(service, method, path, body string) string {
	h := xxhash.Sum64String(service + "\x00" + method + "\x00" + path + "\x00" + body)
	return fmt.Sprintf("%s %s %s %016x\n", service, method, path, h)
}
