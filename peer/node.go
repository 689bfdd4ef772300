package peer

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name of the service.
const Name = "peer"

// Node is the service that holds the peer server and clients of one box.
type Node struct {
	Server *Server
	Client *Client

	// Bulk uses connections of its own, for answers so large that they would delay the other
	// calls of a connection.
	Bulk *Client

	// Advertise is the address under which other boxes reach this one.
	Advertise string

	address string
}

// NewNode returns a node that listens on an address once started. Its clients connect
// from the same IP address, so that a peer can be identified by it. The gauge
// peers.bytes in m reports the bytes sent and received on its open connections.
func NewNode(address, advertise, secret string, m metrics.Registry) *Node {
	n := &Node{Server: NewServer(secret), Client: NewClient(secret), Bulk: NewClient(secret), Advertise: advertise, address: address}
	// Register fails only if the name is taken, and the registry is this node's own.
	_ = m.Register("peers.bytes", metrics.NewFunctionalGauge(func() int64 { return n.Server.Bytes() + n.Client.Bytes() + n.Bulk.Bytes() }))
	if a, err := net.ResolveTCPAddr("tcp", address); err == nil {
		n.Client.local = &net.TCPAddr{IP: a.IP}
		n.Bulk.local = n.Client.local
	}
	return n
}

// Name returns the service's name.
func (n *Node) Name() string { return Name }

// Start begins to listen. Handlers may be registered later.
func (n *Node) Start(context.Context, *kernel.Kernel) error { return n.Server.Listen(n.address) }

// Stop closes the listener and all connections.
func (n *Node) Stop(context.Context) error {
	n.Client.Close()
	n.Bulk.Close()
	n.Server.Close()
	return nil
}
