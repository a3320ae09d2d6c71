package scheduler

import (
	"math/rand"
	"testing"
	"testing/quick"
)

// randomNodes are the addresses of the nodes in random runs, indexed by shard.
var randomNodes = []string{"a0", "a1", "b2"}

// randomRun simulates a sequence of random events and returns the harness at its end.
func randomRun(seed uint64) *harness {
	h := newHarness(seed, testSettings())
	for shard, addr := range randomNodes {
		h.listNode(addr, shard, 0, EndpointReady)
	}
	failingShard := h.intN(3) // the shard whose node answers only half of the time
	for step := 0; step < 600 && h.violation == ""; step++ {
		h.randomStep(step, failingShard)
	}
	for range 100 {
		h.advance(20 * Millisecond)
	}
	if h.violation == "" && (len(h.scheduler.requests) > 0 || len(h.scheduler.unplaced) > 0) {
		h.recordViolation("%d requests still held, %d unplaced", len(h.scheduler.requests), len(h.scheduler.unplaced))
	}
	return h
}

// intN returns a random number in the half-open interval [0, n).
func (h *harness) intN(n uint32) int { return int(h.random.uint32() % n) }

// randomStep submits requests, ends attempts, possibly changes the list or cancels a request, and advances the clock.
func (h *harness) randomStep(step, failingShard int) {
	classes := []string{"read", "read", "once", "mark", "line", "line"}
	outcomes := []Outcome{
		OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed,
		OutcomeError, OutcomeOverloaded, OutcomeConnectFailed, OutcomeReset,
	}
	for range h.intN(4) {
		h.submit(int64(h.intN(5)), classes[h.intN(6)], h.intN(4)-1, float64(1+h.intN(8)))
	}
	for range h.intN(5) {
		if len(h.inFlight) == 0 {
			continue
		}
		attempt := h.inFlight[h.intN(uint32(len(h.inFlight)))]
		if attempt.Node.Shard != failingShard || step%200 < 100 {
			h.finish(attempt, outcomes[h.intN(10)])
		}
	}
	switch h.intN(40) {
	case 0:
		shard := h.intN(3)
		h.listNode(randomNodes[shard], shard, 0, EndpointState(h.intN(3)))
	case 1:
		shard := h.intN(3)
		h.listNode(randomNodes[shard], shard, h.now, EndpointReady)
	case 2:
		h.scheduler.EndpointListFailed(h.now, false)
	case 3:
		h.cancelLatestRequest()
	}
	h.advance(Time(1+h.intN(25)) * Millisecond)
}

// cancelLatestRequest cancels the latest request if it is still waiting for its answer.
func (h *harness) cancelLatestRequest() {
	if len(h.requests) == 0 {
		return
	}
	request := h.requests[len(h.requests)-1]
	if !h.finished[request] && !request.State.Terminal() {
		h.finished[request] = true
		h.scheduler.ClientCancelled(h.now, request.ID)
	}
}

func TestInvariantsHoldInRandomRuns(t *testing.T) {
	holds := func(seed uint64) bool {
		h := randomRun(seed)
		if h.violation != "" {
			t.Logf("seed %d: %s", seed, h.violation)
		}
		return h.violation == ""
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func TestEqualEventsGiveEqualDecisions(t *testing.T) {
	same := func(seed uint64) bool {
		first, second := randomRun(seed), randomRun(seed)
		return first.trace.String() == second.trace.String()
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 10, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}
