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

// newClient starts a client of at most maxConnections connections. change, if not nil, alters its options.
func newClient(t testing.TB, maxConnections int, change func(*webnode.Options)) *webnode.Client {
	t.Helper()
	opt := webnode.Options{
		Host:           "origin.svc",
		ConnectTimeout: time.Minute,
		IdleTimeout:    time.Minute,
		MaxConnections: maxConnections,
		ResponseLimits: http1.DefaultLimits,
		MaxLongBody:    250_000,
		LongBodyBudget: 300_000,
	}
	if change != nil {
		change(&opt)
	}
	c := webnode.NewClient(opt)
	t.Cleanup(c.Close)
	return c
}

// startPut starts an attempt at a stand-in node. The part of id before the "-" selects what the node does.
func startPut(c *webnode.Client, s *webstandin.Node, id string) (node.Attempt, chan node.Reply) {
	done := make(chan node.Reply, 2)
	call := &node.Call{
		Op:             node.PutObject,
		Name:           "/api?extent=00",
		IdempotencyKey: id,
		Timeout:        time.Second,
		Data:           []byte("+body"),
	}
	return c.Start(s.Addr().String(), call, func(reply node.Reply) { done <- reply }), done
}

// randomAttempt is an attempt; kind selects what the node does.
type randomAttempt struct {
	kind, id  string
	attempt   node.Attempt
	done      chan node.Reply
	cancelled bool
}

// check waits for the reply to the attempt and compares it with the one expected for its kind.
func (a *randomAttempt) check(r *rapid.T) {
	reply := <-a.done
	want := webstandin.Behaviors[a.kind].Outcome
	if reply.Outcome != want {
		r.Fatalf("%s: reply %+v, want outcome %d", a.id, reply, want)
	}
	unitsElsewhere := 0.0
	if a.kind == "elsewhere" {
		unitsElsewhere = 3
	}
	if want == node.Executed && (string(reply.Data) != a.id+"+body" || reply.UnitsElsewhere != unitsElsewhere) {
		r.Fatalf("%s: reply %+v, want the request's id and body as data, and units elsewhere only for kind elsewhere",
			a.id, reply)
	}
}

// startRandomAttempts starts attempts, cancels some, and checks that there are never more connections than allowed.
func startRandomAttempts(r *rapid.T, c *webnode.Client, s *webstandin.Node, maxConnections int) (all []*randomAttempt) {
	kinds := []string{"served", "held", "close", "elsewhere", "oddreport", "hints", "twice", "error", "full", "over",
		"busy", "reset", "half", "noise", "huge", "open", "opencut", "halfline", "halfhead"}
	for i := range rapid.IntRange(1, 25).Draw(r, "count") {
		a := &randomAttempt{kind: rapid.SampledFrom(kinds).Draw(r, "kind")}
		a.id = fmt.Sprint(a.kind, "-", i)
		a.attempt, a.done = startPut(c, s, a.id)
		all = append(all, a)
		if rapid.IntRange(0, 3).Draw(r, "cancel") == 0 {
			cancelled := all[rapid.IntRange(0, len(all)-1).Draw(r, "which")]
			cancelled.attempt.Cancel()
			cancelled.cancelled = true
		}
		if open, _ := c.ConnectionCounts(); open > maxConnections {
			r.Fatalf("%d connections are open, want at most %d", open, maxConnections)
		}
	}
	return all
}

// TestRandomAttemptsHaveOneOutcome starts random attempts over a few connections and cancels some. Each other attempt
// has exactly one outcome, the expected one, and every attempt is sent at most once.
func TestRandomAttemptsHaveOneOutcome(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(r *rapid.T) {
		s := webstandin.Start(t)
		maxConnections := rapid.IntRange(1, 4).Draw(r, "connections")
		all := startRandomAttempts(r, newClient(t, maxConnections, nil), s, maxConnections)
		close(s.Release)
		for _, a := range all {
			if !a.cancelled {
				a.check(r)
			}
		}
		s.Lock()
		defer s.Unlock()
		for _, a := range all {
			if len(a.done) > 0 && !a.cancelled || s.ReceivedCounts[a.id] > 1 {
				r.Fatalf("%s: sent %d times, %d further outcomes, want <= 1 and 0", a.id, s.ReceivedCounts[a.id], len(a.done))
			}
		}
	})
}

// TestCancelClosesConnection: a cancelled attempt closes its connection. Otherwise the next attempt could be sent on
// it while the cancelled one is still in flight.
func TestCancelClosesConnection(t *testing.T) {
	s, c := webstandin.Start(t), newClient(t, 10, nil)
	attempt, done := startPut(c, s, "held-1")
	<-s.WaitingIDs
	attempt.Cancel()
	close(s.Release)
	<-s.Disconnected
	if open, _ := c.ConnectionCounts(); open != 0 || len(done) != 0 {
		t.Errorf("%d connections are open, %d replies, want none", open, len(done))
	}
}

// TestConnectAndIdleTimeouts: an attempt fails if no connection becomes available in time or if the node refuses the
// connection, and a connection that is idle for too long is closed.
func TestConnectAndIdleTimeouts(t *testing.T) {
	s := webstandin.Start(t)
	c := newClient(t, 1, func(o *webnode.Options) { o.ConnectTimeout = 40 * time.Millisecond })
	_, first := startPut(c, s, "held-1")
	<-s.WaitingIDs
	if _, done := startPut(c, s, "served-2"); (<-done).Outcome != node.ConnectFailed {
		t.Error("no connection became available: got another outcome, want ConnectFailed")
	}
	close(s.Release)
	<-first
	idle := newClient(t, 1, func(o *webnode.Options) { o.IdleTimeout = 20 * time.Millisecond })
	_, done := startPut(idle, s, "served-3")
	<-done
	<-s.Disconnected // by the client: the node keeps the connection open
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, done := startPut(idle, s, "served-4"); (<-done).Outcome != node.ConnectFailed {
		t.Error("the node refused the connection: got another outcome, want ConnectFailed")
	}
}

// TestLongBodiesWithinBudget: a body over the usual limit is accepted while the budget allows it, and counts against
// the budget until it is garbage-collected.
func TestLongBodiesWithinBudget(t *testing.T) {
	s, c := webstandin.Start(t), newClient(t, 10, nil)
	get := func(id string) node.Reply { _, done := startPut(c, s, id); return <-done }
	first := get("long-1")
	if first.Outcome != node.Executed || len(first.Data) != 200_000 {
		t.Fatalf("long body: outcome %d, %d bytes, want Executed and 200000 bytes", first.Outcome, len(first.Data))
	}
	if second := get("long-2"); second.Outcome != node.Failed {
		t.Errorf("long body over the budget: outcome %d, want Failed", second.Outcome)
	}
	runtime.KeepAlive(first.Data)
	first = node.Reply{}
	for i := 3; get(fmt.Sprint("long-", i)).Outcome != node.Executed; i++ {
		runtime.GC()
	}
}
