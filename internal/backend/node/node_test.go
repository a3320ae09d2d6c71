package node_test

import (
	"net"
	"reflect"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
	"irispost/internal/standin"
)

func client(t *testing.T) *node.Client {
	c := node.NewClient(2*time.Second, 1, sftp.DefaultLimits, nil)
	t.Cleanup(c.Close)
	return c
}

func start(t *testing.T, o standin.Options) *standin.Node {
	t.Helper()
	o.Addr, o.DedupWindow = "127.0.0.1:0", time.Minute
	if o.Store == nil {
		o.Store, _ = standin.NewStore("")
	}
	n, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// patient runs a call again while the node's queue is full.
func patient(c *node.Client, addr string, call node.Call) (a node.Reply) {
	for a.Outcome = node.QueueFull; a.Outcome == node.QueueFull; {
		a = run(c, addr, call)
	}
	return a
}

func run(c *node.Client, addr string, call node.Call) node.Reply {
	done := make(chan node.Reply, 1)
	if call.Timeout == 0 {
		call.Timeout = time.Minute
	}
	c.Start(addr, &call, func(a node.Reply) { done <- a })
	return <-done
}

func TestMessagesComeBack(t *testing.T) {
	c := node.Call{Gateway: "g", RequestID: "g/1:2#3", Attempt: 2, Volume: 9, Units: 1.25, Timeout: 70 * time.Millisecond, Idempotency: 1, OrderingKey: 77,
		Shard: -1, IdempotencyKey: "m", Op: node.PutObject, Name: "o", Owner: "/v/x", Offset: 5, Length: 6, Version: 7}
	r := sftp.NewFields(c.Packet(4).Body())
	r.Uint32()
	r.Text()
	got, err := node.DecodeCall(r)
	if got != nil {
		got.Data = nil
	}
	if err != nil || !reflect.DeepEqual(*got, c) {
		t.Errorf("%+v comes back as %+v, %v", c, got, err)
	}
}

func FuzzCall(f *testing.F) {
	f.Add((&node.Call{RequestID: "j", Op: node.GetObject}).Packet(1).Body())
	f.Add((&node.Reply{Message: "x"}).Packet(1).Body())
	f.Add(node.EncodeItems([]node.ListItem{{Name: "a", Data: []byte("b")}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		node.DecodeCall(sftp.NewFields(b))
		node.DecodeReply(sftp.NewFields(b))
		if items, err := node.DecodeItems(b); err == nil && len(items) > len(b) {
			t.Error("more items than bytes")
		}
	})
}

// Each way for an execution to end is told as what it is; only what is proven is told as never run.
func TestOutcomes(t *testing.T) {
	c := client(t)
	n := start(t, standin.Options{Cores: 1, UnitTime: time.Millisecond, Queue: 1})
	if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Name: "none", Shard: 0, Units: 1}); a.Outcome != node.Executed || a.Status != node.NotFound {
		t.Errorf("an object that is not there: %+v", a)
	}
	if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 5}); a.Outcome != node.WrongShard {
		t.Errorf("another shard's: %+v", a)
	}
	if a := run(c, n.Addr(), node.Call{Op: node.PutObject, Name: "far", Shard: 0, Offset: 1 << 63}); a.Outcome != node.Failed {
		t.Errorf("bytes too far out: %+v", a)
	}
	n.Command("fail 1")
	if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Name: "none", Shard: 0}); a.Outcome != node.Failed {
		t.Errorf("failed: %+v", a)
	}
	n.Command("well")
	n.Command("hang")
	held, called := make(chan node.Reply, 2), make(chan node.Reply, 2)
	first := &node.Call{Op: node.PutObject, Name: "x", Shard: 0, Units: 1, Timeout: time.Minute, Data: []byte("1")}
	sent := c.Start(n.Addr(), first, func(a node.Reply) { called <- a })
	if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); a.Outcome != node.QueueFull {
		t.Errorf("a full queue: %+v", a)
	}
	settle := func() { run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 9}) } // all that was sent before has arrived
	sent.Cancel()
	settle()
	n.Command("well")
	if a := patient(c, n.Addr(), node.Call{Op: node.GetObject, Name: "x", Shard: 0}); a.Status != node.NotFound {
		t.Errorf("what was called off before it began has run: %+v", a)
	}
	n.Command("hang")
	sent = c.Start(n.Addr(), first, func(a node.Reply) { held <- a })
	sent.(*node.PendingCall).Abandon()
	settle()
	n.Command("well")
	for c.LateReplies() == 0 {
		settle()
	}
	if a := patient(c, n.Addr(), node.Call{Op: node.GetObject, Name: "x", Shard: 0, Length: 9}); string(a.Data) != "1" {
		t.Errorf("what was only forgotten has not run: %+v", a)
	}
	if c.LateReplies() != 1 || len(held)+len(called) != 0 {
		t.Errorf("%d late answers counted, %d handed on", c.LateReplies(), len(held)+len(called))
	}
	n.Command("hang")
	out := make(chan node.Reply, 1)
	c.Start(n.Addr(), first, func(a node.Reply) { out <- a })
	n.Command("reset")
	if a := <-out; a.Outcome != node.ConnectionReset && a.Outcome != node.ConnectFailed {
		t.Errorf("a connection that broke: %+v", a)
	}
	n.Command("refuse")
	for range 50 { // whenever in the connection's beginning it is closed
		if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); a.Outcome != node.ConnectFailed {
			t.Errorf("a connection that is closed at once: %+v", a)
		}
	}
	n.Close()
	if a := run(c, n.Addr(), node.Call{Op: node.GetObject, Shard: 0}); a.Outcome != node.ConnectFailed {
		t.Errorf("nobody there: %+v", a)
	}
}

