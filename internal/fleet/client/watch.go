package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"irispost/internal/fleet/replica"
)

// watchHoldTime is how long a replica may hold a long poll open. Correctness does not depend on prompt notice of a
// change.
const watchHoldTime = 10 * time.Second

// watchLoop keeps a long poll open at the current replica, which responds once the state of the log has changed.
// While it works, the gateway renews only to extend its lease and not to learn of changes. While the poll fails,
// times out or is rejected, the gateway renews as often as without it.
func (c *Client) watchLoop(ctx context.Context) {
	replicas := newReplicaClient(c.opt.Dial)
	random := rand.New(rand.NewPCG(c.opt.Seed, watchRandomStream))
	for ctx.Err() == nil {
		if c.watch(ctx, replicas) {
			continue
		}
		select { // the next poll needs the state that a renewal returns
		case <-ctx.Done():
		case <-c.responseApplied:
		case <-time.After(jitter(random, c.opt.RenewInterval)):
		}
	}
}

// watch makes one long poll for a change from the known state of the log. It returns true if the poll ended without
// a change, and false if a renewal has to come first: after a change or an error, or if no state is known yet.
func (c *Client) watch(ctx context.Context, replicas *replica.Client) (unchanged bool) {
	c.mutex.Lock()
	term, inForce, announced := c.stateMachine.KnownState()
	c.mutex.Unlock()
	if term == 0 {
		return false
	}
	pollCtx, cancel := context.WithTimeout(ctx, watchHoldTime+c.opt.RenewInterval)
	c.mutex.Lock()
	c.cancelWatch = cancel
	c.stateMachine.SetWatching(true)
	c.mutex.Unlock()

	path := fmt.Sprintf("/news?term=%d&in_force=%d&announced=%d&hold_ms=%d",
		term, inForce, announced, watchHoldTime.Milliseconds())
	changed := false
	err := replicas.Call(pollCtx, c.replicaAddr(), http.MethodGet, path, nil, &changed)
	cancel()
	if err != nil {
		replicas.HTTPClient.CloseIdleConnections()
	}
	c.watchEnded(changed, err)
	return err == nil && !changed
}

// watchEnded makes the gateway renew at once if a long poll failed or reported a change.
func (c *Client) watchEnded(changed bool, err error) {
	renew := changed || err != nil
	c.mutex.Lock()
	c.stateMachine.SetWatching(err == nil)
	if renew {
		c.stateMachine.RequestNow()
	}
	c.mutex.Unlock()
	if !renew {
		return
	}
	select {
	case <-c.responseApplied: // drop a notification from before the change
	default:
	}
	notify(c.renewNow)
}
