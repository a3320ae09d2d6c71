package rig

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// owned is a version by which a node serves the only shard.
func owned(n uint64, owner string, floor int64) *configversion.Version {
	r := &configversion.Config{RequiredFormat: 1, Shards: 1, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"p": {Weight: 1}}, RequestClasses: map[string]configversion.RequestClass{},
		Dispatch: configversion.DispatchPolicy{MaxAttempts: 1}, Nodes: map[string]configversion.Node{"a": {Health: endpoint.Draining}, "b": {Health: endpoint.Draining}},
		FallbackPolicy: configversion.FallbackPolicy{Duration: floor, LimitFraction: 1}}
	r.Nodes[owner] = configversion.Node{}
	return &configversion.Version{Number: n, Digest: r.Digest(), Content: r.Canonical()}
}

// The audit's own checks, on records made by hand: what it has to find, and what only looks like it.
func TestAgree(t *testing.T) {
	versions := []*configversion.Version{owned(1, "a", 50), owned(2, "b", 50), owned(3, "b", 0)}
	for _, c := range []struct {
		name, one, other string
		worst            float64
		broken           int
	}{
		{"the same", "0 false [1]", "0 false [1]", 0, 0},
		{"one on the old, one on the new", "0 false [1]", "0 false [1]\n20000000 false [2]", 80, 1},
		{"for a moment", "0 false [1]\n25000000 false [2]", "0 false [1]\n20000000 false [2]", 5, 0},
		{"one prepared", "0 false [1]", "0 false [1]\n20000000 false [1 2]", 0, 0},
		{"both prepared differently, and one settled", "0 false [1 2]", "0 false [1]\n20000000 false [2]", 0, 0},
		{"versions that say the same", "0 false [2]", "0 false [3]", 0, 0},
		{"one on the floor of the old", "0 true [1]", "0 false [2]", 100, 1},
		{"one on the floor of the same", "0 true [2]", "0 false [3]", 0, 0},
		{"one on nothing", "0 false [1]\n20000000 false []", "0 false [1]\n20000000 false [2]", 0, 0},
		{"two short times are not one long", "0 false [1]\n5000000 false []\n20000000 false [1]\n25000000 false []", "0 false [2]", 5, 0},
	} {
		records := map[string][]Activation{}
		for name, text := range map[string]string{"one": c.one, "other": c.other} {
			list, err := ReadActivations(strings.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			records[name] = list
		}
		if a, err := AuditSweep(records, versions, 10e6, 100e6); err != nil || a.WorstMillis != c.worst || a.Violations != c.broken || a.Pairs != 1 {
			t.Errorf("%s, in one walk: %+v, %v", c.name, a, err)
		}
		a, err := AuditPairs(records, versions, 10e6, 100e6)
		if err != nil || a.WorstMillis != c.worst || a.Violations != c.broken || a.Pairs != 1 {
			t.Errorf("%s: %+v, %v", c.name, a, err)
		}
	}
}

// What the walk over time finds is never under what the pairs come to, and nothing where they come to nothing.
func TestSweepIsNeverUnderAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*configversion.Version{owned(1, "a", 50), owned(2, "b", 50), owned(3, "b", 0)}
		records := map[string][]Activation{}
		for _, who := range []string{"x", "y", "z"} {
			at := int64(0)
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				records[who] = append(records[who], Activation{At: at, Fallback: rapid.Bool().Draw(t, "floor"),
					Versions: rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 2, rapid.ID).Draw(t, "holds")})
				at += rapid.Int64Range(1, 30).Draw(t, "later") * 1e6
			}
		}
		pairs, err := AuditPairs(records, versions, 10e6, 200e6)
		walk, err2 := AuditSweep(records, versions, 10e6, 200e6)
		if err != nil || err2 != nil || walk.WorstMillis < pairs.WorstMillis || (walk.WorstMillis == 0) != (pairs.WorstMillis == 0) {
			t.Fatalf("pairs %+v %v, walk %+v %v", pairs, err, walk, err2)
		}
	})
}
