package web_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"irispost/internal/frontend/web"
)

// gatedListener accepts connections whose data cannot be read until the gate is opened, as if the process had been
// paused.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn.(*net.TCPConn), l.gate}, nil
}

func (c gatedConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(b)
}

// TestRequestOfClientThatHasLeftIsNotForwarded guards against requests that are forwarded after their client has closed
// its connection: the request is read only then, with nothing, a little or more than the socket holds behind it.
func TestRequestOfClientThatHasLeftIsNotForwarded(t *testing.T) {
	const clients = 50
	for _, bytesBehind := range []int{0, 10, 1 << 20} {
		t.Run(fmt.Sprint(bytesBehind), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			gate := make(chan struct{})
			b := startOnListener(t, gatedListener{listener, gate}, generousLimits())
			for i := range clients {
				c := b.dial(t)
				c.send(putRequest(fmt.Sprint("x", i)))
				_ = c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)) // the rest stays unsent
				c.send(strings.Repeat("n", bytesBehind))
				_ = c.Close()
			}
			for conns := 0; conns < clients; conns, _ = b.Counts() {
				time.Sleep(time.Millisecond)
			}
			close(gate)
			for conns := 1; conns > 0; conns, _ = b.Counts() {
				time.Sleep(time.Millisecond)
			}
			if n := b.nodes.total(); n > 0 {
				t.Errorf("%d of %d requests were forwarded after their client had left, want none", n, clients)
			}
		})
	}
}

// TestClientsEndIsSeenBehindUnreadBytes: that a client has closed its connection is seen without reading what it sent
// before, and unread bytes are not taken for it.
func TestClientsEndIsSeenBehindUnreadBytes(t *testing.T) {
	for _, bytes := range []int{0, 100} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		write(t, client, strings.Repeat("n", bytes))
		for bytes > 0 && !web.HasUnreadBytes(server) {
			time.Sleep(time.Millisecond)
		}
		if web.HasClientLeft(server) {
			t.Errorf("%d bytes unread: the client counts as gone while it is connected", bytes)
		}
		_ = client.Close()
		for deadline := time.Now().Add(10 * time.Second); !web.HasClientLeft(server); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes unread: the client's end was not seen within 10 s", bytes)
			}
		}
	}
}
