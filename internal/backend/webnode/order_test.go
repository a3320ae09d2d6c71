package webnode_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
)

// scriptedNode is a node whose connections the test handles step by step.
type scriptedNode struct {
	net.Listener
	t testing.TB
}

func newScriptedNode(t testing.TB) *scriptedNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &scriptedNode{l, t}
}

// scriptedConn is the node's side of a connection.
type scriptedConn struct {
	net.Conn
	in *bufio.Reader
}

func (n *scriptedNode) accept() *scriptedConn {
	n.t.Helper()
	c, err := n.Accept()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	return &scriptedConn{c, bufio.NewReader(c)}
}

// readRequest reads a request; it returns nil if the connection ended without one.
func (c *scriptedConn) readRequest() *http.Request {
	request, err := http.ReadRequest(c.in)
	if err != nil {
		return nil
	}
	return request
}

// respond answers 200. The client may have closed the connection already.
func (c *scriptedConn) respond(body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func startGet(c *webnode.Client, n *scriptedNode, call node.Call) (node.Attempt, chan node.Reply) {
	done := make(chan node.Reply, 2)
	call.Op, call.Name = node.GetObject, "/api?extent=00"
	return c.Start(n.Addr().String(), &call, func(reply node.Reply) { done <- reply }), done
}

func expectData(t *testing.T, done <-chan node.Reply, data string) {
	t.Helper()
	if reply := <-done; string(reply.Data) != data {
		t.Errorf("%+v, want data %q", reply, data)
	}
}

func expectConnectFailed(t *testing.T, done <-chan node.Reply, what string) {
	t.Helper()
	if reply := <-done; reply.Outcome != node.ConnectFailed {
		t.Errorf("%s: %+v", what, reply)
	}
}

// TestSecondResponseIsNotNextAttempts: a node may send a second response some milliseconds after the first, which must
// not be taken for the next attempt's.
func TestSecondResponseIsNotNextAttempts(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, func(o *webnode.Options) { o.ReuseDelay = time.Hour })
	_, firstDone := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	first := n.accept()
	first.readRequest()
	first.respond("a's")
	expectData(t, firstDone, "a's")
	_, secondDone := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	second := n.accept() // not on the one that has just brought a response
	second.readRequest()
	first.respond("a's again")
	if first.readRequest() != nil {
		t.Error("the connection that brought a second response is reused")
	}
	second.respond("b's")
	expectData(t, secondDone, "b's")
}

// TestHeadersReachNode: further fields of a call reach the node as they are.
func TestHeadersReachNode(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	startGet(c, n, node.Call{
		IdempotencyKey: "a",
		Timeout:        time.Minute,
		Headers:        []string{"idempotency-key", "k 1", "x-other", ""},
	})
	header := n.accept().readRequest().Header
	if header.Get("Idempotency-Key") != "k 1" || len(header["X-Other"]) != 1 || header.Get("X-Request-Id") != "a" {
		t.Errorf("%v", header)
	}
}

// TestIdleConnectionIsReused: attempts one after the other use one connection.
func TestIdleConnectionIsReused(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	for i := range 3 {
		_, done := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
		if i == 0 {
			conn := n.accept()
			defer func() { _ = n.Close() }()
			go func() {
				for conn.readRequest() != nil {
					conn.respond("x")
				}
			}()
		}
		<-done
	}
	if open, idle := c.ConnectionCounts(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// TestTimeoutsCountFromStart: the time that a connection takes to come up is taken off the deadline that the node gets,
// and past the timeout nothing is sent.
func TestTimeoutsCountFromStart(t *testing.T) {
	const dialTime = 20 * time.Millisecond // at least
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(dialTime)
		return net.Dial(network, addr)
	})
	startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Hour, StartWithin: time.Minute})
	request := n.accept().readRequest()
	millis, err := strconv.ParseInt(request.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || millis > (time.Hour-dialTime).Milliseconds() || millis < time.Minute.Milliseconds() {
		t.Errorf("the node's deadline is %d ms, %v", millis, err)
	}
	for what, call := range map[string]node.Call{
		"start":   {Timeout: time.Hour, StartWithin: dialTime},
		"timeout": {Timeout: dialTime},
	} {
		call.IdempotencyKey = "b"
		_, done := startGet(c, n, call)
		conn := n.accept()
		expectConnectFailed(t, done, "too late for the "+what)
		c.Retain(nil) // closes the connection, which is idle
		if conn.readRequest() != nil {
			t.Errorf("too late for the %s: it was sent", what)
		}
	}
}

// TestAbortQueuedFailsWhatHasNotBegun: attempts that wait for a connection to a node fail at once when it must get no
// new requests, and are not sent later; those in flight go on.
func TestAbortQueuedFailsWhatHasNotBegun(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 2, nil)
	_, inFlight := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	first := n.accept()
	first.readRequest()
	mayConnect := make(chan bool)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		<-mayConnect // it comes up in the end, whatever the context says
		return net.Dial(network, addr)
	})
	_, dialing := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	_, waiting := startGet(c, n, node.Call{IdempotencyKey: "c", Timeout: time.Minute})
	c.AbortQueued(func(addr string) bool { return addr != n.Addr().String() })
	if len(dialing)+len(waiting) > 0 {
		t.Error("an attempt at a node that stays has ended")
	}
	c.AbortQueued(func(addr string) bool { return addr == n.Addr().String() })
	expectConnectFailed(t, waiting, "waiting for a free connection")
	close(mayConnect)
	if n.accept().readRequest() != nil {
		t.Error("it was sent on a connection that came up late")
	}
	expectConnectFailed(t, dialing, "waiting for its connection")
	first.respond("a's")
	expectData(t, inFlight, "a's")
}

// TestCancelBeforeWriteSendsNothing cancels an attempt at each step before its bytes are sent: nothing is written, and
// no outcome is reported.
func TestCancelBeforeWriteSendsNothing(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	toCancel := make(chan node.Attempt)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		(<-toCancel).Cancel() // between the connection and the write
		return conn, err
	})
	connected, connectedDone := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	toCancel <- connected
	if n.accept().readRequest() != nil {
		t.Error("cancelled before the write, it was sent")
	}
	webnode.SetDial(c, func(ctx context.Context, _, _ string) (net.Conn, error) { // never comes up
		<-ctx.Done()
		return nil, ctx.Err()
	})
	dialing, dialingDone := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	dialing.Cancel() // its dial ends with it
	for open := 1; open > 0; open, _ = c.ConnectionCounts() {
		time.Sleep(time.Millisecond)
	}
	if len(connectedDone)+len(dialingDone) > 0 {
		t.Error("a cancelled attempt has an outcome")
	}
}
