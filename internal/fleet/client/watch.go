package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"irispost/internal/fleet/replica"
)

// newsHoldTime is how long a replica may hold a call for news open. Correctness does not depend on hearing of
// news in time.
const newsHoldTime = 10 * time.Second

// watchLoop keeps a call for news open at the current replica, so that the gateway calls for renewals of its
// lease alone. While the call fails, is silent or is rejected, the gateway renews as often as without it.
func (c *Client) watchLoop(ctx context.Context) {
	replicas := newReplicaClient(c.opt.Dial)
	random := rand.New(rand.NewPCG(c.opt.Seed, watchRandomStream))
	for ctx.Err() == nil {
		if c.watch(ctx, replicas) {
			continue
		}
		select { // the next call needs the state that the renewal brings
		case <-ctx.Done():
		case <-c.responseApplied:
		case <-time.After(jitter(random, c.opt.RenewInterval)):
		}
	}
}

// watch makes one call for news of what is not known here. It is true where the call ended without news, and
// false where there is something to renew first: news, an error, or no known state yet.
func (c *Client) watch(ctx context.Context, replicas *replica.Client) (nothingNew bool) {
	c.mutex.Lock()
	term, inForce, announced := c.stateMachine.KnownState()
	c.mutex.Unlock()
	if term == 0 {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, newsHoldTime+c.opt.RenewInterval)
	c.mutex.Lock()
	c.cancelWatch = cancel
	c.stateMachine.SetWatching(true)
	c.mutex.Unlock()

	path := fmt.Sprintf("/news?term=%d&in_force=%d&announced=%d&hold_ms=%d",
		term, inForce, announced, newsHoldTime.Milliseconds())
	news := false
	err := replicas.Call(callCtx, c.replicaAddr(), http.MethodGet, path, nil, &news)
	cancel()
	if err != nil {
		replicas.HTTPClient.CloseIdleConnections()
	}
	c.watchEnded(news, err)
	return err == nil && !news
}

// watchEnded has the gateway renew at once if a call for news failed or brought some.
func (c *Client) watchEnded(news bool, err error) {
	renew := news || err != nil
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
	case <-c.responseApplied: // of a response from before the news
	default:
	}
	notify(c.renewNow)
}
