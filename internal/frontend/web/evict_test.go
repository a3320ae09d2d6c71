package web_test

import (
	"net"
	"testing"
	"time"

	"irispost/internal/frontend/web"
)

// connPair returns the server side and the client side of a new connection.
func connPair(t *testing.T, listener net.Listener) (server, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return server, client
}

// TestConnectionWithUnreadRequestIsNotEvicted: a connection whose request has arrived but has not been read yet is not
// evicted, because the request would then get no response.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	firstServer, firstClient := connPair(t, listener)
	secondServer, secondClient := connPair(t, listener)
	write(t, firstClient, "PUT")
	for !web.HasUnreadBytes(firstServer) {
		time.Sleep(time.Millisecond)
	}
	if got := web.EvictOne(firstServer, secondServer); got != 1 {
		t.Errorf("evicted connection %d, want 1", got)
	}
	write(t, secondClient, "PUT")
	if got := web.EvictOne(firstServer); got != -1 {
		t.Errorf("evicted connection %d, want none (-1) because all have unread bytes", got)
	}
}
