package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// holdDivisor divides the allocation time: the result is how long a request waits for units at most.
const holdDivisor = 3

// Reasons for which requests are rejected. The texts are part of the responses to other gateways and must not change.
var (
	errNotOwner     = errors.New("this node's budget is not this gateway's to deal out")
	errRateUnknown  = errors.New("nobody knows yet what nodes can do")
	errWrongStart   = errors.New("another start of the node is known here")
	errStaleRequest = errors.New("an older ask, or none that can be")
)

// nodeBudget is the budget of one node, which this gateway owns.
type nodeBudget struct {
	allocator *budget.Allocator
	startedAt scheduler.Time
	waiting   map[string]chan budget.Allocation // by holder with a pending request; each buffers one allocation
}

// handler returns the handler for requests from other gateways.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+allocatePath, a.serveAllocate)
	return mux
}

func (a *Agent) serveAllocate(w http.ResponseWriter, r *http.Request) {
	request := &request{}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(request); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return
	}
	allocation, err := a.allocate(r.Context(), request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(allocation) // an allocation that does not arrive expires
}

// allocate submits a request to the allocator of its node and waits for units for a limited time. After that it
// returns an allocation of 0 units, which tells the holder that the allocator is reachable.
func (a *Agent) allocate(ctx context.Context, request *request) (*budget.Allocation, error) {
	owned, response, err := a.enqueue(request)
	if err != nil {
		return nil, err
	}
	hold := time.NewTimer(time.Duration(a.allocationTime) / holdDivisor)
	defer hold.Stop()
	select {
	case allocation := <-response:
		return &allocation, nil
	case <-hold.C:
	case <-ctx.Done():
	}
	a.stopWaiting(owned, request.Holder, response)
	select {
	case allocation := <-response: // it arrived before stopWaiting acquired the mutex
		return &allocation, nil
	default:
		return &budget.Allocation{Holder: request.Holder, Seq: request.Seq}, nil
	}
}

// enqueue passes a request to the allocator of its node and allocates available units. The allocation for the request
// is sent to the returned channel.
func (a *Agent) enqueue(request *request) (*nodeBudget, <-chan budget.Allocation, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	owned, err := a.budgetFor(request)
	if err != nil {
		return nil, nil, err
	}
	if !owned.allocator.HandleRequest(a.opt.Now(), &request.Request) {
		return nil, nil, errStaleRequest
	}
	response := make(chan budget.Allocation, 1)
	owned.waiting[request.Holder] = response
	a.distribute(owned)
	return owned, response, nil
}

// stopWaiting cancels a request unless it has been served, or replaced by a later request of its holder.
func (a *Agent) stopWaiting(owned *nodeBudget, holder string, response <-chan budget.Allocation) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if owned.waiting[holder] == response {
		delete(owned.waiting, holder)
		owned.allocator.CancelRequest(holder)
	}
}

// budgetFor returns the budget of the request's node if this gateway owns it, and creates it on first use. The mutex is
// held.
func (a *Agent) budgetFor(request *request) (*nodeBudget, error) {
	now := a.opt.Now()
	if !a.ownership.Owns(now, request.Node) {
		delete(a.budgets, request.Node)
		return nil, errNotOwner
	}
	rate := a.rate
	if rate <= 0 {
		rate = request.Rate
	}
	owned := a.budgets[request.Node]
	switch {
	case request.StartedAt < a.demands[request.Node].StartedAt:
		return nil, errWrongStart
	case rate <= 0:
		return nil, errRateUnknown
	case owned == nil:
		owned = a.newBudget(now, request, rate)
		a.budgets[request.Node] = owned
	case request.StartedAt > owned.startedAt:
		owned.startedAt = request.StartedAt
		owned.allocator.NodeRestarted(now, now-request.StartedAt)
	case request.StartedAt < owned.startedAt:
		return nil, errWrongStart
	}
	owned.allocator.SetRate(now, rate)
	return owned, nil
}

func (a *Agent) newBudget(now scheduler.Time, request *request, rate float64) *nodeBudget {
	age := now - request.StartedAt
	a.opt.Logger.Info("slow start: allocating the budget of a node",
		"gateway", a.opt.Gateway, "node", request.Node, "age_ms", age/scheduler.Millisecond, "rate", rate)
	return &nodeBudget{
		allocator: budget.NewAllocator(now, a.opt.Settings, age, rate, 0),
		startedAt: request.StartedAt,
		waiting:   map[string]chan budget.Allocation{},
	}
}

// distribute allocates available units to the holders with pending requests. The mutex is held.
func (a *Agent) distribute(owned *nodeBudget) {
	for _, allocation := range owned.allocator.Allocate(a.opt.Now()) {
		if response := owned.waiting[allocation.Holder]; response != nil {
			response <- allocation
			delete(owned.waiting, allocation.Holder)
		}
	}
}

// maintainBudgets allocates units that have become available, and drops the budgets of nodes that have warmed up or are
// no longer owned by this gateway. Requests pending there end with an allocation of 0 units. The mutex is held.
func (a *Agent) maintainBudgets() {
	now := a.opt.Now()
	for node, owned := range a.budgets {
		if !a.ownership.Owns(now, node) || owned.allocator.WarmedUp(now) {
			delete(a.budgets, node)
			continue
		}
		owned.allocator.RemoveIdle(now, a.opt.Settings.WarmupTime)
		a.distribute(owned)
	}
}
