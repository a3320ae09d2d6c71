package scale

import (
	"strings"
	"testing"
)

func TestSoleVersionIsThatOfASingleVersionInForce(t *testing.T) {
	for actingOn, want := range map[string]uint64{
		"3.1b464b6d": 3, "2.aa&3.bb": 0, "floor of 3.bb": 0, "none": 0, "nothing (no list yet)": 0,
		"nothing (not running)": 0, "3": 0, "": 0,
	} {
		if got := soleVersion(actingOn); got != want {
			t.Errorf("soleVersion(%q) = %d, want %d", actingOn, got, want)
		}
	}
}

func TestSwitchedAtFindsTheFirstSwitchAndAnyWayBack(t *testing.T) {
	move := func(at int64, addr string) ListUpdate {
		return ListUpdate{At: at, ActingOn: "1.a", MovedShards: map[int]string{5: addr}}
	}
	for name, c := range map[string]struct {
		updates []ListUpdate
		at      int64
		want    string
	}{
		"switches":       {[]ListUpdate{{At: 1}, move(7e6, ""), move(9e6, "new")}, 9e6, ""},
		"never switches": {[]ListUpdate{{At: 1}, move(7e6, "")}, 0, "never switched"},
		"no update":      {nil, 0, "never switched"},
		"goes back": {[]ListUpdate{move(9e6, "new"), move(12e6, "old"), move(13e6, "new")}, 9e6,
			"switched back to old, 3 ms after"},
		"sends to no node at last": {[]ListUpdate{move(9e6, "new"), move(12e6, "")}, 9e6, `sends to "" at the end`},
		"no node for a moment":     {[]ListUpdate{move(9e6, "new"), move(12e6, ""), move(13e6, "new")}, 9e6, ""},
		"another shard is the old's": {[]ListUpdate{move(9e6, "new"), {At: 11e6, MovedShards: map[int]string{6: "old"}}},
			9e6, ""},
	} {
		at, violation := switchedAt(c.updates, 5, "old", "new")
		if at != c.at || (violation == "") != (c.want == "") || !strings.Contains(violation, c.want) {
			t.Errorf("%s: got a switch at %d and violation %q", name, at, violation)
		}
	}
}

func TestLaggardsAreAllThatDoNotActOnTheVersionAlone(t *testing.T) {
	list := laggards(map[string]string{"a": "3.x", "b": "2.x&3.y", "c": "nothing (not running)", "d": "4.x"}, 3)
	if len(list) != 3 || !strings.HasPrefix(list[0], "b acts on 2.x&3.y") {
		t.Errorf("got laggards %v, want b, c and d in this order", list)
	}
}

func TestMinorityStatesAreThoseThatDifferFromTheMost(t *testing.T) {
	list := minorityStates(map[string]string{"a": "x", "b": "x", "c": "y"})
	if len(list) != 1 || !strings.HasPrefix(list[0], "c: y") {
		t.Errorf("got %v, want only the state of c", list)
	}
	if list := minorityStates(map[string]string{"a": "x", "b": "x"}); len(list) != 0 {
		t.Errorf("equal states: got %v, want none", list)
	}
}

func TestGrowthViolationToleratesLittleGrowth(t *testing.T) {
	for name, c := range map[string]struct {
		phases []float64
		grows  bool
	}{
		"a leader over 400 changes that keeps all": {[]float64{126, 222, 317, 412}, true}, // 30 before, 412 after
		"a replica that compacts":                  {[]float64{44, 52, 41, 55}, false},
		"little":                                   {[]float64{1, 2, 3, 4}, false},
		"too few phases":                           {[]float64{30, 30}, true},
	} {
		if text := growthViolation("it", c.phases); (text != "") != c.grows {
			t.Errorf("%s: got violation %q", name, text)
		}
	}
}

func TestActingSinceIsTheFirstUpdateOfTheVersionAlone(t *testing.T) {
	updates := []ListUpdate{
		{At: 1, ActingOn: "1.a"},
		{At: 2, ActingOn: "1.a&2.b"},
		{At: 3, ActingOn: "2.b"},
		{At: 4, ActingOn: "floor of 2.b"},
		{At: 5, ActingOn: "2.b"},
	}
	if at, ok := actingSince(updates, 2); at != 3 || !ok {
		t.Errorf("version 2: got %d, %v, want 3, true", at, ok)
	}
	if _, ok := actingSince(updates, 3); ok {
		t.Error("version 3, which no update has: got ok, want not ok")
	}
}

func TestScheduledEventsComeEachOnceAndInOrder(t *testing.T) {
	for _, c := range []struct{ changes, events int }{{950, 150}, {950, 5}, {16, 4}, {3, 0}, {7, 7}} {
		count := 0
		for i := 1; i <= c.changes; i++ {
			event := scheduledEvent(i, c.changes, c.events)
			if event == 0 {
				continue
			}
			count++
			if event != count {
				t.Errorf("event %d of %+v: got number %d", count, c, event)
			}
		}
		if count != c.events {
			t.Errorf("got %d events for %+v", count, c)
		}
	}
}
