package node_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// TestNodeThatIsLeft: what waits for a connection to be greeted does not begin once its node is left; what comes after does.
func TestNodeThatIsLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := node.NewClient(time.Minute, 1, sftp.DefaultLimits, nil)
	defer c.Close()
	first, addr := make(chan node.Reply, 1), l.Addr().String()
	c.Start(addr, &node.Call{Op: node.GetObject, IdempotencyKey: "the first", Timeout: time.Minute}, func(a node.Reply) { first <- a })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.AbortQueued(func(a string) bool { return a != addr })
	if len(first) > 0 {
		t.Error("what goes to a node that stays has ended")
	}
	c.AbortQueued(func(a string) bool { return a == addr })
	if a := <-first; a.Outcome != node.ConnectFailed {
		t.Errorf("%+v", a)
	}
	c.Start(addr, &node.Call{Op: node.GetObject, IdempotencyKey: "the second", Timeout: time.Minute}, func(node.Reply) {})
	head, tail := sftp.Hello(node.ExecExtension, "1").Bytes()
	conn.Write(append(head, tail...))
	var got []byte
	for buf := make([]byte, 1000); !bytes.Contains(got, []byte("the second")); {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, buf[:n]...)
	}
	if bytes.Contains(got, []byte("the first")) {
		t.Error("what was left has begun")
	}
}
