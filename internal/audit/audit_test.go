package audit

import (
	"strings"
	"testing"
)

const ms = int64(1e6)

var terms = Terms{Slack: 100 * ms, Transit: 5 * ms, Grace: 2000 * ms, ListDelay: 500 * ms, Window: 1000 * ms, KeyRest: 100 * ms,
	FurtherFree: 1, FurtherShare: 0.5, FurtherWindow: 1000 * ms, ColdFrom: 0.2, ColdTime: 5000 * ms, ColdMultiple: 2,
	ColdWindow: 1000 * ms, ColdUnits: 4, Limits: map[int64]Limit{7: {Rate: 10, Burst: 10, Slack: 1}}}

// Shorthands: a client's request and its answer, an execution at a node and its answer. Times are milliseconds.
func asked(at int64, id uint32) Event {
	return Event{At: at * ms, What: Asked, Session: "g/b/1", ID: id, Product: "p", Goal: (at + 100) * ms, Limit: (at + 1000) * ms}
}
func told(at int64, id uint32, a Answer) Event {
	return Event{At: at * ms, What: Told, Session: "g/b/1", ID: id, Answer: a}
}
func got(at int64, job string, number int, more func(*Event)) Event {
	e := Event{At: at * ms, What: Got, Gateway: "g", Node: "n", Job: job, Number: number, Units: 1, Left: 1000 * ms, Mark: job, Conn: 1}
	if more != nil {
		more(&e)
	}
	return e
}
func gave(at int64, job string, number int, never bool) Event {
	return Event{At: at * ms, What: Gave, Job: job, Number: number, Never: never}
}
func ran(at int64, mark string) Event {
	return Event{At: at * ms, What: Ran, Kind: 1, Change: true, Mark: mark}
}

func kind(k uint8) func(*Event) { return func(e *Event) { e.Kind, e.Change = k, true } }
func key(k int64) func(*Event)  { return func(e *Event) { e.Key = k } }
func vol(units float64) func(*Event) {
	return func(e *Event) { e.Volume, e.Units = 7, units }
}
func at(node string, shard int, k uint8) func(*Event) {
	return func(e *Event) { e.Node, e.Shard, e.Kind, e.Change = node, shard, k, true }
}

const end = 1_000_000 // a day's last moment

var last = Event{At: end * ms, What: Listed, Node: "x", Word: "ready"}

