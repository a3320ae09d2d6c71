package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"irispost/internal/fleet/lease"
)

const (
	renewRandomStream = 7  // second PCG seed of the renewal goroutine
	watchRandomStream = 11 // second PCG seed of the watch goroutine

	minBackoffFraction = 16 // the first backoff is the renewal interval divided by this
)

// renewLoop renews the lease whenever the state machine says that a renewal is due. It keeps to one replica until
// a call fails, and then calls the next one. After a renewal that brings no lease it waits with a jittered
// exponential backoff, so that a replica that comes back is not called by all gateways at once.
func (c *Client) renewLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.opt.Seed, renewRandomStream))
	minBackoff := c.opt.RenewInterval / minBackoffFraction
	backoff := minBackoff
	c.currentReplica.Store(int64(random.IntN(len(c.opt.Replicas))))
	for ctx.Err() == nil {
		if !sleep(ctx, c.untilNextRequest(), c.renewNow) {
			return
		}
		if c.renew(ctx) {
			backoff = minBackoff
			continue
		}
		if !sleep(ctx, jitter(random, backoff), nil) {
			return
		}
		backoff = min(2*backoff, c.opt.RenewInterval)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times the given one.
func jitter(random *rand.Rand, duration time.Duration) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(duration))
}

// untilNextRequest returns how long to wait until the next renewal is due.
func (c *Client) untilNextRequest() time.Duration {
	c.mutex.Lock()
	at := c.stateMachine.NextRequestAt(c.opt.Now())
	c.mutex.Unlock()
	return time.Duration(at - c.opt.Now())
}

// renew requests a lease from the current replica once and applies the response. It reports whether a lease was
// granted.
func (c *Client) renew(ctx context.Context) (granted bool) {
	c.mutex.Lock()
	request := c.stateMachine.NextRequest(c.opt.Now())
	c.mutex.Unlock()
	response := &lease.RenewResponse{}
	callCtx, cancel := context.WithTimeout(ctx, c.opt.RenewInterval)
	err := c.replicas.Call(callCtx, c.replicaAddr(), http.MethodPost, "/renew", request, response)
	cancel()
	if err != nil {
		c.useNextReplica(err)
		return false
	}
	c.fetcher.addContents(ctx, response)
	c.apply(response)
	return response.LeaseDuration > 0
}

// useNextReplica switches to the next replica after a failed renewal. It cancels the long poll, so that the watch
// switches as well.
func (c *Client) useNextReplica(cause error) {
	c.replicas.HTTPClient.CloseIdleConnections()
	c.currentReplica.Add(1)
	c.mutex.Lock()
	c.cancelWatch()
	c.mutex.Unlock()
	c.opt.Logger.Debug("lease renewal failed", "gateway", c.opt.Gateway, "err", cause)
}

// apply passes a response to the state machine and notifies the watch and the callbacks of the outcome.
func (c *Client) apply(response *lease.RenewResponse) {
	c.mutex.Lock()
	c.stateMachine.HandleResponse(c.opt.Now(), response)
	c.unchangedUntil.Store(0)
	effective := c.stateMachine.Effective(c.opt.Now())
	lines := c.stateMachine.TakeLogLines()
	membership := c.stateMachine.TakeMembership()
	c.mutex.Unlock()

	c.prepareEndpoints(effective)
	notify(c.responseApplied)
	if membership != nil && c.opt.OnMembership != nil {
		c.opt.OnMembership(membership)
	}
	c.logLines(lines)
	c.opt.OnChange()
	c.logConflicts()
}

// logConflicts logs a warning, once for each version, for each conflict of the local configuration with it.
func (c *Client) logConflicts() {
	c.mutex.Lock()
	version, config := c.stateMachine.LatestVersion()
	c.mutex.Unlock()
	if version == c.checkedVersion || c.opt.LocalConflicts == nil {
		return
	}
	c.checkedVersion = version
	for _, conflict := range c.opt.LocalConflicts(config) {
		c.opt.Logger.Warn("local configuration conflicts with a version",
			"gateway", c.opt.Gateway, "version", version.Name(), "conflict", conflict)
	}
}