// A node that takes connections and says nothing, or does not offer what is needed, is not connected.
func TestNoGreeting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Write([]byte{0, 0, 0, 5, 2, 0, 0, 0, 3}) // VERSION without extensions
		}
	}()
	if a := run(client(t), l.Addr().String(), node.Call{Op: node.GetObject}); a.Outcome != node.ConnectFailed {
		t.Errorf("%+v", a)
	}
}

// A referenced job's repeat is answered as the first was, and changes nothing; the store comes back from its folder.
func TestMarksAndFolder(t *testing.T) {
	dir := t.TempDir()
	store, err := standin.NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	n, c := start(t, standin.Options{Store: store}), client(t)
	swap := node.Call{Op: node.CompareAndSwapRecord, Idempotency: 1, IdempotencyKey: "m", Name: "/v/x", Shard: 0, Data: []byte("one")}
	a, b := run(c, n.Addr(), swap), run(c, n.Addr(), swap)
	if a.Status != node.OK || a.Version == 0 || b.Version != a.Version || b.Status != node.OK {
		t.Errorf("%+v, again %+v", a, b)
	}
	swap.IdempotencyKey = "other"
	if d := run(c, n.Addr(), swap); d.Status != node.VersionConflict || d.Version != a.Version || string(d.Data) != "one" {
		t.Errorf("another's change: %+v", d)
	}
	run(c, n.Addr(), node.Call{Op: node.PutObject, Name: "o", Owner: "/v/x", Shard: 0, Offset: 2, Data: []byte("zz")})
	again, err := standin.NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	m := start(t, standin.Options{Store: again})
	if d := run(c, m.Addr(), node.Call{Op: node.GetRecord, Name: "/v/x", Shard: 0}); d.Version != a.Version || string(d.Data) != "one" {
		t.Errorf("the record comes back as %+v", d)
	}
	if d := run(c, m.Addr(), node.Call{Op: node.GetObject, Name: "o", Shard: 0, Length: 10}); string(d.Data) != "\x00\x00zz" {
		t.Errorf("the object comes back as %+v", d)
	}
}
