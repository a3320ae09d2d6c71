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

// Over a link with latency all that is sent arrives, in order, and nothing before its time.
func TestLinkWithLatencyDeliversAllInOrder(t *testing.T) {
	const latency = 20 * time.Millisecond
	listener := listen(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // more than is under way at once
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn) // what does not come back is missed by the test
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
		_, _ = conn.Write(sent) // what is not sent does not come back
		_ = conn.CloseWrite()
	}()
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*latency {
		t.Errorf("there and back after %v, under twice %v", took, latency)
	}
	rest, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(append(first, rest...), sent) {
		t.Errorf("%d bytes of %d came back, or others: %v", 1+len(rest), len(sent), err)
	}
}

// What was sent before an orderly end arrives, also at a reader that reads only after the link has closed the
// connection.
func TestLinkDeliversWhatWasSentBeforeOrderlyEnd(t *testing.T) {
	server, client := listen(t), listen(t)
	// More than a client that does not read takes in, less than the link's socket holds.
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	go func() {
		conn, err := server.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(sent) // what is not sent is missed by the test
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
		t.Errorf("%d bytes of %d: %v", len(received), len(sent), err)
	}
}
