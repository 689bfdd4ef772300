package jsonhttp

import (
	"encoding/json"
	"mime"
	"net/http"
	"strings"
)

// IsPart reports whether a body that is stated to be JSON is no whole JSON text. Of one that is encoded, such as compressed, that is not
// known.
func IsPart(h http.Header, body []byte) bool {
	kind, _, _ := mime.ParseMediaType(h.Get("Content-Type")) // an invalid one is none of JSON
	isJSON := kind == "application/json" || strings.HasSuffix(kind, "+json")
	return isJSON && h.Get("Content-Encoding") == "" && !json.Valid(body)
}
