package webnode_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
)

// scriptedNode is a node whose side of each connection the test controls step by step.
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

// respond sends a response with status 200. It ignores errors, since the client may have closed the connection.
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
		t.Errorf("reply %+v, want data %q", reply, data)
	}
}

func expectConnectFailed(t *testing.T, done <-chan node.Reply, what string) {
	t.Helper()
	if reply := <-done; reply.Outcome != node.ConnectFailed {
		t.Errorf("%s: reply %+v, want outcome ConnectFailed", what, reply)
	}
}

// TestSecondResponseIsNotNextAttempts: a second response that a node sends some milliseconds after the first must not
// be taken for the response to the next attempt.
func TestSecondResponseIsNotNextAttempts(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, func(o *webnode.Options) { o.ReuseDelay = time.Hour })
	_, firstDone := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	first := n.accept()
	first.readRequest()
	first.respond("a's")
	expectData(t, firstDone, "a's")
	_, secondDone := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	second := n.accept() // not on the connection that has just received a response
	second.readRequest()
	first.respond("a's again")
	if first.readRequest() != nil {
		t.Error("the connection that received a second response was reused, want it closed")
	}
	second.respond("b's")
	expectData(t, secondDone, "b's")
}

// TestHeadersReachNode: a call's header fields reach the node unchanged.
func TestHeadersReachNode(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	startGet(c, n, node.Call{
		IdempotencyKey: "a",
		Timeout:        time.Minute,
		Headers:        []string{"idempotency-key", "k 1", "x-other", ""},
	})
	header := n.accept().readRequest().Header
	if header.Get("Idempotency-Key") != "k 1" || len(header["X-Other"]) != 1 || header.Get("X-Request-Id") != "a" {
		t.Errorf("header %v, want Idempotency-Key \"k 1\", one X-Other and X-Request-Id \"a\"", header)
	}
}

// TestIdleConnectionIsReused: consecutive attempts use one connection.
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
		t.Errorf("%d connections open, %d idle, want 1 and 1", open, idle)
	}
}

// TestTimeoutsCountFromStart: the time that dialing takes is subtracted from the deadline that is sent to the node.
// An attempt whose timeout passes while dialing is not sent.
func TestTimeoutsCountFromStart(t *testing.T) {
	const dialTime = 20 * time.Millisecond // minimum time of a dial
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(dialTime)
		return net.Dial(network, addr)
	})
	startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Hour, StartWithin: time.Minute})
	request := n.accept().readRequest()
	millis, err := strconv.ParseInt(request.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || millis > (time.Hour-dialTime).Milliseconds() || millis < time.Minute.Milliseconds() {
		t.Errorf("the node's deadline is %d ms, error %v, want at most one hour less the dial time", millis, err)
	}
	for what, call := range map[string]node.Call{
		"start":   {Timeout: time.Hour, StartWithin: dialTime},
		"timeout": {Timeout: dialTime},
	} {
		call.IdempotencyKey = "b"
		_, done := startGet(c, n, call)
		conn := n.accept()
		expectConnectFailed(t, done, "too late for the "+what)
		c.Retain(nil) // closes the connection, which is idle now
		if conn.readRequest() != nil {
			t.Errorf("too late for the %s: the request was sent", what)
		}
	}
}

// TestAbortQueuedFailsWhatHasNotBegun: when a node must get no new requests, attempts that wait for a connection to
// it fail and are not sent later. Attempts in flight continue.
func TestAbortQueuedFailsWhatHasNotBegun(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 2, nil)
	_, inFlight := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	first := n.accept()
	first.readRequest()
	mayConnect := make(chan bool)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		<-mayConnect // succeeds in the end, even if the context is cancelled
		return net.Dial(network, addr)
	})
	_, dialing := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	_, waiting := startGet(c, n, node.Call{IdempotencyKey: "c", Timeout: time.Minute})
	c.AbortQueued(func(addr string) bool { return addr != n.Addr().String() })
	if len(dialing)+len(waiting) > 0 {
		t.Error("an attempt at a node that is not excluded has ended, want it to continue")
	}
	c.AbortQueued(func(addr string) bool { return addr == n.Addr().String() })
	expectConnectFailed(t, waiting, "waiting for a free connection")
	close(mayConnect)
	if n.accept().readRequest() != nil {
		t.Error("an aborted attempt was sent when its dial ended")
	}
	expectConnectFailed(t, dialing, "waiting for its connection")
	first.respond("a's")
	expectData(t, inFlight, "a's")
}

