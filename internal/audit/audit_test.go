package audit

import (
	"strings"
	"testing"
)

const ms = int64(1e6)

var terms = Parameters{Slack: 100 * ms, Transit: 5 * ms, DrainGrace: 2000 * ms, ListDelay: 500 * ms, DedupWindow: 1000 * ms, KeyRest: 100 * ms,
	FreeRetries: 1, RetryShare: 0.5, RetryWindow: 1000 * ms, SlowStartFrom: 0.2, SlowStartTime: 5000 * ms, SlowStartMultiple: 2,
	SlowStartWindow: 1000 * ms, SlowStartFreeUnits: 4, VolumeLimits: map[int64]VolumeLimit{7: {Rate: 10, Burst: 10, Slack: 1}}}

// Shorthands: a client's request and its answer, an execution at a node and its answer. Times are milliseconds.
func asked(at int64, id uint32) Event {
	return Event{At: at * ms, Type: RequestSent, Session: "g/b/1", ClientRequest: id, RequestClass: "p", ObjectiveBy: (at + 100) * ms, Deadline: (at + 1000) * ms}
}
func told(at int64, id uint32, a Outcome) Event {
	return Event{At: at * ms, Type: ResponseReceived, Session: "g/b/1", ClientRequest: id, Outcome: a}
}
func got(at int64, job string, number int, more func(*Event)) Event {
	e := Event{At: at * ms, Type: AttemptReceived, Gateway: "g", Node: "n", RequestID: job, Attempt: number, Units: 1, Timeout: 1000 * ms, IdempotencyKey: job, Connection: 1}
	if more != nil {
		more(&e)
	}
	return e
}
func gave(at int64, job string, number int, never bool) Event {
	return Event{At: at * ms, Type: AttemptAnswered, RequestID: job, Attempt: number, NotExecuted: never}
}
func ran(at int64, mark string) Event {
	return Event{At: at * ms, Type: AttemptExecuted, Idempotency: 1, Writes: true, IdempotencyKey: mark}
}

func kind(k uint8) func(*Event) { return func(e *Event) { e.Idempotency, e.Writes = k, true } }
func key(k int64) func(*Event)  { return func(e *Event) { e.OrderingKey = k } }
func vol(units float64) func(*Event) {
	return func(e *Event) { e.Volume, e.Units = 7, units }
}
func at(node string, shard int, k uint8) func(*Event) {
	return func(e *Event) { e.Node, e.Shard, e.Idempotency, e.Writes = node, shard, k, true }
}

const end = 1_000_000 // a day's last moment

var last = Event{At: end * ms, Type: NodeListed, Node: "x", State: "ready"}

