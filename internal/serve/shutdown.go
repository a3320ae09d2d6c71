package serve

import (
	"context"
	"errors"
	"time"
)

// ErrRequestsInFlight is returned by Shutdown when requests were still in flight at its deadline. They have failed.
var ErrRequestsInFlight = errors.New("requests were still in flight at the deadline")

// lastAnswersTimeout is how long the answers of requests that fail at the deadline may take to go out.
const finalResponseTimeout = time.Second

// Shutdown ends the gateway gracefully: it admits no new requests, waits for those in flight until the context ends,
// fails the rest and stops everything. The error is ErrRequestsInFlight if any failed so.
func (g *Gateway) Shutdown(ctx context.Context) error {
	var result error
	if g.ISCSI != nil {
		g.ISCSI.Drain()
	}
	if err := g.Frontend.Drain(ctx); err != nil {
		result = ErrRequestsInFlight
		g.Loop.Stop() // answers each request that is left
		finalCtx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
		_ = g.Frontend.Drain(finalCtx) // those that did not go out are reported by result already
		cancel()
	}
	g.closeISCSI()
	g.Frontend.Close()
	g.stopAll()
	return result
}

// Kill ends the gateway as a crash would: connections close, and requests in flight get no answer.
func (g *Gateway) Kill() {
	if g.ISCSI != nil {
		g.ISCSI.Break()
	}
	g.Frontend.Close()
	g.stopAll()
}

// stopAll stops everything behind the front ends and waits for it. Requests that are still in the loop fail.
func (g *Gateway) stopAll() {
	if g.admin != nil {
		g.admin.Close()
	}
	g.cancel()
	g.endpoints.Close()
	g.Loop.Stop()
	if g.fleetClient != nil {
		g.fleetClient.Close()
	}
	if g.slowStart != nil {
		g.slowStart.Close()
	}
	g.nodes.Close()
	g.background.Wait()
	g.capture.stop(g)
}
