package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// testSettings returns settings that exercise every rule, with further settings given as "name=value".
func testSettings(overrides ...string) Settings {
	settings := Settings{
		"gateways":         "2",
		"discovery":        "ask",
		"cold.from":        "0.2",
		"cold.time":        "10000",
		"cold.multiple":    "2",
		"cold.window":      "1000",
		"cold.units":       "6",
		"further.free":     "2",
		"further.share":    "0.2",
		"further.window":   "1000",
		"key.rest":         "60",
		"units.mean":       "2",
		"units.largest":    "8",
		"executions.most":  "3",
		"calling_off":      "true",
		"second_copies":    "true",
		"retry_after":      "true",
		"retry_after.most": "1000",
		"plans.count":      "2",
		"plans.0.name":     "basic",
		"plans.0.weight":   "1",
		"plans.0.limit":    "30",
		"plans.0.burst":    "32",
		"plans.1.name":     "gold",
		"plans.1.weight":   "3",
		"plans.1.reserve":  "20",
		"products.count":   "4",
	}
	for i, class := range []struct{ name, kind, group string }{
		{"read", "replayable", "all"},
		{"once", "single-use", "all"},
		{"mark", "referenced", "shard"},
		{"line", "replayable", "all"},
	} {
		set := func(name, value string) { settings[itemName("products", i, name)] = value }
		set("name", class.name)
		set("kind", class.kind)
		set("group", class.group)
		set("goal", "200")
		set("patience", "600")
		set("window", "150")
		set("in_turn", strconv.FormatBool(class.name == "line"))
	}
	for _, setting := range overrides {
		name, value, _ := strings.Cut(setting, "=")
		settings[name] = value
	}
	return settings
}

// harness drives a scheduler with simulated clients, an endpoint list, and nodes whose answers are scripted or
// random. After every step it checks the platform's invariants, based on the events that it sent and the decisions
// that it received.
type harness struct {
	scheduler       *Scheduler
	settings        Settings
	now             Time
	random          pcg32
	gatewayCount    float64 // of each volume; at least two
	requests        []*Request
	inFlight        []*Attempt
	finished        map[*Request]bool // requests that have their final answer
	listed          map[string]EndpointState
	keyQueues       map[int64][]*Request
	keyBlockedUntil map[int64]Time
	arrivals        []Time
	retries         []Time
	rateLimits      map[*Volume]*TokenBucket
	dispatched      []*Attempt // by the latest decision
	startedAt       Time
	trace           strings.Builder // all decisions
	violation       string          // the first one, or empty
}

func newHarness(seed uint64, settings Settings) *harness {
	return &harness{
		scheduler:       New(Second, seed, settings),
		settings:        settings,
		now:             Second,
		random:          newPCG32(seed),
		finished:        map[*Request]bool{},
		listed:          map[string]EndpointState{},
		keyQueues:       map[int64][]*Request{},
		keyBlockedUntil: map[int64]Time{},
		rateLimits:      map[*Volume]*TokenBucket{},
		startedAt:       Second,
	}
}

// recordViolation records a violated invariant. Only the first one is kept.
func (h *harness) recordViolation(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf(format, args...)
	}
}

// listNode updates one node in the endpoint list.
func (h *harness) listNode(addr string, shard int, startedAt Time, state EndpointState) {
	h.listed[addr] = state
	h.scheduler.BeginEndpointList(h.now, false, false)
	h.scheduler.UpdateEndpoint(addr, "z"+addr[:1], shard, startedAt, state)
	h.scheduler.FinishEndpointList()
}

// node returns the scheduler's node with the given address.
func (h *harness) node(addr string) *Node { return h.scheduler.nodesByAddress[addr] }

// submit submits a request. Volumes with even IDs have the first service level, the others the second.
func (h *harness) submit(volume int64, class string, shard int, units float64) *Request {
	request := &Request{
		ID:       strconv.Itoa(len(h.requests)),
		Units:    units,
		Shard:    shard,
		Key:      volume % 3,
		Deadline: h.now + 600*Millisecond,
	}
	h.requests = append(h.requests, request)
	h.arrivals = append(h.arrivals, h.now)
	level := []string{"basic", "gold"}[volume%2]
	h.scheduler.Submit(h.now, request, volume, level, class, max(h.gatewayCount, 2), true)
	if class == "line" {
		h.keyQueues[request.Key] = append(h.keyQueues[request.Key], request)
	}
	if h.rateLimits[request.Volume] == nil {
		h.rateLimits[request.Volume] = &TokenBucket{Rate: 15, Capacity: 16, UpdatedAt: h.startedAt}
	}
	return request
}

