package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ConnPair is the two addresses of a TCP connection in the form of /proc/net/tcp, that of the process first.
type ConnPair [2]string

// OpenedBy returns the TCP connections over IPv4 that a process has.
func OpenedBy(pid int) map[ConnPair]bool {
	inodes := map[string]bool{}
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil
	}
	for _, n := range names {
		if to, err := os.Readlink(n); err == nil && strings.HasPrefix(to, "socket:[") {
			inodes[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
		}
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return nil
	}
	out := map[ConnPair]bool{}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 9 && inodes[f[9]] {
			out[ConnPair{f[1], f[2]}] = true
		}
	}
	return out
}

// pairOf returns the addresses of an accepted connection, as the process that opened it has them.
func pairOf(c net.Conn) ConnPair {
	return ConnPair{hexAddress(c.RemoteAddr()), hexAddress(c.LocalAddr())}
}

// hexAddress returns an IPv4 address in the form of /proc/net/tcp on machines whose words begin with the lowest byte.
func hexAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := t.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}
