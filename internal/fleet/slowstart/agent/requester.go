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

// Paces of the requests, in allocation times or parts of one.
const (
	pollDivisor        = 12 // the loop is polled for demands in this part of an allocation time
	reachableMultiple  = 8  // for so long after its last response an allocator is taken to be reachable
	maxBackoffMultiple = 16 // the longest backoff after requests that failed
)

// maxConcurrentRequests is how many requests to other gateways are in flight at most; the others wait for a
// later poll.
const maxConcurrentRequests = 32

// Why an allocation is not used.
var (
	errLateResponse = errors.New("response is late or to another request")
	// errRejected is of a response without an allocation.
	errRejected = errors.New("request rejected")
)

// requestLoop polls the loop for demands, and requests allocations for them.
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
			a.loop.AllocateSlowStart(s.node, s.startedAt, 0, s.until) // no request is in flight for these
		}
	}
}

// poll takes the current demands, and returns to which nodes nothing is to be sent for a while.
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

// handleDemand requests an allocation of a node's allocator, if it is time to. The mutex is held.
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
		return // at a later poll
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

// reservationFor finds or makes the reservation for a start of a node. The mutex is held.
func (a *Agent) reservationFor(now scheduler.Time, demand scheduler.SlowStartDemand) *reservation {
	r := a.reservations[demand.Addr]
	if r == nil || r.startedAt != demand.StartedAt {
		seq := uint64(now) // higher than in all earlier requests for this node
		r = &reservation{startedAt: demand.StartedAt, seq: seq}
		a.reservations[demand.Addr] = r
	}
	return r
}

// suspendIfExpired has nothing be sent to a node whose allocation has expired while its allocator is reachable:
// what comes waits for the next allocation. The mutex is held.
func (a *Agent) suspendIfExpired(now scheduler.Time, r *reservation, demand scheduler.SlowStartDemand) {
	if r.state != stateAllocated || now < r.expiresAt {
		return
	}
	r.expiresAt = now + a.allocationTime
	a.suspensions = append(a.suspensions, suspension{demand.Addr, demand.StartedAt, r.expiresAt})
}

// newRequest is the next request of a reservation. Without units that wait it checks whether there is an
// allocator. The mutex is held.
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

// renew makes one request for a reservation, and tells the loop of the outcome.
func (a *Agent) renew(ctx context.Context, r *reservation, owner, addr string, request *request) {
	until := a.opt.Now() + a.allocationTime
	a.mutex.Lock()
	renewing := r.state == stateRenewing
	a.mutex.Unlock()
	if renewing { // what remains is returned, and nothing is sent until the response
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

// requestFrom makes a request to the owner of its node's budget, which may be this gateway.
func (a *Agent) requestFrom(ctx context.Context, owner, addr string, request *request) (*budget.Allocation, error) {
	if owner == a.opt.Holder {
		return a.allocate(ctx, request)
	}
	if override := a.opt.AddrOverrides[addr]; override != "" {
		addr = override
	}
	return a.call(ctx, addr, request)
}

// call makes a request to another gateway.
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
	defer func() { _ = response.Body.Close() }() // it is read to its end
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w by %s: %s: %s", errRejected, addr, response.Status, bytes.TrimSpace(text))
	}
	allocation := &budget.Allocation{}
	if err := json.Unmarshal(text, allocation); err != nil {
		return nil, fmt.Errorf("response of %s: %w", addr, err)
	}
	return allocation, nil
}
