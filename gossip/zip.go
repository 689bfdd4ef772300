package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxText bounds what is unpacked, in bytes: the store holds values of a megabyte, and the
// records of 3,000 endpoints are as much.
const maxText = 8 << 20

// packed keeps the last configuration as it goes between boxes. With a thousand
// routes its text is half a megabyte, and some boxes have links of 10 Mbit/s.
type packed struct {
	mu   sync.Mutex
	text []byte
	zip  []byte
}

// pack returns a text compressed, doing the work once for each text.
func (p *packed) pack(text []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.zip != nil && bytes.Equal(text, p.text) {
		return p.zip, nil
	}
	zip, err := pack(text)
	if err != nil {
		return nil, err
	}
	p.text, p.zip = text, zip
	return zip, nil
}

// pack returns bytes compressed.
func pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return b.Bytes(), nil
}

// unpack returns the text of what pack made.
func unpack(zip []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(zip))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxText))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	return text, nil
}
