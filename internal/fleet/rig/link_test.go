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
	link, err := NewLinkWithLatency(l.Addr().String(), latency)
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

// What was sent before an orderly end comes, also to who reads it only after the link has let the connection go.
func TestWhatWasSentComesAfterTheEnd(t *testing.T) {
	listen := func() *net.TCPListener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l.(*net.TCPListener)
	}
	far, near := listen(), listen()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<15) // more than who does not read takes in, less than the link's socket holds
	go func() {
		if c, err := far.Accept(); err == nil {
			c.Write(sent)
			c.Close()
		}
	}()
	c, err := net.Dial("tcp", near.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).CloseWrite()
	in, err := near.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	in.SetWriteBuffer(1 << 20)
	(&Link{to: far.Addr().String(), pairs: map[*pair]bool{}, quit: make(chan struct{})}).serve(in)
	if b, err := io.ReadAll(c); err != nil || !bytes.Equal(b, sent) {
		t.Errorf("%d bytes of %d: %v", len(b), len(sent), err)
	}
}
