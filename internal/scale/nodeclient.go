package scale

import (
	"sync"

	"irispost/internal/backend/node"
)

// fakeNodeClient stands in for the connections to storage nodes: each attempt is answered at once as served. Where
// the first attempt of each idempotency key was started is noted.
type fakeNodeClient struct {
	placements sync.Map // addresses by idempotency key
}

// takePlacement returns the address at which the first attempt of a key was started, and removes it; "": there was
// none.
func (c *fakeNodeClient) takePlacement(key string) string {
	value, _ := c.placements.LoadAndDelete(key)
	addr, _ := value.(string)
	return addr
}

// completedAttempt is an attempt that has nothing left to cancel.
type completedAttempt struct{}

// Cancel does nothing.
func (completedAttempt) Cancel() {}

// Start answers an attempt.
func (c *fakeNodeClient) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	c.placements.LoadOrStore(call.IdempotencyKey, addr)
	go done(node.Reply{Outcome: node.Executed, Shard: call.Shard})
	return completedAttempt{}
}

// AbortQueued does nothing: no attempt waits.
func (c *fakeNodeClient) AbortQueued(func(string) bool) {}

// Retain does nothing: there are no connections.
func (c *fakeNodeClient) Retain(map[string]bool) {}

// LateReplies returns 0: all answers come at once.
func (c *fakeNodeClient) LateReplies() int64 { return 0 }