// finish ends an attempt with an outcome.
func (h *harness) finish(attempt *Attempt, outcome Outcome) {
	for i := range h.inFlight {
		if h.inFlight[i] == attempt {
			h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			break
		}
	}
	request := attempt.Request
	final := outcome == OutcomeServed || h.finished[request]
	if outcome == OutcomeServed {
		h.finished[request] = true
	}
	mayStillRun := outcome == OutcomeTimeout || outcome == OutcomeReset || outcome == OutcomeCancelled
	if request.Class.Ordered && mayStillRun {
		h.keyBlockedUntil[request.Key] = max(h.keyBlockedUntil[request.Key], h.now+60*Millisecond)
	}
	h.scheduler.AttemptFinished(h.now, request.ID, attempt.Number, outcome, h.now-attempt.SentAt, final, 0)
}

// finishAll ends all attempts in flight with an outcome.
func (h *harness) finishAll(outcome Outcome) {
	for len(h.inFlight) > 0 {
		h.finish(h.inFlight[0], outcome)
	}
}

// decide calls Decide and checks the decision.
func (h *harness) decide() {
	h.scheduler.now = h.now
	for _, node := range h.scheduler.nodes {
		h.scheduler.advanceBusyTime(node) // so that checkDispatch sees the same in-flight limit as Decide
	}
	decision := h.scheduler.Decide(h.now)
	for _, request := range decision.Finished {
		fmt.Fprintf(&h.trace, "%d %s ends %d wait %d\n", h.now, request.ID, request.State, request.RetryAfter)
		h.checkFinished(request)
	}
	for _, attempt := range decision.Cancel {
		if attempt.Outcome == OutcomePending {
			h.finish(attempt, OutcomeCancelled)
		}
	}
	h.dispatched = append(h.dispatched[:0], decision.Dispatch...)
	for _, attempt := range decision.Dispatch {
		fmt.Fprintf(&h.trace, "%d %s.%d to %s\n", h.now, attempt.Request.ID, attempt.Number, attempt.Node.Addr)
		h.checkDispatch(attempt)
		h.inFlight = append(h.inFlight, attempt)
	}
	for _, line := range decision.Log {
		fmt.Fprintln(&h.trace, line)
	}
	if decision.NextWake <= h.now {
		h.recordViolation("the next wake time is not in the future")
	}
}

// checkFinished checks a request that has been given up.
func (h *harness) checkFinished(request *Request) {
	if h.finished[request] {
		h.recordViolation("request %s got two final answers", request.ID)
	}
	h.finished[request] = true
	repeatable := request.Class.Name != "once" && request.Class.Name != "mark"
	for _, attempt := range request.Attempts {
		if !repeatable && request.State == RequestRejected && !attempt.Outcome.NeverExecuted() {
			h.recordViolation("request %s was rejected although it may have executed", request.ID)
		}
	}
	if request.RetryAfter > Second {
		h.recordViolation("request %s has a Retry-After of %d ns, want at most 1 s", request.ID, request.RetryAfter)
	}
}

// checkDispatch checks an attempt that is being sent.
func (h *harness) checkDispatch(attempt *Attempt) {
	request, node := attempt.Request, attempt.Node
	if h.finished[request] {
		h.recordViolation("request %s was sent after its final answer", request.ID)
	}
	if h.listed[node.Addr] != EndpointReady {
		h.recordViolation("an attempt was sent to %s, which is not ready", node.Addr)
	}
	if request.Shard >= 0 && request.Shard != node.Shard {
		h.recordViolation("request %s was sent to the wrong shard", request.ID)
	}
	h.checkRepeat(attempt)
	if request.Class.Name == "line" {
		h.checkKeyOrder(attempt)
	}
	if attempt.Number > 0 {
		h.checkRetryBudget()
	} else {
		h.checkRateLimit(request)
	}
	h.checkInFlightLimit(attempt)
}

