package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"irispost/internal/fleet/lease"
)

const (
	renewRandomStream = 7  // of the seed, for retries of renewals
	watchRandomStream = 11 // of the seed, for retries of the watch

	minBackoffFraction = 16 // the first wait after a failed renewal is this part of the renewal interval
)

// renewLoop renews the lease whenever the state machine wants to. One replica is called as long as it grants
// leases. After a failure the next one is called, with a jittered exponential backoff, so that replicas that
// return are not met by all gateways at once.
func (c *Client) renewLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.opt.Seed, renewRandomStream))
	minBackoff := c.opt.RenewInterval / minBackoffFraction
	backoff := minBackoff
	c.current.Store(int64(random.IntN(len(c.opt.Replicas))))
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

// jitter draws between half and one and a half of a duration.
func jitter(random *rand.Rand, duration time.Duration) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(duration))
}

// untilNextRequest is how long to wait for the next renewal.
func (c *Client) untilNextRequest() time.Duration {
	c.mutex.Lock()
	at := c.stateMachine.NextRequestAt(c.opt.Now())
	c.mutex.Unlock()
	return time.Duration(at - c.opt.Now())
}

// renew calls a replica once for a lease, and applies its response. It tells whether a lease was granted.
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

// useNextReplica has the next replica be called from now on, for news as well.
func (c *Client) useNextReplica(cause error) {
	c.replicas.HTTPClient.CloseIdleConnections()
	c.current.Add(1)
	c.mutex.Lock()
	c.cancelWatch()
	c.mutex.Unlock()
	c.opt.Logger.Debug("lease renewal failed", "gateway", c.opt.Gateway, "err", cause)
}

// apply hands a response to the state machine, and tells all who have to know of what came of it.
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

// logConflicts warns, once for each version, of what the gateway's own configuration contradicts.
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
