package testaddr_test

import (
	"net"
	"testing"

	"irispost/internal/loopback"
	"irispost/internal/testkit/testaddr"
)

// listen returns a listener on an address. It is closed when the test ends.
func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // it fails if the test has closed the listener
	return listener
}

// TestReservedAddressIsAssignedToNoOther checks that sockets that ask for any free port do not get a reserved one. A
// server can listen on the reserved port by its number, and again after it has accepted a connection and closed.
func TestReservedAddressIsAssignedToNoOther(t *testing.T) {
	reserved := map[string]bool{}
	for range 100 {
		addr := testaddr.Reserve(t)
		if reserved[addr] {
			t.Errorf("%s is reserved twice", addr)
		}
		reserved[addr] = true
	}
	for range 2000 {
		listener, err := net.Listen("tcp", loopback.ProcessAddr()+":0")
		if err != nil {
			t.Fatal(err)
		}
		if addr := listener.Addr().String(); reserved[addr] {
			t.Errorf("a listener on any free port got the reserved address %s", addr)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
	for addr := range reserved {
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			t.Errorf("%s accepts connections before a server listens on it", addr)
		}
		for range 2 {
			listener := listen(t, addr)
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			served, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_, _, _ = served.Close(), conn.Close(), listener.Close() // the server's side first: it stays in TIME_WAIT
		}
	}
}
