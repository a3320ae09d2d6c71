package rig

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// On a long link all that is sent comes, in order, and nothing before its time.
func TestLongLink(t *testing.T) {
	const latency = 20 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // more than is under way at once
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.Copy(c, c) // back again
	}()
	link, err := NewLongLink(l.Addr().String(), latency)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	go func() {
		c.Write(sent)
		c.(*net.TCPConn).CloseWrite()
	}()
	first := make([]byte, 1)
	if _, err := io.ReadFull(c, first); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*latency {
		t.Errorf("there and back after %v, under twice %v", took, latency)
	}
	rest, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(append(first, rest...), sent) {
		t.Errorf("%d bytes of %d came back, or others: %v", 1+len(rest), len(sent), err)
	}
}
