package audit

import (
	"cmp"
	"fmt"
	"slices"
)

// The names of the rules, as they appear in reports.
const (
	RuleNoRequestLost     = "no job is lost"
	RuleNoDuplicateEffect = "no effect happens twice"
	RuleDraining          = "drains are kept"
	RuleSlowStart         = "a cold node is not pushed over"
	RuleOrdering          = "order is kept"
	RuleRetryBudget       = "further executions stay within the budget"
	RuleVolumeLimits      = "limits are kept"
)

// maxExamples is the number of violations of a rule that are described.
const maxExamples = 5

// RuleResult is the result of checking a rule.
type RuleResult struct {
	Name       string   `json:"name"`
	Checked    int      `json:"checked"` // number of occasions on which the rule could have been violated
	Violations int      `json:"broken"`
	Examples   []string `json:"first,omitempty"` // descriptions of the first few violations
}

// addViolation counts a violation and adds its description to the examples.
func (r *RuleResult) addViolation(format string, args ...any) {
	r.Violations++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Passed reports whether at least one rule was checked and none was violated.
func Passed(results []RuleResult) bool {
	checked := false
	for _, result := range results {
		if result.Violations > 0 {
			return false
		}
		checked = checked || result.Checked > 0
	}
	return checked
}

// Check checks all rules against the recorded events and returns one result per rule, in a fixed order.
func Check(events []Event, parameters Parameters) []RuleResult {
	t := newTrace(events, parameters)
	return []RuleResult{
		t.checkNoRequestLost(),
		t.checkNoDuplicateEffect(),
		t.checkDraining(),
		t.checkSlowStart(),
		t.checkOrdering(),
		t.checkRetryBudget(),
		t.checkVolumeLimits(),
	}
}

// attempt is an attempt of a request, as seen at the socket of its node.
type attempt struct {
	Event             // AttemptReceived
	answeredAt  int64 // 0: not answered
	notExecuted bool  // the answer proves that the attempt was not executed
	abortedAt   int64 // when it was cancelled or its connection ended; 0: neither
}

// provenNotExecuted reports whether it was known at a time that the attempt was not executed.
func (a *attempt) provenNotExecuted(at int64) bool { return a.notExecuted && a.answeredAt <= at }

// attemptKey identifies an attempt.
type attemptKey struct {
	requestID string
	number    int
}

// clientRequestKey identifies a request by its client's session and number.
type clientRequestKey struct {
	session string
	number  uint32
}

// pause is an interval in which a gateway's process was stopped by a signal.
type pause struct{ from, until int64 }

// trace holds the recorded events, ordered by time, and the indexes that the rules need.
type trace struct {
	parameters      Parameters
	events          []Event
	attempts        []*attempt
	byRequest       map[string][]*attempt
	byClientRequest map[clientRequestKey][]*attempt
	killed          map[string][]int64 // times by gateway
	pauses          map[string][]pause // by gateway
}

func newTrace(events []Event, parameters Parameters) *trace {
	t := &trace{
		parameters:      parameters,
		events:          sortedByTime(events),
		byRequest:       map[string][]*attempt{},
		byClientRequest: map[clientRequestKey][]*attempt{},
		killed:          map[string][]int64{},
		pauses:          map[string][]pause{},
	}
	byKey := map[attemptKey]*attempt{}
	byConnection := map[int64][]*attempt{}
	for _, event := range t.events {
		known := byKey[attemptKey{event.RequestID, event.Attempt}]
		switch event.Type {
		case AttemptReceived:
			received := t.addAttempt(event)
			byKey[attemptKey{event.RequestID, event.Attempt}] = received
			byConnection[event.Connection] = append(byConnection[event.Connection], received)
		case AttemptAnswered:
			if known != nil {
				known.answeredAt = event.At
				known.notExecuted = event.NotExecuted
			}
		case AttemptCancelled:
			if known != nil {
				known.abortedAt = event.At
			}
		case NodeConnectionEnded:
			for _, open := range byConnection[event.Connection] {
				if open.abortedAt == 0 && open.answeredAt == 0 {
					open.abortedAt = event.At
				}
			}
		case GatewayKilled:
			t.killed[event.Gateway] = append(t.killed[event.Gateway], event.At)
		case GatewayPaused:
			t.pauses[event.Gateway] = append(t.pauses[event.Gateway], pause{event.At, event.At})
		case GatewayResumed:
			if pauses := t.pauses[event.Gateway]; len(pauses) > 0 {
				pauses[len(pauses)-1].until = event.At
			}
		}
	}
	return t
}

// sortedByTime returns a copy sorted by time. Events with the same time stay in the order of recording.
func sortedByTime(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// addAttempt indexes an attempt that a node received.
func (t *trace) addAttempt(event Event) *attempt {
	received := &attempt{Event: event}
	t.attempts = append(t.attempts, received)
	t.byRequest[event.RequestID] = append(t.byRequest[event.RequestID], received)
	if session, number, _ := parseRequestID(event.RequestID); number > 0 {
		key := clientRequestKey{session, number}
		t.byClientRequest[key] = append(t.byClientRequest[key], received)
	}
	return received
}

// milliseconds converts nanoseconds to milliseconds, for descriptions.
func milliseconds(nanoseconds int64) int64 { return nanoseconds / 1e6 }
