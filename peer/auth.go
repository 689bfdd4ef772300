package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/frame"
)

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	serverRole       = "server"
	clientRole       = "client"
)

// errStranger is returned when the far side does not know the shared secret.
var errWrongSecret = errors.New("the far side does not know the peers' secret")

// proof shows knowledge of the secret for the two nonces of one connection.
type proof struct {
	Nonce []byte `msgpack:"n"`
	MAC   []byte `msgpack:"m,omitempty"`
}

func mac(secret, side string, nonces ...[]byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(side))
	for _, n := range nonces {
		h.Write(n)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand.Read never returns an error
	return n
}

func writeProof(c *frame.Conn, p proof) error {
	b, err := msgpack.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	return c.Write(frame.Message{Type: frame.Hello, Body: b}, handshakeTimeout)
}

func readProof(c *frame.Conn) (proof, error) {
	var p proof
	m, err := c.Read()
	if err != nil {
		return p, err
	}
	if m.Type != frame.Hello {
		return p, errWrongSecret
	}
	if err := msgpack.Unmarshal(m.Body, &p); err != nil {
		return p, fmt.Errorf("decode hello: %w", err)
	}
	return p, nil
}

// clientHandshake is the client's side: nonce, the server's proof, the own proof.
func clientHandshake(c *frame.Conn, secret string) error {
	n := newNonce()
	if err := writeProof(c, proof{Nonce: n}); err != nil {
		return err
	}
	p, err := readProof(c)
	if err != nil {
		return err
	}
	if !hmac.Equal(p.MAC, mac(secret, serverRole, n, p.Nonce)) {
		return errWrongSecret
	}
	return writeProof(c, proof{MAC: mac(secret, clientRole, n, p.Nonce)})
}

// serverHandshake is the server's side of clientHandshake.
func serverHandshake(c *frame.Conn, secret string) error {
	p, err := readProof(c)
	if err != nil {
		return err
	}
	n := newNonce()
	if err := writeProof(c, proof{Nonce: n, MAC: mac(secret, serverRole, p.Nonce, n)}); err != nil {
		return err
	}
	q, err := readProof(c)
	if err != nil {
		return err
	}
	if !hmac.Equal(q.MAC, mac(secret, clientRole, p.Nonce, n)) {
		return errWrongSecret
	}
	return nil
}
