// Package testaddr reserves loopback addresses for tests. Only tests import it. It is separate from testkit so that
// tests in the packages that testkit imports can use it without an import cycle.
package testaddr

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"irispost/internal/loopback"
)

// Reserve returns an address with a port that a server in this or another process can listen on at any time until the
// test ends.
//
// A bound socket that does not listen holds the port. It has SO_REUSEADDR set, as have the sockets of net.Listen, so a
// server can bind to the port by its number, while the kernel does not assign the port to a socket that asks for any
// free one. If a free port were found and released instead, the kernel could assign it to another socket before the
// server listens on it. Processes that the test starts do not inherit the socket.
func Reserve(t testing.TB) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) }) // nothing was written to it, so an error has no consequence
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	ip := netip.MustParseAddr(loopback.ProcessAddr())
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: ip.As4()}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(ip, uint16(bound.(*unix.SockaddrInet4).Port)).String()
}
