package scale

import (
	"sync"

	"irispost/internal/backend/node"
)

// fakeNodeClient is a fake of the client of storage nodes. It answers each attempt at once as executed, and records
// the address at which the first attempt of each idempotency key was started.
type fakeNodeClient struct {
	placements sync.Map // addresses by idempotency key
}

// takePlacement returns and removes the address at which the first attempt of a key was started, or "" if there was
// none.
func (c *fakeNodeClient) takePlacement(key string) string {
	value, _ := c.placements.LoadAndDelete(key)
	addr, _ := value.(string)
	return addr
}

// completedAttempt is an attempt that needs no cancellation.
type completedAttempt struct{}

// Cancel does nothing, as the attempt has ended.
func (completedAttempt) Cancel() {}

// Withdraw implements node.Attempt.
func (completedAttempt) Withdraw() bool { return false }

// Start records the address of a key's first attempt and answers the attempt on another goroutine.
func (c *fakeNodeClient) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	c.placements.LoadOrStore(call.IdempotencyKey, addr)
	go done(node.Reply{Outcome: node.Executed, Shard: call.Shard})
	return completedAttempt{}
}

// AbortQueued does nothing, as no attempts are queued.
func (c *fakeNodeClient) AbortQueued(func(string) bool) {}

// Retain does nothing, as there are no connections.
func (c *fakeNodeClient) Retain(map[string]bool) {}

// LateReplies returns 0, as all answers come at once.
func (c *fakeNodeClient) LateReplies() int64 { return 0 }
