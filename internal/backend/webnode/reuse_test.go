package webnode

import (
	"net"
	"testing"
	"time"

	"irispost/internal/backend/node"
)

// TestConnectionWithUnreadBytesIsNotReused: if bytes have arrived on an idle connection and its reader has not read
// them yet, nothing is written to it and the attempt gets another connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c := NewClient(Options{ConnectTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnections: 1})
	defer c.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	idle := &conn{client: c, addr: addr, raw: raw, state: stateWriting, cancelDial: func() {}} // without a reader
	c.mu.Lock()
	c.openConns = 1
	idle.transition(stateIdle)
	c.mu.Unlock()
	if !idle.isSocketIdle() {
		t.Error("isSocketIdle returned false before any bytes arrived, want true")
	}
	if _, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		t.Fatal(err)
	}
	for idle.isSocketIdle() {
		time.Sleep(time.Millisecond)
	}
	c.Start(addr, &node.Call{Op: node.GetObject, Name: "/"}, func(node.Reply) {})
	if fresh, err := l.Accept(); err != nil { // the connection that replaces the idle one
		t.Error(err)
	} else {
		_ = fresh.Close()
	}
	if n, err := peer.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the idle connection was written to")
	}
}
