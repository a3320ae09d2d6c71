package budget

import (
	"fmt"
	"os"
	"slices"
	"testing"
)

// These tests search a small model of one node's budget exhaustively. The model has an allocator that is replaced by
// another one at most once, two holders and two requests in total; ticks, requests, deliveries, losses, duplicates and
// uses occur in every order. All processes share one clock; the simulation in package slowstart covers clock drift.

const (
	modelTick      = Time(1e6)
	modelTicks     = Time(4)
	longModelTicks = Time(6) // with IRISPOST_MODEL set, and for injected faults
	modelRequests  = 2
	maxModelStates = 1 << 20
	modelTolerance = 1e-6 // in units, for rounding errors of floating-point sums
)

var modelSettings = Settings{
	InitialFraction: 1, WarmupTime: 1e15, OverloadMultiple: 1, Window: 4 * modelTick, MinUnits: 16,
	AllocatedShare: 1, AllocationTime: 3 * modelTick,
}

// modelRequest is a request in transit.
type modelRequest struct {
	Request
	duplicated bool
}

// modelAllocation is an allocation in transit.
type modelAllocation struct {
	Allocation
	requestedAt Time
}

type modelHolder struct {
	seq         uint64
	requestedAt Time
	units       float64
	validUntil  Time
	isWaiting   bool // for an allocation
}

// canUse reports whether an allocation that arrives now is for the latest request and has not expired.
func (h *modelHolder) canUse(now, requestedAt Time, allocation Allocation) bool {
	return allocation.Seq == h.seq && h.isWaiting && now < requestedAt+modelSettings.AllocationTime
}

type modelSend struct {
	at    Time
	units float64
}

type modelState struct {
	now          Time
	end          Time
	allocator    *Allocator
	movedAt      Time // when another allocator replaced the first one; -1: not replaced
	holders      [2]modelHolder
	requests     []modelRequest
	allocations  []modelAllocation
	sends        []modelSend
	requestsLeft int
	path         string // steps that led to this state
}

// clone returns a copy of the state with a step added to its path.
func (s *modelState) clone(step string) *modelState {
	c := *s
	allocator := *s.allocator
	allocator.holders = map[string]*holder{}
	for id, h := range s.allocator.holders {
		copied := *h
		allocator.holders[id] = &copied
	}
	c.allocator = &allocator
	c.requests = slices.Clone(s.requests)
	c.allocations = slices.Clone(s.allocations)
	c.sends = slices.Clone(s.sends)
	c.path = s.path + " " + step
	return &c
}

// key returns a string that is the same for equal states.
func (s *modelState) key() string {
	key := fmt.Sprintf("%d %d %d %v %v %v|", s.now, s.movedAt, s.requestsLeft, s.holders, s.requests, s.allocations)
	key += fmt.Sprintf("%.3f %.3f %d|", s.allocator.available, s.allocator.outstanding, s.allocator.updatedAt)
	for _, id := range []string{"0", "1"} {
		if h := s.allocator.holders[id]; h != nil {
			key += fmt.Sprintf("%d %.3f %d %t|", h.seq, h.units, h.expiresAt, h.pending != nil)
		}
	}
	return key + fmt.Sprint(s.sends)
}

func (s *modelState) holder(id string) *modelHolder { return &s.holders[int(id[0]-'0')] }

// violation describes how a state exceeds the limits; "": it does not.
func (s *modelState) violation() string {
	sinceMove := Time(0)
	if s.movedAt >= 0 && s.now-s.movedAt <= modelSettings.outstandingTime() {
		sinceMove = s.now - s.movedAt
	}
	sendable, limit := s.sendable(), modelSettings.MaxOutstanding(s.now, 1, sinceMove)
	if sendable > limit+modelTolerance {
		return fmt.Sprintf("%.2f units can be sent at once, the limit is %.2f", sendable, limit)
	}
	sent := 0.0
	for _, send := range s.sends {
		if send.at > s.now-modelSettings.Window {
			sent += send.units
		}
	}
	allocated := modelSettings.AllocatedShare * modelSettings.Capacity(s.now, 1)
	if sent > allocated+modelTolerance {
		return fmt.Sprintf("%.2f units were sent in a window, the limit is %.2f", sent, allocated)
	}
	return ""
}

// sendable returns how many units can be sent at once: those available, at a holder, or in transit.
func (s *modelState) sendable() float64 {
	units, _ := s.allocator.Usage(s.now)
	for _, h := range s.holders {
		if s.now < h.validUntil {
			units += h.units
		}
	}
	for _, allocation := range s.allocations {
		if s.holder(allocation.Holder).canUse(s.now, allocation.requestedAt, allocation.Allocation) {
			units += allocation.Units
		}
	}
	return units
}

