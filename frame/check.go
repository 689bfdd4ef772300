package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of an encoded value. A decoder takes the memory of an array or a map by its announced length, so that a few
// bytes can take any amount, and the stack by the depth. The limits have room for 50 elements or 100 entries for each of
// 10,000 endpoints.
const (
	maxElements = 1 << 19 // of all arrays together
	maxEntries  = 1 << 20 // of all maps together
	maxDepth    = 64
)

var (
	errShort = errors.New("the encoded value is cut")
	errDepth = fmt.Errorf("the encoded value has over %d levels", maxDepth)
	errCount = fmt.Errorf("the encoded value has over %d elements or %d entries, or more than its bytes", maxElements, maxEntries)
)

// Check returns an error if the msgpack value at the start of b is cut or broken, or takes far more memory to decode than it
// has bytes. Values of other boxes must be checked before they are decoded; Decode checks whole messages.
func Check(b []byte) error {
	var open [maxDepth]int // values that remain at each level
	open[0] = 1
	depth, elements, entries := 0, 0, 0
	for {
		for open[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		open[depth]--
		n, isMap, rest, err := next(b)
		if err != nil {
			return err
		}
		b = rest
		if n == 0 {
			continue
		}
		if isMap {
			entries += n
			n *= 2
		} else {
			elements += n
		}
		if n > len(b) || elements > maxElements || entries > maxEntries {
			return errCount
		}
		if depth++; depth == maxDepth {
			return errDepth
		}
		open[depth] = n
	}
}

// The first bytes of values whose length follows, and of others that need care.
const (
	maxPositive = 0x7f
	maxFixMap   = 0x8f
	maxFixArray = 0x9f
	maxFixStr   = 0xbf
	unused      = 0xc1
	bin8        = 0xc4
	ext8        = 0xc7
	float32Code = 0xca
	str8        = 0xd9
	array16     = 0xdc
	map16       = 0xde
	minNegative = 0xe0
)

// scalarBytes has the sizes of the values from float32Code to the last of fixed size, without the first byte.
var scalarBytes = [...]int{4, 8, 1, 2, 4, 8, 1, 2, 4, 8, 2, 3, 5, 9, 17}

// next skips the value at the start of b, or the head of an array or map, of which it returns the length.
func next(b []byte) (n int, isMap bool, rest []byte, err error) {
	if len(b) == 0 {
		return 0, false, nil, errShort
	}
	code := b[0]
	b = b[1:]
	skip := 0
	switch {
	case code <= maxPositive || code >= minNegative:
	case code <= maxFixMap:
		return int(code & 0x0f), true, b, nil
	case code <= maxFixArray:
		return int(code & 0x0f), false, b, nil
	case code <= maxFixStr:
		skip = int(code & 0x1f)
	case code == unused:
		return 0, false, nil, fmt.Errorf("no value begins with %#x", code)
	case code < bin8:
	case code < ext8:
		skip, b, err = length(b, 1<<(code-bin8))
	case code < float32Code:
		skip, b, err = length(b, 1<<(code-ext8))
		skip++ // the type
	case code < str8:
		skip = scalarBytes[code-float32Code]
	case code < array16:
		skip, b, err = length(b, 1<<(code-str8))
	case code < map16:
		n, b, err = length(b, 2<<(code-array16))
		return n, false, b, err
	default:
		n, b, err = length(b, 2<<(code-map16))
		return n, true, b, err
	}
	if err != nil || skip > len(b) {
		return 0, false, nil, errShort
	}
	return 0, false, b[skip:], nil
}

// length reads a length of size bytes.
func length(b []byte, size int) (int, []byte, error) {
	if len(b) < size {
		return 0, nil, errShort
	}
	var wide [4]byte
	copy(wide[len(wide)-size:], b)
	return int(binary.BigEndian.Uint32(wide[:])), b[size:], nil
}
