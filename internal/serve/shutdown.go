package serve

import (
	"context"
	"errors"
	"time"
)

// ErrRequestsInFlight is returned by Shutdown if requests were still in flight at its deadline. These requests have
// failed.
var ErrRequestsInFlight = errors.New("requests were still in flight at the deadline")

// finalResponseTimeout limits how long Shutdown waits for the responses to requests that failed at its deadline.
const finalResponseTimeout = time.Second

// Shutdown stops the gateway gracefully: it admits no new requests, waits for those in flight until the context is
// done, fails the rest and stops all components. It returns ErrRequestsInFlight if requests failed this way.
func (g *Gateway) Shutdown(ctx context.Context) error {
	var result error
	if g.ISCSI != nil {
		g.ISCSI.Drain()
	}
	if err := g.Frontend.Drain(ctx); err != nil {
		result = ErrRequestsInFlight
		g.Loop.Stop() // fails the remaining requests; each gets a response
		finalCtx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
		_ = g.Frontend.Drain(finalCtx) // result already reports the failure
		cancel()
	}
	g.closeISCSI()
	g.Frontend.Close()
	g.stopAll()
	return result
}

// Kill stops the gateway as a crash would: connections close, and requests in flight get no response.
func (g *Gateway) Kill() {
	if g.ISCSI != nil {
		g.ISCSI.CloseAbruptly()
	}
	g.Frontend.Close()
	g.stopAll()
}

// stopAll stops all components behind the front ends and waits for them. Requests that are still in the loop fail.
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
