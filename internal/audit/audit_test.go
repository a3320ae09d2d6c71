package audit

import (
	"strings"
	"testing"
)

const ms = int64(1e6)

var parameters = Parameters{
	Slack:              100 * ms,
	Transit:            5 * ms,
	DrainGrace:         2000 * ms,
	ListDelay:          500 * ms,
	DedupWindow:        1000 * ms,
	KeyRest:            100 * ms,
	FreeRetries:        1,
	RetryShare:         0.5,
	RetryWindow:        1000 * ms,
	SlowStartFrom:      0.2,
	SlowStartTime:      5000 * ms,
	SlowStartMultiple:  2,
	SlowStartWindow:    1000 * ms,
	SlowStartFreeUnits: 4,
	VolumeLimits:       map[int64]VolumeLimit{7: {Rate: 10, Burst: 10, Slack: 1}},
}

// The following functions make events. Their times are in milliseconds.

func sent(at int64, request uint32) Event {
	return Event{At: at * ms, Type: RequestSent, Session: "g/b/1", ClientRequest: request, RequestClass: "p",
		ObjectiveBy: (at + 100) * ms, Deadline: (at + 1000) * ms}
}

func answered(at int64, request uint32, outcome Outcome) Event {
	return Event{At: at * ms, Type: ResponseReceived, Session: "g/b/1", ClientRequest: request, Outcome: outcome}
}

func disconnected(at int64, state string) Event {
	return Event{At: at * ms, Type: ClientDisconnected, Session: "g/b/1", State: state}
}

func received(at int64, requestID string, attempt int, change func(*Event)) Event {
	event := Event{At: at * ms, Type: AttemptReceived, Gateway: "g", Node: "n", RequestID: requestID, Attempt: attempt,
		Units: 1, Timeout: 1000 * ms, IdempotencyKey: requestID, Connection: 1}
	if change != nil {
		change(&event)
	}
	return event
}

func attemptAnswered(at int64, requestID string, attempt int, notExecuted bool) Event {
	return Event{At: at * ms, Type: AttemptAnswered, RequestID: requestID, Attempt: attempt, NotExecuted: notExecuted}
}

func executed(at int64, idempotencyKey string) Event {
	return Event{At: at * ms, Type: AttemptExecuted, Idempotency: Keyed, Writes: true, IdempotencyKey: idempotencyKey}
}

func gatewayEvent(at int64, eventType EventType, gateway string) Event {
	return Event{At: at * ms, Type: eventType, Gateway: gateway}
}

func listed(at int64, state string) Event {
	return Event{At: at * ms, Type: NodeListed, Node: "n", State: state}
}

func withIdempotency(idempotency uint8) func(*Event) {
	return func(event *Event) {
		event.Idempotency = idempotency
		event.Writes = true
	}
}

func withKey(key int64) func(*Event) { return func(event *Event) { event.OrderingKey = key } }

func withUnits(units float64) func(*Event) {
	return func(event *Event) {
		event.Volume = 7
		event.Units = units
	}
}

func keyedAt(node string, shard int) func(*Event) {
	return func(event *Event) {
		event.Node = node
		event.Shard = shard
		event.Idempotency = Keyed
		event.Writes = true
	}
}

// endMillis is the time of the last event of each case, after all deadlines.
const endMillis = 1_000_000

var lastEvent = Event{At: endMillis * ms, Type: NodeListed, Node: "x", State: StateReady}

const (
	firstID  = "g/b/1:1#1"
	secondID = "g/b/1:2#2"
)

// ruleCase is a list of events that violate one rule, or none if rule is empty.
type ruleCase struct {
	name, rule string
	events     []Event
}

