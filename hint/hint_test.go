package hint_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/hint"
)

// startService starts a service on the loopback interface and returns it with the hints that it
// receives.
func startService(t *testing.T) (*hint.Service, chan hint.Hint) {
	t.Helper()
	received := make(chan hint.Hint, 10)
	h := hint.New(zerolog.Nop())
	h.Address, h.OnHint = "127.0.0.1:0", func(s hint.Hint) { received <- s }
	require.NoError(t, h.Start(t.Context(), nil))
	t.Cleanup(func() { require.NoError(t, h.Stop(t.Context())) })
	return h, received
}

// Hints reach all peers, and datagrams that are not valid hints are ignored.
func TestSend(t *testing.T) {
	one, receivedOne := startService(t)
	two, receivedTwo := startService(t)
	peers := []netip.AddrPort{one.Addr(), two.Addr()}
	sender, _ := startService(t)
	c, err := net.Dial("udp", one.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	for _, b := range []string{"", "no hint", "\x82\xa1e\xa1x\xa1t\xff", "\x82\xa1e\xa1x\xa1t\xce\xff\xff\xff\xff"} {
		_, err := c.Write([]byte(b))
		require.NoError(t, err)
	}
	s := hint.Hint{Endpoint: "e1", Tokens: 9000}
	sender.Send(s, peers)
	require.Equal(t, s, <-receivedOne)
	require.Equal(t, s, <-receivedTwo)
}

// A box whose hint address is in use runs without hints.
func TestAddressTaken(t *testing.T) {
	one, _ := startService(t)
	h := hint.New(zerolog.Nop())
	h.Address = one.Addr().String()
	require.NoError(t, h.Start(t.Context(), nil))
	h.Send(hint.Hint{Endpoint: "e1", Tokens: 1}, nil)
	require.False(t, h.Addr().IsValid())
	require.NoError(t, h.Stop(t.Context()))
}
