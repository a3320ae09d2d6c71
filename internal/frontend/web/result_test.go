package web_test

import (
	"testing"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
)

// TestOnResultIsCalledBeforeResult: OnResult is called before the result is available. It used to be called after
// that, and then interrupted the next read of a connection that had already continued with the result: a request in
// the read-ahead was rejected with 408, and without one the connection was closed.
func TestOnResultIsCalledBeforeResult(t *testing.T) {
	b := start(t, generousLimits())
	session := gateway.NewSession("s")
	for range 100 {
		var done <-chan gateway.Result
		submitted, early := make(chan bool), make(chan bool, 1)
		spec := &gateway.RequestSpec{
			Volume:   &gateway.Volume{ServiceLevel: "gold", GatewayCount: 1},
			Class:    "read",
			Units:    1,
			Deadline: b.loop.Now() + 1e11,
			Call:     node.Call{Op: node.GetObject, IdempotencyKey: "t", Name: "/"},
		}
		spec.OnResult = func() {
			<-submitted
			early <- len(done) > 0
		}
		done = b.loop.Submit(session, spec)
		close(submitted)
		if <-early {
			t.Fatal("the result was available before OnResult was called")
		}
		<-done
	}
}
