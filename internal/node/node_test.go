package node_test

import (
	"net"
	"reflect"
	"testing"
	"time"

	"irispost/internal/node"
	"irispost/internal/sftp"
	"irispost/internal/standin"
)

func client(t *testing.T) *node.Client {
	c := node.NewClient(2*time.Second, 1, sftp.DefaultBounds, nil)
	t.Cleanup(c.Close)
	return c
}

func start(t *testing.T, o standin.Options) *standin.Node {
	t.Helper()
	o.Addr, o.Marks = "127.0.0.1:0", time.Minute
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
func patient(c *node.Client, addr string, call node.Call) (a node.Answer) {
	for a.Outcome = node.Full; a.Outcome == node.Full; {
		a = run(c, addr, call)
	}
	return a
}

func run(c *node.Client, addr string, call node.Call) node.Answer {
	done := make(chan node.Answer, 1)
	if call.Left == 0 {
		call.Left = time.Minute
	}
	c.Start(addr, &call, func(a node.Answer) { done <- a })
	return <-done
}

func TestMessagesComeBack(t *testing.T) {
	c := node.Call{Gateway: "g", Job: "g/1:2#3", Number: 2, Volume: 9, Units: 1.25, Left: 70 * time.Millisecond, Kind: 1, Key: 77,
		Shard: -1, Mark: "m", Op: node.Put, Name: "o", Owner: "/v/x", Offset: 5, Length: 6, Version: 7}
	r := sftp.NewFields(c.Packet(4).Body())
	r.Uint32()
	r.Text()
	got, err := node.ReadCall(r)
	if got != nil {
		got.Data = nil
	}
	if err != nil || !reflect.DeepEqual(*got, c) {
		t.Errorf("%+v comes back as %+v, %v", c, got, err)
	}
}

func FuzzCall(f *testing.F) {
	f.Add((&node.Call{Job: "j", Op: node.Get}).Packet(1).Body())
	f.Add((&node.Answer{Text: "x"}).Packet(1).Body())
	f.Add(node.PutItems([]node.Item{{Name: "a", Data: []byte("b")}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		node.ReadCall(sftp.NewFields(b))
		node.ReadAnswer(sftp.NewFields(b))
		if items, err := node.GetItems(b); err == nil && len(items) > len(b) {
			t.Error("more items than bytes")
		}
	})
}

// Each way for an execution to end is told as what it is; only what is proven is told as never run.
func TestOutcomes(t *testing.T) {
	c := client(t)
	n := start(t, standin.Options{Cores: 1, Unit: time.Millisecond, Queue: 1})
	if a := run(c, n.Addr(), node.Call{Op: node.Get, Name: "none", Shard: 0, Units: 1}); a.Outcome != node.Served || a.Code != node.None {
		t.Errorf("an object that is not there: %+v", a)
	}
	if a := run(c, n.Addr(), node.Call{Op: node.Get, Shard: 5}); a.Outcome != node.Moot {
		t.Errorf("another shard's: %+v", a)
	}
	if a := run(c, n.Addr(), node.Call{Op: node.Put, Name: "far", Shard: 0, Offset: 1 << 63}); a.Outcome != node.Erred {
		t.Errorf("bytes too far out: %+v", a)
	}
	n.Command("fail 1")
	if a := run(c, n.Addr(), node.Call{Op: node.Get, Name: "none", Shard: 0}); a.Outcome != node.Erred {
		t.Errorf("failed: %+v", a)
	}
	n.Command("well")
	n.Command("hang")
	held, called := make(chan node.Answer, 2), make(chan node.Answer, 2)
	first := &node.Call{Op: node.Put, Name: "x", Shard: 0, Units: 1, Left: time.Minute, Data: []byte("1")}
	sent := c.Start(n.Addr(), first, func(a node.Answer) { called <- a })
	if a := run(c, n.Addr(), node.Call{Op: node.Get, Shard: 0}); a.Outcome != node.Full {
		t.Errorf("a full queue: %+v", a)
	}
	settle := func() { run(c, n.Addr(), node.Call{Op: node.Get, Shard: 9}) } // all that was sent before has arrived
	sent.CallOff()
	settle()
	n.Command("well")
	if a := patient(c, n.Addr(), node.Call{Op: node.Get, Name: "x", Shard: 0}); a.Code != node.None {
		t.Errorf("what was called off before it began has run: %+v", a)
	}
	n.Command("hang")
	sent = c.Start(n.Addr(), first, func(a node.Answer) { held <- a })
	sent.(*node.Sent).Forget()
	settle()
	n.Command("well")
	for c.Late() == 0 {
		settle()
	}
	if a := patient(c, n.Addr(), node.Call{Op: node.Get, Name: "x", Shard: 0, Length: 9}); string(a.Data) != "1" {
		t.Errorf("what was only forgotten has not run: %+v", a)
	}
	if c.Late() != 1 || len(held)+len(called) != 0 {
		t.Errorf("%d late answers counted, %d handed on", c.Late(), len(held)+len(called))
	}
	n.Command("hang")
	out := make(chan node.Answer, 1)
	c.Start(n.Addr(), first, func(a node.Answer) { out <- a })
	n.Command("reset")
	if a := <-out; a.Outcome != node.Reset && a.Outcome != node.Unconnected {
		t.Errorf("a connection that broke: %+v", a)
	}
	n.Command("refuse")
	for range 50 { // whenever in the connection's beginning it is closed
		if a := run(c, n.Addr(), node.Call{Op: node.Get, Shard: 0}); a.Outcome != node.Unconnected {
			t.Errorf("a connection that is closed at once: %+v", a)
		}
	}
	n.Close()
	if a := run(c, n.Addr(), node.Call{Op: node.Get, Shard: 0}); a.Outcome != node.Unconnected {
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
	if a := run(client(t), l.Addr().String(), node.Call{Op: node.Get}); a.Outcome != node.Unconnected {
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
	swap := node.Call{Op: node.Swap, Kind: 1, Mark: "m", Name: "/v/x", Shard: 0, Data: []byte("one")}
	a, b := run(c, n.Addr(), swap), run(c, n.Addr(), swap)
	if a.Code != node.Done || a.Version == 0 || b.Version != a.Version || b.Code != node.Done {
		t.Errorf("%+v, again %+v", a, b)
	}
	swap.Mark = "other"
	if d := run(c, n.Addr(), swap); d.Code != node.Conflict || d.Version != a.Version || string(d.Data) != "one" {
		t.Errorf("another's change: %+v", d)
	}
	run(c, n.Addr(), node.Call{Op: node.Put, Name: "o", Owner: "/v/x", Shard: 0, Offset: 2, Data: []byte("zz")})
	again, err := standin.NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	m := start(t, standin.Options{Store: again})
	if d := run(c, m.Addr(), node.Call{Op: node.Look, Name: "/v/x", Shard: 0}); d.Version != a.Version || string(d.Data) != "one" {
		t.Errorf("the record comes back as %+v", d)
	}
	if d := run(c, m.Addr(), node.Call{Op: node.Get, Name: "o", Shard: 0, Length: 10}); string(d.Data) != "\x00\x00zz" {
		t.Errorf("the object comes back as %+v", d)
	}
}