// TestCancelBeforeWriteSendsNothing cancels an attempt while it is dialing and one between dial and write: nothing is
// written, and no outcome is reported.
func TestCancelBeforeWriteSendsNothing(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 10, nil)
	toCancel := make(chan node.Attempt)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		(<-toCancel).Cancel() // after the connection is open and before the write
		return conn, err
	})
	connected, connectedDone := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	toCancel <- connected
	if n.accept().readRequest() != nil {
		t.Error("an attempt that was cancelled before the write was sent")
	}
	webnode.SetDial(c, func(ctx context.Context, _, _ string) (net.Conn, error) { // never succeeds
		<-ctx.Done()
		return nil, ctx.Err()
	})
	dialing, dialingDone := startGet(c, n, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	dialing.Cancel() // also cancels the dial
	for open := 1; open > 0; open, _ = c.ConnectionCounts() {
		time.Sleep(time.Millisecond)
	}
	if len(connectedDone)+len(dialingDone) > 0 {
		t.Error("a cancelled attempt has an outcome, want none")
	}
}

// TestWithdrawnAttemptIsNotSent guards against requests that reach a node after their final answer. An attempt that
// waits for a connection, that is dialing, or whose request is written in part never arrives; one that was sent goes on.
func TestWithdrawnAttemptIsNotSent(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 1, nil)
	sent, sentDone := startGet(c, n, node.Call{IdempotencyKey: "sent", Timeout: time.Minute})
	conn := n.accept()
	conn.readRequest()
	for webnode.IsWriting(sent) { // the node can have the request before the write has returned
		time.Sleep(time.Millisecond)
	}
	waiting, waitingDone := startGet(c, n, node.Call{IdempotencyKey: "waiting", Timeout: time.Minute})
	if !waiting.Withdraw() || sent.Withdraw() {
		t.Error("Withdraw: want true for the attempt that waits for a connection, false for the one that was sent")
	}
	conn.respond("data")
	expectData(t, sentDone, "data")
	conn.respond("nobody waits for this") // makes the client close the connection
	for open := 1; open > 0; open, _ = c.ConnectionCounts() {
		time.Sleep(time.Millisecond)
	}
	dialed, proceed := make(chan bool), make(chan bool)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		dialed <- true
		<-proceed
		return conn, err
	})
	dialing, dialingDone := startGet(c, n, node.Call{IdempotencyKey: "dialing", Timeout: time.Minute})
	<-dialed
	if !dialing.Withdraw() {
		t.Error("Withdraw: want true while dialing")
	}
	proceed <- true
	if n.accept().readRequest() != nil {
		t.Error("an attempt that was withdrawn while its connection was opened has been sent")
	}
	if len(waitingDone)+len(dialingDone) > 0 {
		t.Error("a withdrawn attempt has an outcome, want none")
	}
}

// TestWithdrawCutsOffPartialWrite: a node that has part of a request never gets the rest after the request's final
// answer, and the attempt is known not to have run.
func TestWithdrawCutsOffPartialWrite(t *testing.T) {
	n, c := newScriptedNode(t), newClient(t, 1, nil)
	writing, done := startGet(c, n, node.Call{IdempotencyKey: "a", Timeout: time.Minute, Op: node.PutObject,
		Headers: []string{"x-long", strings.Repeat("x", 64<<20)}}) // more than the sockets buffer
	conn := n.accept()
	if _, err := conn.in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if writing.Withdraw() {
		t.Error("Withdraw: want false for an attempt of which the node has a part")
	}
	expectConnectFailed(t, done, "an attempt that was cut off")
	if _, err := io.Copy(io.Discard, conn.in); err == nil {
		return // the connection has ended
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
}
