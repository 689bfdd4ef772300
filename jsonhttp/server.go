package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"
)

// Write sends a response with v encoded as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of r into v and reports whether it succeeded. On failure it sends a response
// with status 400.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(v); err != nil {
		http.Error(w, "bad body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
