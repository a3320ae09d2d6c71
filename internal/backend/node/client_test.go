package node_test

import (
	"net"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
	"irispost/internal/standin"
)

// newClient returns a client that opens at most one connection to a node.
func newClient(t *testing.T) *node.Client {
	t.Helper()
	c := node.NewClient(2*time.Second, 1, sftp.DefaultLimits, nil)
	t.Cleanup(c.Close)
	return c
}

// startNode starts a stand-in node on loopback.
func startNode(t *testing.T, o standin.Options) *standin.Node {
	t.Helper()
	o.Addr, o.DedupWindow = "127.0.0.1:0", time.Minute
	if o.Store == nil {
		o.Store = openStore(t, "")
	}
	n, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// openStore opens a stand-in node's store in dir, or in memory if dir is empty.
func openStore(t *testing.T, dir string) *standin.Store {
	t.Helper()
	store, err := standin.NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// startBusyNode starts a node that runs one call at a time and queues at most one more.
func startBusyNode(t *testing.T) *standin.Node {
	t.Helper()
	return startNode(t, standin.Options{Cores: 1, UnitTime: time.Millisecond, Queue: 1})
}

// setFault sets a fault at a stand-in node; "well" clears all faults.
func setFault(t *testing.T, n *standin.Node, fault string) {
	t.Helper()
	if err := n.Command(fault); err != nil {
		t.Fatal(err)
	}
}

// send starts a call and returns the attempt and a channel that receives its reply.
func send(c *node.Client, addr string, call node.Call) (node.Attempt, chan node.Reply) {
	done := make(chan node.Reply, 1)
	if call.Timeout == 0 {
		call.Timeout = time.Minute
	}
	return c.Start(addr, &call, func(reply node.Reply) { done <- reply }), done
}

// run starts a call and waits for its reply.
func run(c *node.Client, addr string, call node.Call) node.Reply {
	_, done := send(c, addr, call)
	return <-done
}

// runWithRetries repeats a call until the node's queue has room for it.
func runWithRetries(c *node.Client, addr string, call node.Call) node.Reply {
	for {
		if reply := run(c, addr, call); reply.Outcome != node.QueueFull {
			return reply
		}
	}
}

// awaitDelivery returns when the node has received all packets that were sent before. Its own call never runs,
// because the node does not hold shard 9.
func awaitDelivery(c *node.Client, addr string) {
	run(c, addr, node.Call{Op: node.GetObject, Shard: 9})
}

// writeOneByte is a call that writes one byte to the object x.
var writeOneByte = node.Call{Op: node.PutObject, Name: "x", Shard: 0, Units: 1, Timeout: time.Minute, Data: []byte("1")}

// swapRecord is a call that creates the record /v/x.
var swapRecord = node.Call{Op: node.CompareAndSwapRecord, Idempotency: 1, IdempotencyKey: "m", Name: "/v/x", Shard: 0,
	Data: []byte("one")}

func TestOutcomesThatANodeReplies(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	for name, test := range map[string]struct {
		call    node.Call
		outcome node.Outcome
		status  node.Status
	}{
		"object that does not exist": {node.Call{Op: node.GetObject, Name: "none", Units: 1}, node.Executed, node.NotFound},
		"another shard's object":     {node.Call{Op: node.GetObject, Shard: 5}, node.WrongShard, node.OK},
		"offset too far out":         {node.Call{Op: node.PutObject, Name: "far", Offset: 1 << 63}, node.Failed, node.OK},
	} {
		if reply := run(c, n.Addr(), test.call); reply.Outcome != test.outcome || reply.Status != test.status {
			t.Errorf("%s: reply %+v, want the outcome and status of the case", name, reply)
		}
	}
	setFault(t, n, "fail 1")
	if reply := run(c, n.Addr(), node.Call{Op: node.GetObject, Name: "none", Shard: 0}); reply.Outcome != node.Failed {
		t.Errorf("node that fails all calls: reply %+v, want outcome Failed", reply)
	}
}

func TestFullQueueIsReplied(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "hang")
	send(c, n.Addr(), writeOneByte)
	awaitDelivery(c, n.Addr())
	if reply := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); reply.Outcome != node.QueueFull {
		t.Errorf("full queue: reply %+v, want outcome QueueFull", reply)
	}
}

func TestCancelledCallDoesNotRun(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "hang")
	attempt, done := send(c, n.Addr(), writeOneByte)
	awaitDelivery(c, n.Addr())
	attempt.Cancel()
	awaitDelivery(c, n.Addr())
	setFault(t, n, "well")
	reply := runWithRetries(c, n.Addr(), node.Call{Op: node.GetObject, Name: "x", Shard: 0})
	if reply.Status != node.NotFound {
		t.Errorf("object of a write that was cancelled before it began: %+v, want status NotFound", reply)
	}
	if c.LateReplies() != 0 || len(done) != 0 {
		t.Errorf("%d late replies and %d replies to the caller, want 0 and 0", c.LateReplies(), len(done))
	}
}

