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
	maxHelloBytes    = 512 // more than twice an encoded proof
	serverRole       = "server"
	clientRole       = "client"
)

// errWrongSecret is returned when the remote side doesn't know the shared secret.
var errWrongSecret = errors.New("peer handshake failed: wrong shared secret")

// proof is a handshake message. MAC proves knowledge of the secret; it covers the nonces
// of both sides, so it can't be replayed on another connection.
type proof struct {
	Nonce []byte `msgpack:"n"`
	MAC   []byte `msgpack:"m,omitempty"`
}

// mac returns the MAC of one side. Including the side prevents a proof from being sent back to
// its sender.
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
	m, err := c.ReadUpTo(maxHelloBytes)
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

// clientHandshake runs the client's side of the handshake: it sends a nonce, verifies
// the server's proof, and sends its own.
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

// serverHandshake runs the server's side of the handshake.
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
