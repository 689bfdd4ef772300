package peer

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name of the service.
const Name = "peer"

// Node is the server and the client of one box, as a service.
type Node struct {
	Server *Server
	Client *Client

	// Bulk calls on connections of its own, for answers that are so large that they would hold
	// up the other calls of a connection.
	Bulk *Client

	// Advertise is the address that peers are told.
	Advertise string

	address string
}

// NewNode returns a node that will listen on an address. It also calls from
// that IP number, so that a peer can be known by it. What goes over its
// connections is the gauge peers.bytes.
func NewNode(address, advertise, secret string, m metrics.Registry) *Node {
	n := &Node{Server: NewServer(secret), Client: NewClient(secret), Bulk: NewClient(secret), Advertise: advertise, address: address}
	// The registry is the node's own, so the name is free.
	_ = m.Register("peers.bytes", metrics.NewFunctionalGauge(func() int64 { return n.Server.Bytes() + n.Client.Bytes() + n.Bulk.Bytes() }))
	if a, err := net.ResolveTCPAddr("tcp", address); err == nil {
		n.Client.local = &net.TCPAddr{IP: a.IP}
		n.Bulk.local = n.Client.local
	}
	return n
}

// Name returns the service's name.
func (n *Node) Name() string { return Name }

// Start begins to listen. Handlers may be entered afterwards.
func (n *Node) Start(context.Context, *kernel.Kernel) error { return n.Server.Listen(n.address) }

// Stop ends all connections.
func (n *Node) Stop(context.Context) error {
	n.Client.Close()
	n.Bulk.Close()
	n.Server.Close()
	return nil
}