// successors returns the states that can follow this one.
func (s *modelState) successors(faults InjectedFaults) (states []*modelState) {
	if s.now < s.end {
		c := s.clone("tick")
		c.now += modelTick
		states = append(states, c)
	}
	for i := range s.holders {
		states = append(states, s.holderSuccessors(i, faults)...)
	}
	for i := range s.requests {
		states = append(states, s.requestSuccessors(i)...)
	}
	for i := range s.allocations {
		states = append(states, s.deliverAllocation(i))
	}
	if s.movedAt < 0 && s.now > 0 {
		c := s.clone("moved")
		c.movedAt = s.now
		c.allocator = NewAllocator(s.now, modelSettings, s.now, 1, faults)
		states = append(states, c)
	}
	return states
}

// holderSuccessors returns the states after a holder makes a request, and after it uses its units.
func (s *modelState) holderSuccessors(i int, faults InjectedFaults) (states []*modelState) {
	valid := s.now < s.holders[i].validUntil
	if s.requestsLeft > 0 && len(s.requests)+len(s.allocations) < 2 {
		c := s.clone(fmt.Sprint("request", i))
		h := &c.holders[i]
		h.seq++
		request := Request{Holder: fmt.Sprint(i), Seq: h.seq, Demand: 8, SmallestRequest: 1, PriorityWeight: 1}
		if valid {
			request.Returned = h.units
		}
		h.requestedAt, h.isWaiting = s.now, true
		if !faults.Has(FaultUseReturned) {
			h.units = 0
		}
		c.requestsLeft--
		c.requests = append(c.requests, modelRequest{Request: request})
		states = append(states, c)
	}
	if s.holders[i].units > 0 && valid {
		c := s.clone(fmt.Sprint("use", i))
		c.sends = append(c.sends, modelSend{s.now, s.holders[i].units})
		c.holders[i].units = 0
		states = append(states, c)
	}
	return states
}

// requestSuccessors returns the states after a request in transit is delivered, is delivered while a duplicate of it
// stays in transit, or is lost.
func (s *modelState) requestSuccessors(i int) (states []*modelState) {
	request := s.requests[i]
	for _, duplicate := range []bool{false, true} {
		if duplicate && request.duplicated {
			continue
		}
		c := s.clone(fmt.Sprintf("delivered%s(%t)", request.Holder, duplicate))
		if duplicate {
			c.requests[i].duplicated = true
		} else {
			c.requests = slices.Delete(c.requests, i, i+1)
		}
		c.handleRequest(request.Request)
		states = append(states, c)
	}
	c := s.clone("lost request")
	c.requests = slices.Delete(c.requests, i, i+1)
	return append(states, c)
}

func (s *modelState) handleRequest(request Request) {
	if !s.allocator.HandleRequest(s.now, &request) {
		return
	}
	for _, allocation := range s.allocator.Allocate(s.now) {
		sent := modelAllocation{allocation, s.holder(request.Holder).requestedAt}
		s.allocations = append(s.allocations, sent)
	}
}

func (s *modelState) deliverAllocation(i int) *modelState {
	allocation := s.allocations[i]
	c := s.clone("allocation" + allocation.Holder)
	c.allocations = slices.Delete(c.allocations, i, i+1)
	h := c.holder(allocation.Holder)
	if h.canUse(c.now, h.requestedAt, allocation.Allocation) {
		h.units, h.validUntil, h.isWaiting = allocation.Units, h.requestedAt+modelSettings.AllocationTime, false
	}
	return c
}

// search visits all reachable states, up to maxModelStates. It returns the number of states found and, if there is a
// violation, the first one with the steps that lead to it.
func search(faults InjectedFaults, ticks Time) (states int, violation string) {
	initial := &modelState{
		movedAt: -1, requestsLeft: modelRequests, end: ticks * modelTick,
		allocator: NewAllocator(0, modelSettings, 0, 1, faults),
	}
	initial.allocator.available, _ = modelSettings.limits(0, 1) // it has held the budget for a long time
	seen := map[string]bool{initial.key(): true}
	for queue := []*modelState{initial}; len(queue) > 0 && len(seen) < maxModelStates; queue = queue[1:] {
		for _, state := range queue[0].successors(faults) {
			if violation := state.violation(); violation != "" {
				return len(seen), violation + ":" + state.path
			}
			if key := state.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, state)
			}
		}
	}
	return len(seen), ""
}

func TestModelHasNoViolation(t *testing.T) {
	ticks := modelTicks
	if os.Getenv("IRISPOST_MODEL") != "" {
		ticks = longModelTicks
	}
	states, violation := search(0, ticks)
	if violation != "" {
		t.Fatal(violation)
	}
	if states >= maxModelStates {
		t.Error("the search stopped at the maximum number of states, want all states searched")
	}
	t.Logf("%d states, no violation", states)
}

func TestModelFindsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]InjectedFaults{
		"all available at the start":        FaultFullStart,
		"outstanding units are not counted": FaultIgnoreOutstanding,
		"a request is counted twice":        FaultAcceptDuplicates | FaultTrustReturned,
		"an allocation expires early":       FaultEarlyExpiry,
		"returned units are used":           FaultUseReturned,
	} {
		states, violation := search(faults, longModelTicks)
		if violation == "" {
			t.Errorf("%s: got no violation in %d states, want one", name, states)
			continue
		}
		t.Logf("%s, after %d states: %s", name, states, violation)
	}
}
