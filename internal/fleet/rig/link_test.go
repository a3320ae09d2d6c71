package rig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// hangTimeout is how long a test waits for what takes a few seconds at most. Only a link that hangs exceeds it.
const hangTimeout = 30 * time.Second

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.(*net.TCPListener)
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestLinkWithLatencyDeliversAllInOrder checks that all bytes arrive over a link with latency, in order and not before
// their time.
func TestLinkWithLatencyDeliversAllInOrder(t *testing.T) {
	const latency = 20 * time.Millisecond
	listener := listen(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // more than may be in transit at once
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn) // the test detects bytes that do not come back
		_ = conn.Close()
	}()
	link, err := NewLinkWithLatency(listener.Addr().String(), latency)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	conn := dial(t, link.Addr())
	began := time.Now()
	go func() {
		_, _ = conn.Write(sent) // the test detects bytes that do not come back
		_ = conn.CloseWrite()
	}()
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*latency {
		t.Errorf("first byte came back after %v, want at least twice %v", took, latency)
	}
	rest, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(append(first, rest...), sent) {
		t.Errorf("%d bytes came back, want the %d bytes that were sent; error %v", 1+len(rest), len(sent), err)
	}
}

// TestLinkDeliversWhatWasSentBeforeOrderlyEnd checks that bytes sent before an orderly close arrive, even if the
// client reads them only after the link has closed the connection. A reset would discard them.
func TestLinkDeliversWhatWasSentBeforeOrderlyEnd(t *testing.T) {
	server, client := listen(t), listen(t)
	// This is more than a client that does not read accepts, but less than the link's send buffer holds.
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(sent) // the test detects missing bytes
		_ = conn.Close()
	}()
	conn := dial(t, client.Addr().String())
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	accepted, err := client.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	if err := accepted.SetWriteBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	link := &Link{
		target:      server.Addr().String(),
		connections: map[*connection]bool{},
		closed:      make(chan struct{}),
	}
	link.serve(t.Context(), accepted)
	if received, err := io.ReadAll(conn); err != nil || !bytes.Equal(received, sent) {
		t.Errorf("%d bytes arrived, want the %d bytes that were sent; error %v", len(received), len(sent), err)
	}
}

// fullTarget is a listening socket whose accept queue is full. The kernel ignores the SYN packets of further dials, so
// these hang.
type fullTarget struct {
	fd      int
	address string
}

func newFullTarget(t *testing.T) *fullTarget {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil { // the queue holds one connection
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	target := &fullTarget{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)}
	dial(t, target.address)
	return target
}

// awaitDial waits until a dial to the target is outstanding: until a socket to its port is in state SYN_SENT.
func (f *fullTarget) awaitDial(t *testing.T) {
	t.Helper()
	var port int
	if _, err := fmt.Sscanf(f.address, "127.0.0.1:%d", &port); err != nil {
		t.Fatal(err)
	}
	remote := fmt.Sprintf("0100007F:%04X", port)
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		sockets, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(sockets)) {
			// The fields are the number, the local address, the remote address and the state; 02 is SYN_SENT.
			if fields := strings.Fields(line); len(fields) > 3 && fields[2] == remote && fields[3] == "02" {
				return
			}
		}
	}
	t.Fatal("no dial to the target is outstanding")
}

// accept takes one connection out of the accept queue, so that an outstanding dial succeeds when the kernel repeats
// its SYN packet.
func (f *fullTarget) accept(t *testing.T) {
	t.Helper()
	fd, _, err := unix.Accept(f.fd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
}

// awaitEnd waits until a function has returned.
func awaitEnd(t *testing.T, name string, function func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		function()
	}()
	select {
	case <-ended:
	case <-time.After(hangTimeout):
		t.Fatalf("%s has not returned within %v", name, hangTimeout)
	}
}

// checkReset checks that a connection is reset.
func checkReset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("client read %d bytes, error %v, want a reset", n, err)
	}
}

// TestCloseEndsOutstandingDial checks that Close does not wait for a dial to a target that does not respond.
func TestCloseEndsOutstandingDial(t *testing.T) {
	target := newFullTarget(t)
	link, err := NewLink(target.address)
	if err != nil {
		t.Fatal(err)
	}
	client := dial(t, link.Addr())
	target.awaitDial(t)
	awaitEnd(t, "Close", link.Close)
	checkReset(t, client)
}

// TestConnectionAfterCloseIsReset checks that a connection whose dial ends after Close is reset and not served.
func TestConnectionAfterCloseIsReset(t *testing.T) {
	target, clients := listen(t), listen(t)
	link, err := NewLink(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	link.Close()
	client := dial(t, clients.Addr().String())
	accepted, err := clients.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, "serve", func() { link.serve(t.Context(), accepted) })
	checkReset(t, client)
}

// TestResetDuringDial checks that a connection is reset if a fault with Reset is set while the link dials the target.
func TestResetDuringDial(t *testing.T) {
	target := newFullTarget(t)
	link, err := NewLink(target.address)
	if err != nil {
		t.Fatal(err)
	}
	client := dial(t, link.Addr())
	target.awaitDial(t)
	link.SetFault(Fault{Reset: true})
	target.accept(t)
	checkReset(t, client)
	awaitEnd(t, "Close", link.Close)
}
