package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// maxUnpackedBytes limits the size of unpacked data. Values in the store may have up to a megabyte, and
// the records of 3,000 endpoints take about as much.
const maxUnpackedBytes = 8 << 20

// configCache caches the last configuration in packed form. With a thousand routes its text has half
// a megabyte, and some boxes have links of 10 Mbit/s.
type configCache struct {
	mu   sync.Mutex
	text []byte
	zip  []byte
}

// pack returns the packed text. It packs once per text.
func (c *configCache) pack(text []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zip != nil && bytes.Equal(text, c.text) {
		return c.zip, nil
	}
	zip, err := pack(text)
	if err != nil {
		return nil, err
	}
	c.text, c.zip = text, zip
	return zip, nil
}

// pack compresses a text with gzip.
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

// unpack reverses pack.
func unpack(zip []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(zip))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(text) > maxUnpackedBytes {
		return nil, fmt.Errorf("unpack: over %d bytes", maxUnpackedBytes)
	}
	return text, nil
}
