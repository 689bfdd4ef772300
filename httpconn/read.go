package httpconn

import (
	"errors"
	"fmt"
	"io"

	"birchlink.dev/birchlink/bytebudget"
)

// ReadAll reads the body. It returns an error if the body has more than n bytes, or bytebudget.ErrFull if the
// responses of the endpoint hold too many. The bytes count until Close.
func (r *Response) ReadAll(n int) ([]byte, error) {
	most := n + 1 // the end of a body is seen after its last byte
	if l := r.raw.ContentLength; l >= 0 {
		most = int(min(l+1, int64(most)))
	}
	b := make([]byte, 0, min(most, readBufferSize))
	for {
		read, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+read]
		if len(b) > n {
			return nil, fmt.Errorf("the answer is over %d bytes", n)
		}
		if errors.Is(err, io.EOF) {
			r.pool.Budget.Settle(r)
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(b) < cap(b) {
			continue
		}
		if b, err = r.grow(b, min(2*cap(b), most)); err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of b with a capacity of n.
func (r *Response) grow(b []byte, n int) ([]byte, error) {
	if err := r.Hold(cap(b) + n); err != nil {
		return nil, err
	}
	b = append(make([]byte, 0, n), b...)
	return b, r.Hold(n)
}

// Hold sets the number of bytes that the response holds until Close. The error is bytebudget.ErrFull if the responses
// of the endpoint hold too many. The body can't be read any more then.
func (r *Response) Hold(n int) error {
	if r.dropped.Load() {
		return bytebudget.ErrFull
	}
	return r.pool.Budget.Hold(r, r.conn.id, n, r.drop)
}

// drop gives the response up to free its bytes.
func (r *Response) drop() {
	r.dropped.Store(true)
	r.Interrupt()
}