// checkRepeat checks that a request that must not be repeated is not executed twice.
func (h *harness) checkRepeat(attempt *Attempt) {
	request, node := attempt.Request, attempt.Node
	for _, earlier := range request.Attempts[:attempt.Number] {
		if earlier.Outcome.NeverExecuted() {
			continue
		}
		keyForgotten := earlier.Node.Shard != node.Shard || h.now-earlier.SentAt >= 150*Millisecond
		if request.Class.Name == "once" || request.Class.Name == "mark" && keyForgotten {
			h.recordViolation("request %s may be executed twice", request.ID)
		}
	}
}

// checkKeyOrder checks that requests with the same key run one at a time and in order.
func (h *harness) checkKeyOrder(attempt *Attempt) {
	request := attempt.Request
	if h.keyBlockedUntil[request.Key] > h.now && attempt.Number == 0 {
		h.recordViolation("request %s was sent while key %d is blocked, at %d", request.ID, request.Key, h.now)
	}
	for _, earlier := range h.keyQueues[request.Key] {
		if earlier == request {
			break
		}
		if !h.finished[earlier] || earlier.attemptsPending() > 0 {
			h.recordViolation("request %s was sent before the end of request %s with the same key", request.ID, earlier.ID)
		}
	}
}

// checkRetryBudget records a retry and checks it against the retry budget.
func (h *harness) checkRetryBudget() {
	inWindow := func(times []Time) (count float64) {
		for _, at := range times {
			if at > h.now-Second {
				count++
			}
		}
		return count
	}
	h.retries = append(h.retries, h.now)
	if inWindow(h.retries) > 2+0.2*inWindow(h.arrivals) {
		h.recordViolation("the retry budget was exceeded")
	}
}

// checkRateLimit charges a request to its volume's rate limit and checks the limit.
func (h *harness) checkRateLimit(request *Request) {
	if request.Volume.ServiceLevel.RateLimit <= 0 {
		return
	}
	limit := h.rateLimits[request.Volume]
	limit.Refill(h.now)
	limit.Level -= request.Units
	if limit.Level < -1e-9 {
		h.recordViolation("request %s exceeds the rate limit", request.ID)
	}
}

// checkInFlightLimit checks the units in flight at the node of an attempt that is being sent.
func (h *harness) checkInFlightLimit(attempt *Attempt) {
	node := attempt.Node
	units, attempts := attempt.Request.Units, 0
	for _, other := range h.inFlight {
		if other.Node == node && !other.PresumedLost {
			units += other.Request.Units
			attempts++
		}
	}
	limit := h.scheduler.inFlightLimit(node)
	mayExceed := attempts == 0 || attempts == 1 && h.scheduler.lightlyLoaded(node) || node.Suspected
	if !mayExceed && units > limit+1e-9 || units > 2*maxLimitRequests*h.scheduler.meanUnits {
		h.recordViolation("%s has %g units in %d attempts in flight, the scheduler counts %g in %d, limit %g, at %d",
			node.Addr, units, attempts, node.UnitsInFlight, node.AttemptsInFlight, limit, h.now)
	}
}

// advance moves the clock forward, times out attempts whose deadline has passed, and calls decide.
func (h *harness) advance(span Time) {
	h.now += span
	for _, attempt := range slices.Clone(h.inFlight) {
		if h.now >= attempt.Request.Deadline {
			h.finish(attempt, OutcomeTimeout)
		}
	}
	h.decide()
	for _, request := range h.requests {
		if !h.finished[request] && h.now > request.Deadline {
			h.recordViolation("request %s has no final answer", request.ID)
		}
	}
}

// advanceInSteps moves the clock forward in steps of 20 ms.
func (h *harness) advanceInSteps(span Time) {
	for ; span > 0; span -= 20 * Millisecond {
		h.advance(min(span, 20*Millisecond))
	}
}

// expectEqual reports an error if got is not the expected value or if an invariant has been violated.
func expectEqual(t *testing.T, h *harness, what string, got, expected any) {
	t.Helper()
	if h.violation != "" {
		t.Errorf("invariant violated: %s", h.violation)
	}
	if got != expected {
		t.Errorf("%s: got %v, want %v", what, got, expected)
	}
}
