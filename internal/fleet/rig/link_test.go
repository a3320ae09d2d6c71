package rig

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

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
	link.serve(accepted)
	if received, err := io.ReadAll(conn); err != nil || !bytes.Equal(received, sent) {
		t.Errorf("%d bytes arrived, want the %d bytes that were sent; error %v", len(received), len(sent), err)
	}
}
