package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// Intervals as multiples or fractions of the allocation time.
const (
	pollDivisor        = 12 // the loop is polled for demands this often per allocation time
	reachableMultiple  = 8  // an allocator counts as reachable for this many allocation times after its last response
	maxBackoffMultiple = 16 // maximum backoff after failed requests
)

// maxConcurrentRequests limits the requests for allocations in flight, also those to this gateway's own allocators.
// Further ones wait for a later poll.
const maxConcurrentRequests = 32

// Reasons for which a request yields no allocation.
var (
	errLateResponse = errors.New("response arrived after its allocation expired, or is for another request")
	// errRejected means that the response has an error status and no allocation.
	errRejected = errors.New("allocation request rejected")
)

// requestLoop polls the loop for demands and requests allocations for them, until ctx is cancelled or the loop has
// ended.
func (a *Agent) requestLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(a.allocationTime) / pollDivisor)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		demand, ok := a.loop.SlowStartDemand()
		if !ok {
			return
		}
		for _, s := range a.poll(ctx, demand.Demands, demand.Rate) {
			a.loop.AllocateSlowStart(s.node, s.startedAt, 0, s.until) // no request is in flight for these nodes
		}
	}
}

// poll processes the current demands, and returns the suspensions to pass to the loop.
func (a *Agent) poll(ctx context.Context, demands []scheduler.SlowStartDemand, rate float64) []suspension {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rate = rate
	clear(a.demands)
	for _, demand := range demands {
		a.demands[demand.Addr] = demand
		a.handleDemand(ctx, demand)
	}
	for node := range a.reservations {
		if _, inSlowStart := a.demands[node]; !inSlowStart {
			delete(a.reservations, node)
		}
	}
	a.maintainBudgets()
	suspensions := a.suspensions
	a.suspensions = nil
	return suspensions
}

// handleDemand requests an allocation from the node's allocator if one is due. The mutex is held.
func (a *Agent) handleDemand(ctx context.Context, demand scheduler.SlowStartDemand) {
	now := a.opt.Now()
	r := a.reservationFor(now, demand)
	if demand.Units <= 0 && now < r.reachableUntil {
		a.suspendIfExpired(now, r, demand)
		return
	}
	owner := a.ownership.Owner(demand.Addr)
	addr := a.peerAddrs[owner]
	isReachable := owner == a.opt.Holder || addr != ""
	if !r.canRequest(now) || owner == "" || !isReachable {
		return
	}
	select {
	case a.requestSlots <- struct{}{}:
	default:
		return // a later poll tries again
	}
	r.beginRequest()
	request := a.newRequest(r, demand)
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		a.renew(ctx, r, owner, addr, request)
		<-a.requestSlots
	}()
}

// reservationFor returns the reservation for this start of the node, and creates it on first use. The mutex is held.
func (a *Agent) reservationFor(now scheduler.Time, demand scheduler.SlowStartDemand) *reservation {
	r := a.reservations[demand.Addr]
	if r == nil || r.startedAt != demand.StartedAt {
		seq := uint64(now) // a clock reading, which is above the numbers of all earlier requests for the node
		r = &reservation{startedAt: demand.StartedAt, seq: seq}
		a.reservations[demand.Addr] = r
	}
	return r
}

// suspendIfExpired suspends sending to a node whose allocation has expired while its allocator is reachable: new
// requests wait for the next allocation. The mutex is held.
func (a *Agent) suspendIfExpired(now scheduler.Time, r *reservation, demand scheduler.SlowStartDemand) {
	if r.state != stateAllocated || now < r.expiresAt {
		return
	}
	r.expiresAt = now + a.allocationTime
	a.suspensions = append(a.suspensions, suspension{demand.Addr, demand.StartedAt, r.expiresAt})
}

// newRequest returns the next request of a reservation. If no units are waiting, the request only checks whether an
// allocator responds. The mutex is held.
func (a *Agent) newRequest(r *reservation, demand scheduler.SlowStartDemand) *request {
	if demand.Units <= 0 {
		demand.SmallestRequest = 0
	}
	return &request{
		Node:      demand.Addr,
		StartedAt: demand.StartedAt,
		Rate:      a.rate,
		Request: budget.Request{
			Holder:          a.opt.Holder,
			Seq:             r.seq,
			Demand:          demand.Units,
			SmallestRequest: demand.SmallestRequest,
			PriorityWeight:  demand.PriorityWeight,
		},
	}
}

// renew makes one request for a reservation and reports the outcome to the loop.
func (a *Agent) renew(ctx context.Context, r *reservation, owner, addr string, request *request) {
	until := a.opt.Now() + a.allocationTime
	a.mutex.Lock()
	renewing := r.state == stateRenewing
	a.mutex.Unlock()
	if renewing { // remaining units are returned, and nothing is sent until the response
		request.Returned, _ = a.loop.AllocateSlowStart(request.Node, request.StartedAt, 0, until)
	}
	allocation, err := a.requestFrom(ctx, owner, addr, request)
	now := a.opt.Now()
	if err == nil && (allocation.Seq != request.Seq || now >= until) {
		err = errLateResponse
	}
	if err == nil {
		a.loop.AllocateSlowStart(request.Node, request.StartedAt, allocation.Units, until)
	} else if renewing {
		a.loop.AllocateSlowStart(request.Node, request.StartedAt, 0, 0)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err == nil {
		r.succeeded(now, until, a.allocationTime)
		return
	}
	if renewing {
		a.opt.Logger.Info("slow start: allocator is unreachable",
			"gateway", a.opt.Gateway, "node", request.Node, "err", err)
	}
	r.failed(now, a.allocationTime)
}

// requestFrom sends a request to the owner of the node's budget, which may be this gateway itself.
func (a *Agent) requestFrom(ctx context.Context, owner, addr string, request *request) (*budget.Allocation, error) {
	if owner == a.opt.Holder {
		return a.allocate(ctx, request)
	}
	if override := a.opt.AddrOverrides[addr]; override != "" {
		addr = override
	}
	return a.call(ctx, addr, request)
}

// call sends a request to another gateway and returns its response.
func (a *Agent) call(ctx context.Context, addr string, request *request) (*budget.Allocation, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+allocatePath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := a.client.Do(call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w by %s: %s: %s", errRejected, addr, response.Status, bytes.TrimSpace(text))
	}
	allocation := &budget.Allocation{}
	if err := json.Unmarshal(text, allocation); err != nil {
		return nil, fmt.Errorf("decode response from %s: %w", addr, err)
	}
	return allocation, nil
}
