package epoch

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"irispost/internal/testkit/golden"
)

// marshalLine is the JSON form of a value, as one line.
func marshalLine(t *testing.T, value any) []byte {
	t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// TestGoldenMembership: the members that come with a lease are written and read as by an earlier build.
func TestGoldenMembership(t *testing.T) {
	full := Membership{Epoch: 9, Departures: 3, Age: 5e9, LeaseDuration: 2e9, MaxClockDrift: 0.01}
	full.Members = []string{"g/1.2", "h/3.4"}
	withoutMembers := full
	withoutMembers.Members = nil
	for file, membership := range map[string]Membership{
		"set.json":                 full,
		"set-without-members.json": withoutMembers,
	} {
		golden.Check(t, file, marshalLine(t, membership))
		b, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		var read Membership
		if err := json.Unmarshal(b, &read); err != nil || !reflect.DeepEqual(read, membership) {
			t.Errorf("%s: read as %+v, not %+v: %v", file, read, membership, err)
		}
	}
}

// TestGoldenOwners: the owner of a node has to be the same in every build, or two would allocate one budget.
func TestGoldenOwners(t *testing.T) {
	members := []string{"g/1.2", "h/3.4", "i/5.6"}
	owners := map[string]string{"": Owner("", members)}
	for i := range 6 {
		node := fmt.Sprintf("10.0.0.%d:7000", i+1)
		owners[node] = Owner(node, members)
	}
	golden.Check(t, "owners.json", marshalLine(t, owners))
}
