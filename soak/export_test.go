package soak

import "net"

// FreeAddresses is freeAddresses.
var FreeAddresses = freeAddresses

// PairOf returns the addresses of a connection that this process has opened.
func PairOf(c net.Conn) ConnPair {
	return ConnPair{hexAddress(c.LocalAddr()), hexAddress(c.RemoteAddr())}
}