// Each rule finds each way of breaking it, and no other; and what only looks like it is let be.
func TestEachRuleCanBreak(t *testing.T) {
	a, b := "g/b/1:1#1", "g/b/1:2#2"
	for _, c := range []struct {
		name, rule string // rule is empty where none is broken
		events     []Event
	}{
		{"in order", "", []Event{asked(0, 1), got(1, a, 0, nil), gave(9, a, 0, false), told(10, 1, Completed)}},
		{"no answer", NoneLost, []Event{asked(0, 1)}},
		{"late", NoneLost, []Event{asked(0, 1), told(1200, 1, Completed)}},
		{"a little late", "", []Event{asked(0, 1), told(1050, 1, Completed)}},
		{"late, as its gateway stood still", "", []Event{asked(0, 1), {At: 500 * ms, What: Stood, Gateway: "g"}, {At: 3000 * ms, What: WentOn, Gateway: "g"},
			told(3050, 1, Completed)}},
		{"late, after its gateway went on", NoneLost, []Event{asked(0, 1), {At: 500 * ms, What: Stood, Gateway: "g"}, {At: 3000 * ms, What: WentOn, Gateway: "g"},
			told(3200, 1, Completed)}},
		{"asked while its gateway stood still", "", []Event{{At: 1 * ms, What: Stood, Gateway: "g"}, asked(10, 1), {At: 3000 * ms, What: WentOn, Gateway: "g"},
			told(3900, 1, Completed)}},
		{"late, and another gateway stood still", NoneLost, []Event{asked(0, 1), {At: 500 * ms, What: Stood, Gateway: "h"},
			{At: 3000 * ms, What: WentOn, Gateway: "h"}, told(3050, 1, Completed)}},
		{"two answers", NoneLost, []Event{asked(0, 1), told(5, 1, Completed), told(6, 1, Dismissed)}},
		{"an answer nobody asked", NoneLost, []Event{told(5, 1, Completed)}},
		{"sent after the answer", NoneLost, []Event{asked(0, 1), told(5, 1, Dismissed), got(300, a, 0, nil)}},
		{"the client left", "", []Event{asked(0, 1), {At: 5 * ms, What: ClientGo, Session: "g/b/1", Word: "closed"}}},
		{"left after its limit", NoneLost, []Event{asked(0, 1), {At: 2000 * ms, What: ClientGo, Session: "g/b/1", Word: "closed"}}},
		{"the gateway hangs up", NoneLost, []Event{asked(0, 1), {At: 5 * ms, What: ClientGo, Session: "g/b/1", Word: "broke"}}},
		{"the gateway is killed", "", []Event{asked(0, 1), {At: 4 * ms, What: Killed, Gateway: "g"},
			{At: 5 * ms, What: ClientGo, Session: "g/b/1", Word: "broke"}}},

		{"an effect twice", NoneTwice, []Event{ran(1, "m"), ran(2, "m")}},
		{"two effects", "", []Event{ran(1, "m"), ran(2, "n")}},
		{"single-use again", NoneTwice, []Event{asked(0, 1), got(1, a, 0, kind(2)), got(50, a, 1, kind(2)), told(60, 1, WrittenOff)}},
		{"single-use again, never run", "", []Event{asked(0, 1), got(1, a, 0, kind(2)), gave(2, a, 0, true), got(50, a, 1, kind(2)), told(60, 1, Completed)}},
		{"referenced at another shard", NoneTwice, []Event{got(1, a, 0, at("n", 0, 1)), got(50, a, 1, at("m", 1, 1))}},
		{"referenced at its shard", "", []Event{got(1, a, 0, at("n", 0, 1)), got(50, a, 1, at("m", 0, 1))}},
		{"referenced too late", NoneTwice, []Event{got(1, a, 0, kind(1)), got(1500, a, 1, kind(1))}},
		{"dismissed though it may have run", NoneTwice, []Event{asked(0, 1), got(1, a, 0, kind(1)), told(5, 1, Dismissed)}},
		{"dismissed, never run", "", []Event{asked(0, 1), got(1, a, 0, kind(1)), gave(2, a, 0, true), told(5, 1, Dismissed)}},
		{"written off", "", []Event{asked(0, 1), got(1, a, 0, kind(1)), told(5, 1, WrittenOff)}},

		{"sent to a node that drains", Drains, []Event{{At: 0, What: Listed, Node: "n", Word: "draining"}, got(2600, a, 0, nil)}},
		{"within the grace", "", []Event{{At: 0, What: Listed, Node: "n", Word: "draining"}, got(2400, a, 0, nil)}},
		{"gone after draining", Drains, []Event{{At: 0, What: Listed, Node: "n", Word: "draining"},
			{At: 2000 * ms, What: Listed, Node: "n", Word: "gone"}, got(2600, a, 0, nil)}},
		{"back again", "", []Event{{At: 0, What: Listed, Node: "n", Word: "gone"}, {At: 9 * ms, What: Listed, Node: "n", Word: "ready"}, got(2600, a, 0, nil)}},

		{"cold and pushed", Cold, []Event{{At: 1, What: Born, Node: "n", Rate: 10}, got(10, a, 0, vol(3)), got(20, b, 0, vol(3))}},
		{"cold and borne", "", []Event{{At: 1, What: Born, Node: "n", Rate: 10}, got(10, a, 0, nil), got(20, b, 0, nil)}},
		{"fell", Cold, []Event{{At: 1, What: Fell, Node: "n"}}},

		{"overtaken", Order, []Event{got(1, a, 0, key(3)), got(5, b, 0, key(3)), gave(9, a, 0, false)}},
		{"one after the other", "", []Event{got(1, a, 0, key(3)), gave(4, a, 0, false), got(5, b, 0, key(3))}},
		{"out of turn", Order, []Event{got(1, b, 0, key(3)), gave(4, b, 0, false), got(5, a, 0, key(3))}},
		{"no rest", Order, []Event{got(1, a, 0, key(3)), got(1050, b, 0, key(3))}},
		{"rested", "", []Event{got(1, a, 0, key(3)), got(1102, b, 0, key(3))}},
		{"no rest after a call-off", Order, []Event{got(1, a, 0, key(3)), {At: 9 * ms, What: Called, Job: a}, got(60, b, 0, key(3))}},
		{"rested after a break", "", []Event{got(1, a, 0, key(3)), {At: 9 * ms, What: Broke, Conn: 1}, got(110, b, 0, key(3))}},
		{"another key", "", []Event{got(1, a, 0, key(3)), got(5, b, 0, key(4))}},

		{"over the budget", Budget, []Event{got(1, a, 0, nil), got(2, a, 1, nil), got(3, a, 2, nil), got(4, a, 3, nil)}},
		{"within the budget", "", []Event{got(1, a, 0, nil), got(2, a, 1, nil)}},

		{"over the limit", LimitsKept, []Event{got(1, a, 0, vol(8)), got(2, b, 0, vol(4))}},
		{"filled again", "", []Event{got(1, a, 0, vol(8)), got(500, b, 0, vol(4))}},
		{"a further execution", "", []Event{got(1, a, 0, vol(8)), gave(2, a, 0, false), got(3, a, 1, vol(8))}},
	} {
		for _, r := range Check(append(c.events, last), terms) {
			if want := r.Name == c.rule; (r.Broken > 0) != want {
				t.Errorf("%s: %q broken %d times: %s", c.name, r.Name, r.Broken, strings.Join(r.First, "; "))
			}
			if r.Broken > r.Checked && r.Name != Cold && r.Name != NoneLost {
				t.Errorf("%s: %q broken %d times, checked %d", c.name, r.Name, r.Broken, r.Checked)
			}
		}
	}
}

func TestSummary(t *testing.T) {
	s := Summarise([]Event{asked(0, 1), asked(0, 2), asked(0, 3), asked(0, 4), asked(0, 5), told(50, 1, Completed), told(200, 2, Completed),
		told(5, 3, Dismissed), told(6, 3, Completed), told(5, 4, WrittenOff)})
	if s.Jobs != 5 || s.Completed != 2 || s.Dismissed != 1 || s.WrittenOff != 1 || s.Lost != 1 || s.Twice != 1 || s.Left != 0 ||
		s.Products[0].InGoal != 1 || s.Products[0].Jobs != 5 {
		t.Errorf("%+v", s)
	}
}