var deliveryCases = []ruleCase{
	{"answered in time", "", []Event{
		sent(0, 1),
		received(1, firstID, 0, nil),
		attemptAnswered(9, firstID, 0, false),
		answered(10, 1, Succeeded),
	}},
	{"no answer", RuleNoRequestLost, []Event{sent(0, 1)}},
	{"answered late", RuleNoRequestLost, []Event{sent(0, 1), answered(1200, 1, Succeeded)}},
	{"late within the slack", "", []Event{sent(0, 1), answered(1050, 1, Succeeded)}},
	{"late as its gateway was paused", "", []Event{
		sent(0, 1),
		gatewayEvent(500, GatewayPaused, "g"),
		gatewayEvent(3000, GatewayResumed, "g"),
		answered(3050, 1, Succeeded),
	}},
	{"late after its gateway resumed", RuleNoRequestLost, []Event{
		sent(0, 1),
		gatewayEvent(500, GatewayPaused, "g"),
		gatewayEvent(3000, GatewayResumed, "g"),
		answered(3200, 1, Succeeded),
	}},
	{"sent while its gateway was paused", "", []Event{
		gatewayEvent(1, GatewayPaused, "g"),
		sent(10, 1),
		gatewayEvent(3000, GatewayResumed, "g"),
		answered(3900, 1, Succeeded),
	}},
	{"late while another gateway was paused", RuleNoRequestLost, []Event{
		sent(0, 1),
		gatewayEvent(500, GatewayPaused, "h"),
		gatewayEvent(3000, GatewayResumed, "h"),
		answered(3050, 1, Succeeded),
	}},
	{"two answers", RuleNoRequestLost, []Event{sent(0, 1), answered(5, 1, Succeeded), answered(6, 1, Rejected)}},
	{"answer without a request", RuleNoRequestLost, []Event{answered(5, 1, Succeeded)}},
	{"attempt after the answer", RuleNoRequestLost, []Event{
		sent(0, 1),
		answered(5, 1, Rejected),
		received(300, firstID, 0, nil),
	}},
	{"client closed its connection", "", []Event{sent(0, 1), disconnected(5, StateClosed)}},
	{"client closed after the deadline", RuleNoRequestLost, []Event{
		sent(0, 1),
		disconnected(2000, StateClosed),
	}},
	{"gateway closed the connection", RuleNoRequestLost, []Event{sent(0, 1), disconnected(5, StateBroken)}},
	{"gateway was killed", "", []Event{
		sent(0, 1),
		gatewayEvent(4, GatewayKilled, "g"),
		disconnected(5, StateBroken),
	}},
}

var effectCases = []ruleCase{
	{"effect twice", RuleNoDuplicateEffect, []Event{executed(1, "m"), executed(2, "m")}},
	{"two effects", "", []Event{executed(1, "m"), executed(2, "n")}},
	{"retry of a non-idempotent request", RuleNoDuplicateEffect, []Event{
		sent(0, 1),
		received(1, firstID, 0, withIdempotency(NonIdempotent)),
		received(50, firstID, 1, withIdempotency(NonIdempotent)),
		answered(60, 1, Failed),
	}},
	{"retry of a non-idempotent request that was not executed", "", []Event{
		sent(0, 1),
		received(1, firstID, 0, withIdempotency(NonIdempotent)),
		attemptAnswered(2, firstID, 0, true),
		received(50, firstID, 1, withIdempotency(NonIdempotent)),
		answered(60, 1, Succeeded),
	}},
	{"keyed retry at another shard", RuleNoDuplicateEffect, []Event{
		received(1, firstID, 0, keyedAt("n", 0)),
		received(50, firstID, 1, keyedAt("m", 1)),
	}},
	{"keyed retry at its shard", "", []Event{
		received(1, firstID, 0, keyedAt("n", 0)),
		received(50, firstID, 1, keyedAt("m", 0)),
	}},
	{"keyed retry after the deduplication window", RuleNoDuplicateEffect, []Event{
		received(1, firstID, 0, withIdempotency(Keyed)),
		received(1500, firstID, 1, withIdempotency(Keyed)),
	}},
	{"rejected though it may have been executed", RuleNoDuplicateEffect, []Event{
		sent(0, 1),
		received(1, firstID, 0, withIdempotency(Keyed)),
		answered(5, 1, Rejected),
	}},
	{"rejected and not executed", "", []Event{
		sent(0, 1),
		received(1, firstID, 0, withIdempotency(Keyed)),
		attemptAnswered(2, firstID, 0, true),
		answered(5, 1, Rejected),
	}},
	{"failed", "", []Event{sent(0, 1), received(1, firstID, 0, withIdempotency(Keyed)), answered(5, 1, Failed)}},
}

var drainingCases = []ruleCase{
	{"attempt at a draining node", RuleDraining, []Event{
		listed(0, StateDraining),
		received(2600, firstID, 0, nil),
	}},
	{"attempt within the grace", "", []Event{listed(0, StateDraining), received(2400, firstID, 0, nil)}},
	{"removed after draining", RuleDraining, []Event{
		listed(0, StateDraining),
		listed(2000, StateRemoved),
		received(2600, firstID, 0, nil),
	}},
	{"ready again", "", []Event{
		listed(0, StateRemoved),
		listed(9, StateReady),
		received(2600, firstID, 0, nil),
	}},
}

var slowStartCases = []ruleCase{
	{"over the capacity of a node that warms up", RuleSlowStart, []Event{
		{At: 1, Type: NodeStarted, Node: "n", Rate: 10},
		received(10, firstID, 0, withUnits(3)),
		received(20, secondID, 0, withUnits(3)),
	}},
	{"within the capacity of a node that warms up", "", []Event{
		{At: 1, Type: NodeStarted, Node: "n", Rate: 10},
		received(10, firstID, 0, nil),
		received(20, secondID, 0, nil),
	}},
	{"node overloaded", RuleSlowStart, []Event{{At: 1, Type: NodeOverloaded, Node: "n"}}},
}

