package rig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/testkit/golden"
)

// TestFormsMatchGolden checks the JSON form of audit results, and that activation records and fault names are parsed
// as recorded in the golden file.
func TestFormsMatchGolden(t *testing.T) {
	out := &strings.Builder{}
	versions := []*configversion.Version{ownerVersion(1, "a", 50), ownerVersion(2, "b", 50)}
	records := map[string][]Activation{
		"g1": parseRecord(t, "0 false [1]\n9000000 true [1 2]"),
		"g2": parseRecord(t, "0 false [2]\n5 false []\n10000000 false [2]"),
	}
	fmt.Fprintln(out, records["g1"], records["g2"])
	for _, audit := range []auditFunc{AuditPairs, AuditSweep} {
		for _, bound := range []int64{1, 1e9} {
			result, err := audit(records, versions, bound, 20e6)
			if err != nil {
				t.Fatal(err)
			}
			encoded, err := json.Marshal(result)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(out, "%s\n", encoded)
		}
	}
	for _, word := range []string{"cut", "mute", "deaf", "slow 20ms", "slow", "trickle", "reset", "torn"} {
		fault, err := ParseFault(word)
		fmt.Fprintln(out, word, fault, err)
	}
	golden.Check(t, "forms.golden", []byte(out.String()))
}

// auditFunc is AuditPairs or AuditSweep.
type auditFunc func(map[string][]Activation, []*configversion.Version, int64, int64) (Agreement, error)

// parseRecord parses a gateway's activation record and fails the test on an error.
func parseRecord(t *testing.T, text string) []Activation {
	t.Helper()
	record, err := ReadActivations(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return record
}
