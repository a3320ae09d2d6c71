package webnode

import (
	"net"
	"testing"
	"time"

	"irispost/internal/backend/node"
)

// TestBytesNobodyAskedFor: a kept connection on which something has come, and that its reader has not got to, is not written to.
func TestBytesNobodyAskedFor(t *testing.T) {
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
	peer, _ := l.Accept()
	kept := &conn{client: c, addr: l.Addr().String(), raw: raw, state: stateWriting, cancelDial: func() {}} // with no reader
	c.mu.Lock()
	c.openConns = 1
	kept.transition(stateIdle)
	c.mu.Unlock()
	if !kept.isQuiet() {
		t.Error("a quiet connection is not clean")
	}
	if _, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		t.Fatal(err)
	}
	for kept.isQuiet() {
		time.Sleep(time.Millisecond)
	}
	c.Start(l.Addr().String(), &node.Call{Op: node.GetObject, Name: "/"}, func(node.Reply) {})
	if fresh, err := l.Accept(); err != nil { // it takes another
		t.Error(err)
	} else {
		_ = fresh.Close()
	}
	if n, err := peer.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("the kept connection was written to")
	}
}
