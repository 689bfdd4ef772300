package hint_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/hint"
)

// start returns a box's hints on loopback, and what it hears.
func start(t *testing.T) (*hint.Hints, chan hint.Sent) {
	t.Helper()
	heard := make(chan hint.Sent, 10)
	h := hint.New(zerolog.Nop())
	h.Address, h.Heard = "127.0.0.1:0", func(s hint.Sent) { heard <- s }
	require.NoError(t, h.Start(t.Context(), nil))
	t.Cleanup(func() { require.NoError(t, h.Stop(t.Context())) })
	return h, heard
}

// What one box tells, all its peers hear; what is no hint is passed over.
func TestTold(t *testing.T) {
	one, heardOne := start(t)
	two, heardTwo := start(t)
	peers := []netip.AddrPort{one.Listening(), two.Listening()}
	teller, _ := start(t)
	c, err := net.Dial("udp", one.Listening().String())
	require.NoError(t, err)
	defer c.Close()
	for _, b := range []string{"", "no hint", "\x82\xa1e\xa1x\xa1t\xff", "\x82\xa1e\xa1x\xa1t\xce\xff\xff\xff\xff"} {
		_, err := c.Write([]byte(b))
		require.NoError(t, err)
	}
	s := hint.Sent{Endpoint: "e1", Tokens: 9000}
	teller.Tell(s, peers)
	require.Equal(t, s, <-heardOne)
	require.Equal(t, s, <-heardTwo)
}

// A box whose address for hints is taken serves without them.
func TestAddressTaken(t *testing.T) {
	one, _ := start(t)
	h := hint.New(zerolog.Nop())
	h.Address = one.Listening().String()
	require.NoError(t, h.Start(t.Context(), nil))
	h.Tell(hint.Sent{Endpoint: "e1", Tokens: 1}, nil)
	require.False(t, h.Listening().IsValid())
	require.NoError(t, h.Stop(t.Context()))
}
