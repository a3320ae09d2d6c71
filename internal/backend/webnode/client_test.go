package webnode_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
	"irispost/internal/http1"
	"irispost/internal/testkit"
	"irispost/internal/webstandin"
)

// client is one with so many sockets; change its options before it starts.
func client(t testing.TB, most int, change func(*webnode.Options)) *webnode.Client {
	opt := webnode.Options{Host: "origin.svc", ConnectTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnections: most, Bounds: http1.DefaultLimits,
		MaxLongBody: 250_000, LongBodyBudget: 300_000}
	if change != nil {
		change(&opt)
	}
	c := webnode.NewClient(opt)
	t.Cleanup(c.Close)
	return c
}

func ask(c *webnode.Client, s *webstandin.Node, id string) (node.Attempt, chan node.Reply) {
	done := make(chan node.Reply, 2)
	call := &node.Call{Op: node.PutObject, Name: "/api?extent=00", IdempotencyKey: id, Timeout: time.Second, Data: []byte("+body")}
	return c.Start(s.Addr().String(), call, func(a node.Reply) { done <- a }), done
}

// TestAnyMix has random executions, some called off, over few sockets: each has one outcome, the right one, and is sent once at most, and
// there are never more connections than may be.
func TestAnyMix(t *testing.T) {
	testkit.FixSeeds(t)
	var names []string
	for _, name := range []string{"served", "held", "close", "elsewhere", "oddreport", "hints", "twice", "error", "full", "over", "busy", "reset", "half",
		"noise", "huge", "open", "opencut", "halfline", "halfhead"} {
		names = append(names, name)
	}
	rapid.Check(t, func(r *rapid.T) {
		s, most := webstandin.Start(t), rapid.IntRange(1, 4).Draw(r, "most")
		c := client(t, most, nil)
		type one struct {
			what, id string
			sent     node.Attempt
			done     chan node.Reply
			off      bool
		}
		var all []*one
		for i := range rapid.IntRange(1, 25).Draw(r, "count") {
			o := &one{what: rapid.SampledFrom(names).Draw(r, "kind")}
			o.id = fmt.Sprint(o.what, "-", i)
			o.sent, o.done = ask(c, s, o.id)
			all = append(all, o)
			if rapid.IntRange(0, 3).Draw(r, "off") == 0 {
				off := all[rapid.IntRange(0, len(all)-1).Draw(r, "which")]
				off.sent.Cancel()
				off.off = true
			}
			if open, _ := c.ConnectionCounts(); open > most {
				r.Fatalf("%d connections are open", open)
			}
		}
		close(s.Release)
		for _, o := range all {
			if o.off {
				continue
			}
			a, others := <-o.done, map[bool]float64{true: 3}[o.what == "elsewhere"]
			if k := webstandin.Behaviors[o.what]; a.Outcome != k.Outcome || k.Outcome == node.Executed && (string(a.Data) != o.id+"+body" || a.UnitsElsewhere != others) {
				r.Fatalf("%s: %+v", o.id, a)
			}
		}
		s.Lock()
		defer s.Unlock()
		for _, o := range all {
			if len(o.done) > 0 && !o.off || s.Seen[o.id] > 1 {
				r.Fatalf("%s: sent %d times, %d outcomes more", o.id, s.Seen[o.id], len(o.done))
			}
		}
	})
}

// TestCallOffEndsTheConnection: else the attempt would be out still while another is sent.
func TestCallOffEndsTheConnection(t *testing.T) {
	s, c := webstandin.Start(t), client(t, 10, nil)
	sent, done := ask(c, s, "held-1")
	<-s.WaitingIDs
	sent.Cancel()
	close(s.Release)
	<-s.Disconnected
	if open, _ := c.ConnectionCounts(); open != 0 || len(done) != 0 {
		t.Errorf("%d connections are open, %d answers", open, len(done))
	}
}

// TestLimits: a socket that does not come free, a node that refuses, a connection that nobody uses.
func TestLimits(t *testing.T) {
	s := webstandin.Start(t)
	c := client(t, 1, func(o *webnode.Options) { o.ConnectTimeout = 40 * time.Millisecond })
	_, first := ask(c, s, "held-1")
	<-s.WaitingIDs
	if _, done := ask(c, s, "served-2"); (<-done).Outcome != node.ConnectFailed {
		t.Error("no socket came free, and the outcome is another")
	}
	close(s.Release)
	<-first
	idle := client(t, 1, func(o *webnode.Options) { o.IdleTimeout = 20 * time.Millisecond })
	_, done := ask(idle, s, "served-3")
	<-done
	<-s.Disconnected // it is closed though the node keeps it
	s.Close()
	if _, done := ask(idle, s, "served-4"); (<-done).Outcome != node.ConnectFailed {
		t.Error("a node that refuses, and the outcome is another")
	}
}

// TestLongAnswers: past the bound, an answer of a stated length is taken while there is room for it, which comes back when it is out
// of memory.
func TestLongAnswers(t *testing.T) {
	s, c := webstandin.Start(t), client(t, 10, nil)
	get := func(id string) node.Reply { _, done := ask(c, s, id); return <-done }
	first := get("long-1")
	if first.Outcome != node.Executed || len(first.Data) != 200_000 {
		t.Fatalf("outcome %d, %d bytes", first.Outcome, len(first.Data))
	}
	if a := get("long-2"); a.Outcome != node.Failed {
		t.Errorf("while there is no room: outcome %d", a.Outcome)
	}
	runtime.KeepAlive(first.Data)
	first = node.Reply{}
	for i := 3; get(fmt.Sprint("long-", i)).Outcome != node.Executed; i++ {
		runtime.GC()
	}
}
