package scale

import (
	"strings"
	"testing"
)

// What the verdicts find in records made by hand, and what only looks like it.
func TestVerdicts(t *testing.T) {
	for acts, want := range map[string]uint64{"3.1b464b6d": 3, "2.aa&3.bb": 0, "floor of 3.bb": 0, "none": 0, "none yet": 0, "not there": 0, "3": 0, "": 0} {
		if got := alone(acts); got != want {
			t.Errorf("%q acts on %d alone, not on %d", acts, got, want)
		}
	}
	move := func(at int64, to string) Turn { return Turn{At: at, Acts: "1.a", Moved: map[int]string{5: to}} }
	for name, c := range map[string]struct {
		turns []Turn
		at    int64
		says  string
	}{
		"turns":                  {[]Turn{{At: 1}, move(7e6, ""), move(9e6, "new")}, 9e6, ""},
		"never turns":            {[]Turn{{At: 1}, move(7e6, "")}, 0, "never turned"},
		"nothing is told":        {nil, 0, "never turned"},
		"turns back":             {[]Turn{move(9e6, "new"), move(12e6, "old"), move(13e6, "new")}, 9e6, "turned back to old, 3 ms after"},
		"sends nowhere at last":  {[]Turn{move(9e6, "new"), move(12e6, "")}, 9e6, `sends to "" at the end`},
		"nowhere for a moment":   {[]Turn{move(9e6, "new"), move(12e6, ""), move(13e6, "new")}, 9e6, ""},
		"another shard's no one": {[]Turn{move(9e6, "new"), {At: 11e6, Moved: map[int]string{6: "old"}}}, 9e6, ""},
	} {
		at, broken := turned(c.turns, 5, "old", "new")
		if at != c.at || (broken == "") != (c.says == "") || !strings.Contains(broken, c.says) {
			t.Errorf("%s: %d, %q", name, at, broken)
		}
	}
	if list := laggards(map[string]string{"a": "3.x", "b": "2.x&3.y", "c": "not there", "d": "4.x"}, 3); len(list) != 3 || !strings.HasPrefix(list[0], "b acts on 2.x&3.y") {
		t.Errorf("laggards: %v", list)
	}
	if list := differing(map[string]string{"a": "x", "b": "x", "c": "y"}); len(list) != 1 || !strings.HasPrefix(list[0], "c: y") {
		t.Errorf("differing: %v", list)
	}
	if list := differing(map[string]string{"a": "x", "b": "x"}); len(list) != 0 {
		t.Errorf("the same is differing: %v", list)
	}
	for name, c := range map[string]struct {
		parts []float64
		grows bool
	}{
		"a leading keeper over 400 changes that keeps all": {[]float64{126, 222, 317, 412}, true}, // 30 before, 412 after
		"a keeper that forgets":                            {[]float64{44, 52, 41, 55}, false},
		"little":                                           {[]float64{1, 2, 3, 4}, false},
		"too few to tell":                                  {[]float64{30, 30}, true},
	} {
		if text := grown("it", c.parts); (text != "") != c.grows {
			t.Errorf("%s: %q", name, text)
		}
	}
	turns := []Turn{{At: 1, Acts: "1.a"}, {At: 2, Acts: "1.a&2.b"}, {At: 3, Acts: "2.b"}, {At: 4, Acts: "floor of 2.b"}, {At: 5, Acts: "2.b"}}
	if at, ok := since(turns, 2); at != 3 || !ok {
		t.Errorf("on 2 alone since %d, %v", at, ok)
	}
	if _, ok := since(turns, 3); ok {
		t.Error("on a version that it was never told of")
	}
	for _, c := range []struct{ changes, events int }{{950, 150}, {950, 5}, {16, 4}, {3, 0}, {7, 7}} {
		count := 0
		for i := 1; i <= c.changes; i++ {
			if n := due(i, c.changes, c.events); n > 0 {
				if count++; n != count {
					t.Errorf("event %d of %+v is due as %d", count, c, n)
				}
			}
		}
		if count != c.events {
			t.Errorf("%d events of %+v", count, c)
		}
	}
}

// Sizes that no fleet can have are refused, and those of the letter and of the tests are not.
func TestSizes(t *testing.T) {
	for _, s := range []Size{Full(), Short(), large()} {
		if err := s.Check(); err != nil {
			t.Error(err)
		}
	}
	for says, change := range map[string]func(*Size){
		"1 gateways":                func(s *Size) { s.Gateways = 1 },
		"2 keepers":                 func(s *Size) { s.ReplicaRegions = []int{0, 1} },
		"a keeper in region 2":      func(s *Size) { s.ReplicaRegions = []int{0, 1, 2} },
		"two regions":               func(s *Size) { s.FirstRegionZones = s.Zones },
		"lease 0s":                  func(s *Size) { s.Lease = 0 },
		`there is no fault "flood"`: func(s *Size) { s.Faults = []string{"flood"} },
		"at most one restart":       func(s *Size) { s.Restarts = s.Changes + 1 },
		"replacements of":           func(s *Size) { s.Replacements = s.Nodes + 1 },
	} {
		s := Full()
		change(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", says, err)
		}
	}
}
