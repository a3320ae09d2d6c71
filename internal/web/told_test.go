package web_test

import (
	"testing"

	"irispost/internal/gateway"
	"irispost/internal/node"
)

// Guard: who is told that a result is there is told before it can be had. Told after, a connection that had gone on with the result would have its next read
// cut off: with a request ahead, that one got a 408, and without, the connection was closed.
func TestToldBeforeTheResult(t *testing.T) {
	w := start(t, limits())
	s := gateway.NewSession("s")
	for range 100 {
		var done <-chan gateway.Result
		given, early := make(chan bool), make(chan bool, 1)
		work := &gateway.Work{Volume: &gateway.Volume{Plan: "gold", Hosts: 1}, Product: "read", Units: 1, StopBy: w.loop.Now() + 1e11,
			Call: node.Call{Op: node.Get, Mark: "t", Name: "/"}}
		work.Told = func() {
			<-given
			early <- len(done) > 0
		}
		done = w.loop.Do(s, work)
		close(given)
		if <-early {
			t.Fatal("the result could be had before it was told")
		}
		<-done
	}
}
