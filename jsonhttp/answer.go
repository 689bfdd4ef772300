package jsonhttp

import (
	"encoding/json"
	"io"
	"net/http"
)

// Write answers with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of r into v and answers 400 itself when it cannot.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(v); err != nil {
		http.Error(w, "bad body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
