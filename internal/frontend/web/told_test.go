package web_test

import (
	"testing"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
)

// Guard: who is told that a result is there is told before it can be had. Told after, a connection that had gone on with the result would have its next read
// cut off: with a request ahead, that one got a 408, and without, the connection was closed.
func TestToldBeforeTheResult(t *testing.T) {
	w := start(t, limits())
	s := gateway.NewSession("s")
	for range 100 {
		var done <-chan gateway.Result
		given, early := make(chan bool), make(chan bool, 1)
		work := &gateway.RequestSpec{Volume: &gateway.Volume{ServiceLevel: "gold", Gateways: 1}, Class: "read", Units: 1, Deadline: w.loop.Now() + 1e11,
			Call: node.Call{Op: node.GetObject, IdempotencyKey: "t", Name: "/"}}
		work.OnResult = func() {
			<-given
			early <- len(done) > 0
		}
		done = w.loop.Submit(s, work)
		close(given)
		if <-early {
			t.Fatal("the result could be had before it was told")
		}
		<-done
	}
}
