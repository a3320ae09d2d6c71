package gateway

import (
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// waitingNodes is a node client whose connections never come up: no attempt is ever sent. It records the attempts that
// are still waiting.
type waitingNodes struct {
	started chan *waitingAttempt

	mu      sync.Mutex // guards waiting
	waiting map[*waitingAttempt]bool
}

type waitingAttempt struct {
	nodes *waitingNodes
	key   string
}

func newWaitingNodes() *waitingNodes {
	return &waitingNodes{started: make(chan *waitingAttempt, 10), waiting: map[*waitingAttempt]bool{}}
}

func (n *waitingNodes) Start(_ string, call *node.Call, _ func(node.Reply)) node.Attempt {
	a := &waitingAttempt{n, call.IdempotencyKey}
	n.mu.Lock()
	n.waiting[a] = true
	n.mu.Unlock()
	n.started <- a
	return a
}
func (*waitingNodes) AbortQueued(func(string) bool) {}
func (*waitingNodes) Retain(map[string]bool)        {}
func (*waitingNodes) LateReplies() int64            { return 0 }

func (n *waitingNodes) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.waiting)
}

func (a *waitingAttempt) Cancel() { a.Withdraw() }

func (a *waitingAttempt) Withdraw() bool {
	a.nodes.mu.Lock()
	defer a.nodes.mu.Unlock()
	wasWaiting := a.nodes.waiting[a]
	delete(a.nodes.waiting, a)
	return wasWaiting
}

// startWaitingRequest starts a gateway that may not cancel attempts, and a request of a class that must not run twice,
// whose attempt waits for a connection. unsentAtResult receives the number of unsent attempts at the request's final
// answer.
func startWaitingRequest(t *testing.T) (l *Loop, session *Session, result <-chan Result, unsentAtResult chan int) {
	t.Helper()
	nodes := newWaitingNodes()
	l = Start(Options{Name: "g", Seed: 1, QueueSize: 4, Clock: NewClock(), Nodes: nodes,
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		CachedList: &endpoint.List{Nodes: []endpoint.Node{{Addr: "10.0.0.1:5"}}}})
	t.Cleanup(l.Stop)
	session, unsentAtResult = NewSession("g/1"), make(chan int, 1)
	result = l.Submit(session, &RequestSpec{
		Volume: &Volume{ID: 1, ServiceLevel: "basic", GatewayCount: 1}, Class: "write", Units: 1,
		Deadline: l.Now() + int64(time.Hour), Call: node.Call{Op: node.PutObject, Name: "a"},
		OnResult: func() { unsentAtResult <- nodes.count() },
	})
	<-nodes.started
	return l, session, result, unsentAtResult
}

// TestStopWithdrawsUnsentAttempts guards against requests that are sent after their final answer: at a stop, an attempt
// whose connection was not up yet is withdrawn before the client is answered. As it never ran, the client may try again.
func TestStopWithdrawsUnsentAttempts(t *testing.T) {
	l, _, result, unsentAtResult := startWaitingRequest(t)
	l.Stop()
	if unsent := <-unsentAtResult; unsent != 0 {
		t.Errorf("%d attempts could still be sent at the final answer, want none", unsent)
	}
	if got := <-result; got.State != scheduler.RequestRejected {
		t.Errorf("result %v, want rejected, as nothing was sent", got)
	}
}

// TestClientsEndWithdrawsUnsentAttempts guards against requests that are sent after their client has left, where the
// settings do not allow attempts to be cancelled.
func TestClientsEndWithdrawsUnsentAttempts(t *testing.T) {
	l, session, _, unsentAtResult := startWaitingRequest(t)
	l.CloseSession(session)
	if unsent := <-unsentAtResult; unsent != 0 {
		t.Fatalf("%d attempts could still be sent after the client had left, want none", unsent)
	}
	for stats, _ := l.Stats(); stats.Attempts > 0; stats, _ = l.Stats() {
		time.Sleep(time.Millisecond)
	}
}

// TestNothingIsSentForClientThatHasLeft guards against attempts that begin after their client has closed its connection
// and before the front end has read that, as after a pause of the process.
func TestNothingIsSentForClientThatHasLeft(t *testing.T) {
	nodes := newWaitingNodes()
	l := Start(Options{Name: "g", Seed: 1, QueueSize: 4, Clock: NewClock(), Nodes: nodes,
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		CachedList: &endpoint.List{Nodes: []endpoint.Node{{Addr: "10.0.0.1:5"}}}})
	t.Cleanup(l.Stop)
	result := l.Submit(NewSession("g/1"), &RequestSpec{
		Volume: &Volume{ID: 1, ServiceLevel: "basic", GatewayCount: 1}, Class: "read", Units: 1,
		Deadline: l.Now() + int64(time.Hour), Call: node.Call{Op: node.GetObject, Name: "a"},
		ClientLeft: func() bool { return true },
	})
	if got := <-result; got.State != scheduler.RequestClientCancelled {
		t.Errorf("result %v, want that the client has left", got)
	}
	if stats, _ := l.Stats(); len(nodes.started) > 0 || stats.Attempts > 0 || stats.InFlight > 0 {
		t.Errorf("%d attempts were sent; %+v", len(nodes.started), stats)
	}
}