var orderingCases = []ruleCase{
	{"next of a key while the first runs", RuleOrdering, []Event{
		received(1, firstID, 0, withKey(3)),
		received(5, secondID, 0, withKey(3)),
		attemptAnswered(9, firstID, 0, false),
	}},
	{"next of a key after the first", "", []Event{
		received(1, firstID, 0, withKey(3)),
		attemptAnswered(4, firstID, 0, false),
		received(5, secondID, 0, withKey(3)),
	}},
	{"older of a key after the newer", RuleOrdering, []Event{
		received(1, secondID, 0, withKey(3)),
		attemptAnswered(4, secondID, 0, false),
		received(5, firstID, 0, withKey(3)),
	}},
	{"no rest after a timeout", RuleOrdering, []Event{
		received(1, firstID, 0, withKey(3)),
		received(1050, secondID, 0, withKey(3)),
	}},
	{"rested after a timeout", "", []Event{
		received(1, firstID, 0, withKey(3)),
		received(1102, secondID, 0, withKey(3)),
	}},
	{"no rest after a cancellation", RuleOrdering, []Event{
		received(1, firstID, 0, withKey(3)),
		{At: 9 * ms, Type: AttemptCancelled, RequestID: firstID},
		received(60, secondID, 0, withKey(3)),
	}},
	{"rested after a broken connection", "", []Event{
		received(1, firstID, 0, withKey(3)),
		{At: 9 * ms, Type: NodeConnectionEnded, Connection: 1},
		received(110, secondID, 0, withKey(3)),
	}},
	{"another key", "", []Event{received(1, firstID, 0, withKey(3)), received(5, secondID, 0, withKey(4))}},
}

var retryBudgetCases = []ruleCase{
	{"over the retry budget", RuleRetryBudget, []Event{
		received(1, firstID, 0, nil),
		received(2, firstID, 1, nil),
		received(3, firstID, 2, nil),
		received(4, firstID, 3, nil),
	}},
	{"within the retry budget", "", []Event{received(1, firstID, 0, nil), received(2, firstID, 1, nil)}},
}

var volumeLimitCases = []ruleCase{
	{"over the volume's limit", RuleVolumeLimits, []Event{
		received(1, firstID, 0, withUnits(8)),
		received(2, secondID, 0, withUnits(4)),
	}},
	{"token bucket refilled", "", []Event{
		received(1, firstID, 0, withUnits(8)),
		received(500, secondID, 0, withUnits(4)),
	}},
	{"retry does not count for the limit", "", []Event{
		received(1, firstID, 0, withUnits(8)),
		attemptAnswered(2, firstID, 0, false),
		received(3, firstID, 1, withUnits(8)),
	}},
}

func TestEachRuleFindsItsViolationsOnly(t *testing.T) {
	for _, cases := range [][]ruleCase{
		deliveryCases, effectCases, drainingCases, slowStartCases, orderingCases, retryBudgetCases, volumeLimitCases,
	} {
		for _, c := range cases {
			for _, result := range Check(append(c.events, lastEvent), parameters) {
				if want := result.Name == c.rule; (result.Violations > 0) != want {
					t.Errorf("%s: rule %q: got %d violations, want violations only of the rule of the case: %s",
						c.name, result.Name, result.Violations, strings.Join(result.Examples, "; "))
				}
				if result.Violations > result.Checked && result.Name != RuleSlowStart && result.Name != RuleNoRequestLost {
					t.Errorf("%s: rule %q: got %d violations, want at most as many as its %d checks",
						c.name, result.Name, result.Violations, result.Checked)
				}
			}
		}
	}
}

func TestPassedNeedsACheckAndNoViolation(t *testing.T) {
	for name, c := range map[string]struct {
		results []RuleResult
		want    bool
	}{
		"nothing checked": {[]RuleResult{{}, {}}, false},
		"one checked":     {[]RuleResult{{}, {Checked: 1}}, true},
		"one violated":    {[]RuleResult{{Checked: 9}, {Checked: 1, Violations: 1}}, false},
	} {
		if got := Passed(c.results); got != c.want {
			t.Errorf("%s: got %t, want the opposite", name, got)
		}
	}
}

func TestSummarizeCountsEachOutcome(t *testing.T) {
	summary := Summarize([]Event{
		sent(0, 1), sent(0, 2), sent(0, 3), sent(0, 4), sent(0, 5),
		answered(50, 1, Succeeded),
		answered(200, 2, Succeeded),
		answered(5, 3, Rejected),
		answered(6, 3, Succeeded),
		answered(5, 4, Failed),
	})
	if summary.Sent != 5 || summary.Succeeded != 2 || summary.Rejected != 1 || summary.Failed != 1 || summary.Lost != 1 ||
		summary.AnsweredTwice != 1 || summary.ClientCancelled != 0 ||
		summary.Classes[0].WithinObjective != 1 || summary.Classes[0].Sent != 5 {
		t.Errorf("got %+v, want 2 of 5 succeeded (1 in time), 1 rejected, 1 failed, 1 lost, 1 answered twice",
			summary)
	}
}