func TestAbandonedCallRunsAndItsReplyIsLate(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "hang")
	attempt, done := send(c, n.Addr(), writeOneByte)
	awaitDelivery(c, n.Addr())
	attempt.(*node.PendingCall).Abandon()
	awaitDelivery(c, n.Addr())
	setFault(t, n, "well")
	for c.LateReplies() == 0 {
		awaitDelivery(c, n.Addr())
	}
	reply := runWithRetries(c, n.Addr(), node.Call{Op: node.GetObject, Name: "x", Shard: 0, Length: 9})
	if string(reply.Data) != "1" {
		t.Errorf("object of an abandoned write: reply %+v, want data \"1\"", reply)
	}
	if c.LateReplies() != 1 || len(done) != 0 {
		t.Errorf("%d late replies and %d replies to the caller, want 1 and 0", c.LateReplies(), len(done))
	}
}

func TestBrokenConnectionEndsItsCall(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "hang")
	_, done := send(c, n.Addr(), writeOneByte)
	awaitDelivery(c, n.Addr())
	setFault(t, n, "reset")
	if reply := <-done; reply.Outcome != node.ConnectionReset {
		t.Errorf("broken connection: reply %+v, want outcome ConnectionReset", reply)
	}
}

func TestConnectionThatIsClosedAtOnceProvesThatNothingRan(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "refuse")
	for range 50 { // the node may close the connection at different moments of the connection setup
		if reply := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); reply.Outcome != node.ConnectFailed {
			t.Errorf("connection closed at once: reply %+v, want outcome ConnectFailed", reply)
		}
	}
}

func TestNodeThatDoesNotListenIsConnectFailed(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	n.Close()
	if reply := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); reply.Outcome != node.ConnectFailed {
		t.Errorf("node that does not listen: reply %+v, want outcome ConnectFailed", reply)
	}
}

func TestNodeThatDoesNotOfferTheExtensionIsConnectFailed(t *testing.T) {
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte{0, 0, 0, 5, 2, 0, 0, 0, 3}) // VERSION without extensions; the client may be gone
		}
	}()
	reply := run(newClient(t), listener.Addr().String(), node.Call{Op: node.GetObject})
	if reply.Outcome != node.ConnectFailed {
		t.Errorf("node without the extension: reply %+v, want outcome ConnectFailed", reply)
	}
}

func TestRepeatWithItsIdempotencyKeyChangesNothing(t *testing.T) {
	c, n := newClient(t), startNode(t, standin.Options{})
	swap := swapRecord
	first, second := run(c, n.Addr(), swap), run(c, n.Addr(), swap)
	if first.Status != node.OK || first.Version == 0 || second.Version != first.Version || second.Status != node.OK {
		t.Errorf("first reply %+v, repeat %+v, want status OK and one version for both", first, second)
	}
	swap.IdempotencyKey = "other"
	reply := run(c, n.Addr(), swap)
	if reply.Status != node.VersionConflict || reply.Version != first.Version || string(reply.Data) != "one" {
		t.Errorf("swap with another key: reply %+v, want a conflict with the record of the first swap", reply)
	}
}

func TestStoreComesBackFromItsFolder(t *testing.T) {
	dir := t.TempDir()
	c, n := newClient(t), startNode(t, standin.Options{Store: openStore(t, dir)})
	swap := swapRecord
	swapped := run(c, n.Addr(), swap)
	run(c, n.Addr(), node.Call{Op: node.PutObject, Name: "o", Owner: "/v/x", Shard: 0, Offset: 2, Data: []byte("zz")})
	restarted := startNode(t, standin.Options{Store: openStore(t, dir)})
	record := run(c, restarted.Addr(), node.Call{Op: node.GetRecord, Name: "/v/x", Shard: 0})
	if swapped.Version == 0 || record.Version != swapped.Version || string(record.Data) != "one" {
		t.Errorf("the record after a restart: %+v, want the version and data of the swap", record)
	}
	object := run(c, restarted.Addr(), node.Call{Op: node.GetObject, Name: "o", Shard: 0, Length: 10})
	if string(object.Data) != "\x00\x00zz" {
		t.Errorf("the object after a restart: %+v, want data \"\\x00\\x00zz\"", object)
	}
}

// TestWithdrawnCallIsNotSent guards against calls that reach a node after their request's final answer: a call that
// waits for its connection can be withdrawn, one that was sent cannot.
func TestWithdrawnCallIsNotSent(t *testing.T) {
	c, n := newClient(t), startBusyNode(t)
	setFault(t, n, "hang")
	sent, _ := send(c, n.Addr(), writeOneByte)
	awaitDelivery(c, n.Addr())
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never greets, so calls wait
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	waiting, done := send(c, silent.Addr().String(), writeOneByte)
	if !waiting.Withdraw() || sent.Withdraw() {
		t.Error("Withdraw: want true for the call that waits for its connection, false for the one that was sent")
	}
	c.Close()
	if len(done) != 0 {
		t.Error("a withdrawn call has a reply, want none")
	}
}