// Each rule finds each way of breaking it, and no other; and what only looks like it is let be.
func TestEachRuleCanBreak(t *testing.T) {
	a, b := "g/b/1:1#1", "g/b/1:2#2"
	for _, c := range []struct {
		name, rule string // rule is empty where none is broken
		events     []Event
	}{
		{"in order", "", []Event{asked(0, 1), got(1, a, 0, nil), gave(9, a, 0, false), told(10, 1, Succeeded)}},
		{"no answer", RuleNoRequestLost, []Event{asked(0, 1)}},
		{"late", RuleNoRequestLost, []Event{asked(0, 1), told(1200, 1, Succeeded)}},
		{"a little late", "", []Event{asked(0, 1), told(1050, 1, Succeeded)}},
		{"late, as its gateway stood still", "", []Event{asked(0, 1), {At: 500 * ms, Type: GatewayPaused, Gateway: "g"}, {At: 3000 * ms, Type: GatewayResumed, Gateway: "g"},
			told(3050, 1, Succeeded)}},
		{"late, after its gateway went on", RuleNoRequestLost, []Event{asked(0, 1), {At: 500 * ms, Type: GatewayPaused, Gateway: "g"}, {At: 3000 * ms, Type: GatewayResumed, Gateway: "g"},
			told(3200, 1, Succeeded)}},
		{"asked while its gateway stood still", "", []Event{{At: 1 * ms, Type: GatewayPaused, Gateway: "g"}, asked(10, 1), {At: 3000 * ms, Type: GatewayResumed, Gateway: "g"},
			told(3900, 1, Succeeded)}},
		{"late, and another gateway stood still", RuleNoRequestLost, []Event{asked(0, 1), {At: 500 * ms, Type: GatewayPaused, Gateway: "h"},
			{At: 3000 * ms, Type: GatewayResumed, Gateway: "h"}, told(3050, 1, Succeeded)}},
		{"two answers", RuleNoRequestLost, []Event{asked(0, 1), told(5, 1, Succeeded), told(6, 1, Rejected)}},
		{"an answer nobody asked", RuleNoRequestLost, []Event{told(5, 1, Succeeded)}},
		{"sent after the answer", RuleNoRequestLost, []Event{asked(0, 1), told(5, 1, Rejected), got(300, a, 0, nil)}},
		{"the client left", "", []Event{asked(0, 1), {At: 5 * ms, Type: ClientDisconnected, Session: "g/b/1", State: "closed"}}},
		{"left after its limit", RuleNoRequestLost, []Event{asked(0, 1), {At: 2000 * ms, Type: ClientDisconnected, Session: "g/b/1", State: "closed"}}},
		{"the gateway hangs up", RuleNoRequestLost, []Event{asked(0, 1), {At: 5 * ms, Type: ClientDisconnected, Session: "g/b/1", State: "broke"}}},
		{"the gateway is killed", "", []Event{asked(0, 1), {At: 4 * ms, Type: GatewayKilled, Gateway: "g"},
			{At: 5 * ms, Type: ClientDisconnected, Session: "g/b/1", State: "broke"}}},

		{"an effect twice", RuleNoDuplicateEffect, []Event{ran(1, "m"), ran(2, "m")}},
		{"two effects", "", []Event{ran(1, "m"), ran(2, "n")}},
		{"single-use again", RuleNoDuplicateEffect, []Event{asked(0, 1), got(1, a, 0, kind(2)), got(50, a, 1, kind(2)), told(60, 1, Failed)}},
		{"single-use again, never run", "", []Event{asked(0, 1), got(1, a, 0, kind(2)), gave(2, a, 0, true), got(50, a, 1, kind(2)), told(60, 1, Succeeded)}},
		{"referenced at another shard", RuleNoDuplicateEffect, []Event{got(1, a, 0, at("n", 0, 1)), got(50, a, 1, at("m", 1, 1))}},
		{"referenced at its shard", "", []Event{got(1, a, 0, at("n", 0, 1)), got(50, a, 1, at("m", 0, 1))}},
		{"referenced too late", RuleNoDuplicateEffect, []Event{got(1, a, 0, kind(1)), got(1500, a, 1, kind(1))}},
		{"dismissed though it may have run", RuleNoDuplicateEffect, []Event{asked(0, 1), got(1, a, 0, kind(1)), told(5, 1, Rejected)}},
		{"dismissed, never run", "", []Event{asked(0, 1), got(1, a, 0, kind(1)), gave(2, a, 0, true), told(5, 1, Rejected)}},
		{"written off", "", []Event{asked(0, 1), got(1, a, 0, kind(1)), told(5, 1, Failed)}},

		{"sent to a node that drains", RuleDraining, []Event{{At: 0, Type: NodeListed, Node: "n", State: "draining"}, got(2600, a, 0, nil)}},
		{"within the grace", "", []Event{{At: 0, Type: NodeListed, Node: "n", State: "draining"}, got(2400, a, 0, nil)}},
		{"gone after draining", RuleDraining, []Event{{At: 0, Type: NodeListed, Node: "n", State: "draining"},
			{At: 2000 * ms, Type: NodeListed, Node: "n", State: "gone"}, got(2600, a, 0, nil)}},
		{"back again", "", []Event{{At: 0, Type: NodeListed, Node: "n", State: "gone"}, {At: 9 * ms, Type: NodeListed, Node: "n", State: "ready"}, got(2600, a, 0, nil)}},

		{"cold and pushed", RuleSlowStart, []Event{{At: 1, Type: NodeStarted, Node: "n", Rate: 10}, got(10, a, 0, vol(3)), got(20, b, 0, vol(3))}},
		{"cold and borne", "", []Event{{At: 1, Type: NodeStarted, Node: "n", Rate: 10}, got(10, a, 0, nil), got(20, b, 0, nil)}},
		{"fell", RuleSlowStart, []Event{{At: 1, Type: NodeOverloaded, Node: "n"}}},

		{"overtaken", RuleOrdering, []Event{got(1, a, 0, key(3)), got(5, b, 0, key(3)), gave(9, a, 0, false)}},
		{"one after the other", "", []Event{got(1, a, 0, key(3)), gave(4, a, 0, false), got(5, b, 0, key(3))}},
		{"out of turn", RuleOrdering, []Event{got(1, b, 0, key(3)), gave(4, b, 0, false), got(5, a, 0, key(3))}},
		{"no rest", RuleOrdering, []Event{got(1, a, 0, key(3)), got(1050, b, 0, key(3))}},
		{"rested", "", []Event{got(1, a, 0, key(3)), got(1102, b, 0, key(3))}},
		{"no rest after a call-off", RuleOrdering, []Event{got(1, a, 0, key(3)), {At: 9 * ms, Type: AttemptCancelled, RequestID: a}, got(60, b, 0, key(3))}},
		{"rested after a break", "", []Event{got(1, a, 0, key(3)), {At: 9 * ms, Type: NodeConnectionEnded, Connection: 1}, got(110, b, 0, key(3))}},
		{"another key", "", []Event{got(1, a, 0, key(3)), got(5, b, 0, key(4))}},

		{"over the budget", RuleRetryBudget, []Event{got(1, a, 0, nil), got(2, a, 1, nil), got(3, a, 2, nil), got(4, a, 3, nil)}},
		{"within the budget", "", []Event{got(1, a, 0, nil), got(2, a, 1, nil)}},

		{"over the limit", RuleVolumeLimits, []Event{got(1, a, 0, vol(8)), got(2, b, 0, vol(4))}},
		{"filled again", "", []Event{got(1, a, 0, vol(8)), got(500, b, 0, vol(4))}},
		{"a further execution", "", []Event{got(1, a, 0, vol(8)), gave(2, a, 0, false), got(3, a, 1, vol(8))}},
	} {
		for _, r := range Check(append(c.events, last), terms) {
			if want := r.Name == c.rule; (r.Violations > 0) != want {
				t.Errorf("%s: %q broken %d times: %s", c.name, r.Name, r.Violations, strings.Join(r.Examples, "; "))
			}
			if r.Violations > r.Checked && r.Name != RuleSlowStart && r.Name != RuleNoRequestLost {
				t.Errorf("%s: %q broken %d times, checked %d", c.name, r.Name, r.Violations, r.Checked)
			}
		}
	}
}

func TestSummary(t *testing.T) {
	s := Summarize([]Event{asked(0, 1), asked(0, 2), asked(0, 3), asked(0, 4), asked(0, 5), told(50, 1, Succeeded), told(200, 2, Succeeded),
		told(5, 3, Rejected), told(6, 3, Succeeded), told(5, 4, Failed)})
	if s.Sent != 5 || s.Succeeded != 2 || s.Rejected != 1 || s.Failed != 1 || s.Lost != 1 || s.AnsweredTwice != 1 || s.ClientCancelled != 0 ||
		s.Classes[0].WithinObjective != 1 || s.Classes[0].Sent != 5 {
		t.Errorf("%+v", s)
	}
}
