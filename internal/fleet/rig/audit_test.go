package rig

import (
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// ownerVersion returns a version in which the only shard is served by the node owner, while the other one drains.
func ownerVersion(number uint64, owner string, fallback int64) *configversion.Version {
	configuration := &configversion.Config{
		RequiredFormat:   1,
		Shards:           1,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"p": {Weight: 1}},
		RequestClasses:   map[string]configversion.RequestClass{},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes: map[string]configversion.Node{
			"a": {Health: endpoint.Draining},
			"b": {Health: endpoint.Draining},
		},
		FallbackPolicy: configversion.FallbackPolicy{Duration: fallback, LimitFraction: 1},
	}
	configuration.Nodes[owner] = configversion.Node{}
	return &configversion.Version{
		Number:  number,
		Digest:  configuration.Digest(),
		Content: configuration.Canonical(),
	}
}

func auditedVersions() []*configversion.Version {
	return []*configversion.Version{ownerVersion(1, "a", 50), ownerVersion(2, "b", 50), ownerVersion(3, "b", 0)}
}

// TestAuditsFindConflictsOfRecords checks that both audits detect the conflicts in hand-written records, and report
// none where gateways act on different but compatible versions.
func TestAuditsFindConflictsOfRecords(t *testing.T) {
	const (
		first         = "0 false [1]"
		second        = "0 false [2]"
		third         = "0 false [3]"
		firstFallback = "0 true [1]"
		prepared      = "0 false [1 2]"
	)
	for _, test := range []struct {
		name, recordA, recordB string
		worst                  float64
		violations             int
	}{
		{"the same", first, first, 0, 0},
		{"one on the old, one on the new", first, first + "\n20000000 false [2]", 80, 1},
		{"for a moment", first + "\n25000000 false [2]", first + "\n20000000 false [2]", 5, 0},
		{"one prepared", first, first + "\n20000000 false [1 2]", 0, 0},
		{"both prepared differently, and one settled", prepared, first + "\n20000000 false [2]", 0, 0},
		{"versions that say the same", second, third, 0, 0},
		{"one on the fallback of the old", firstFallback, second, 100, 1},
		{"one on the fallback of the same", "0 true [2]", third, 0, 0},
		{"one on nothing", first + "\n20000000 false []", first + "\n20000000 false [2]", 0, 0},
		{
			"two short times are not one long",
			first + "\n5000000 false []\n20000000 false [1]\n25000000 false []", second, 5, 0,
		},
	} {
		records := map[string][]Activation{"one": parseRecord(t, test.recordA), "other": parseRecord(t, test.recordB)}
		for name, audit := range map[string]auditFunc{"pairs": AuditPairs, "sweep": AuditSweep} {
			result, err := audit(records, auditedVersions(), 10e6, 100e6)
			asExpected := result.WorstMillis == test.worst && result.Violations == test.violations && result.Pairs == 1
			if err != nil || !asExpected {
				t.Errorf("%s, %s: got %+v with error %v, want the expected time and violations of one pair",
					test.name, name, result, err)
			}
		}
	}
}

// TestSweepNeverFindsLessThanPairs checks on random records that AuditSweep never reports a shorter conflict than
// AuditPairs, and none if AuditPairs reports none.
func TestSweepNeverFindsLessThanPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := auditedVersions()
		records := map[string][]Activation{}
		for _, gateway := range []string{"x", "y", "z"} {
			records[gateway] = drawRecord(t)
		}
		pairs, err := AuditPairs(records, versions, 10e6, 200e6)
		if err != nil {
			t.Fatal(err)
		}
		sweep, err := AuditSweep(records, versions, 10e6, 200e6)
		if err != nil {
			t.Fatal(err)
		}
		if sweep.WorstMillis < pairs.WorstMillis || (sweep.WorstMillis == 0) != (pairs.WorstMillis == 0) {
			t.Fatalf("AuditPairs gives %+v, AuditSweep %+v, want no less time and both or neither 0", pairs, sweep)
		}
	})
}

func drawRecord(t *rapid.T) []Activation {
	var record []Activation
	at := int64(0)
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		fallback := rapid.Bool().Draw(t, "fallback")
		versions := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 3), 0, 2, rapid.ID).Draw(t, "versions")
		record = append(record, Activation{At: at, Versions: versions, Fallback: fallback})
		at += rapid.Int64Range(1, 30).Draw(t, "later") * 1e6
	}
	return record
}
