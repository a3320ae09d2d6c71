// Package testaddr reserves loopback addresses for tests. Only tests import it. It is a package of its own, below
// testkit, so that tests inside the packages that testkit is built on can import it.
package testaddr

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"irispost/internal/loopback"
)

// Reserve returns an address with a port that a server can listen on whenever it is started, in this process or in
// another. A bound socket that does not listen holds the port until the test ends: as both sockets have SO_REUSEADDR,
// which net.Listen sets too, a server can bind to the port by its number, but the kernel assigns the port to no socket
// that asks for any free one. A port that is only found free and released again can be assigned to another socket before
// the server listens on it. Processes that the test starts do not inherit the socket.
func Reserve(t testing.TB) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) }) // nothing was sent on it
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
