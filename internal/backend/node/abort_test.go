package node_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// listen returns a loopback listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener
}

// readUntil reads from a connection until the received bytes contain text, and returns them.
func readUntil(t *testing.T, conn net.Conn, text string) []byte {
	t.Helper()
	var got []byte
	for buf := make([]byte, 1000); !bytes.Contains(got, []byte(text)); {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, buf[:n]...)
	}
	return got
}

// TestQueuedCallIsAbortedAtUnavailableNode: once a node is unavailable, a call that waits for its VERSION packet
// fails and is never sent. A call that is started later is sent.
func TestQueuedCallIsAbortedAtUnavailableNode(t *testing.T) {
	listener := listen(t)
	addr := listener.Addr().String()
	c := node.NewClient(time.Minute, 1, sftp.DefaultLimits, nil)
	t.Cleanup(c.Close)
	_, first := send(c, addr, node.Call{Op: node.GetObject, IdempotencyKey: "the first"})
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c.AbortQueued(func(a string) bool { return a != addr })
	if len(first) > 0 {
		t.Error("a call to a node that stays available has ended, want it to wait")
	}
	c.AbortQueued(func(a string) bool { return a == addr })
	if reply := <-first; reply.Outcome != node.ConnectFailed {
		t.Errorf("call to an unavailable node: reply %+v, want outcome ConnectFailed", reply)
	}
	send(c, addr, node.Call{Op: node.GetObject, IdempotencyKey: "the second"})
	head, tail := sftp.NewVersion(node.ExecExtension, "1").Bytes()
	if _, err := conn.Write(append(head, tail...)); err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(readUntil(t, conn, "the second"), []byte("the first")) {
		t.Error("an aborted call was sent, want only the second call")
	}
}
