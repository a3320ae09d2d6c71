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

// marshalLine returns the JSON encoding of a value and a newline.
func marshalLine(t *testing.T, value any) []byte {
	t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// TestGoldenMembership: the membership that comes with a lease is encoded and decoded in the same JSON form as by
// earlier builds.
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
			t.Errorf("%s: got %+v, want %+v (error: %v)", file, read, membership, err)
		}
	}
}

// TestGoldenOwners: all builds have to agree on the owner of a node, or two gateways would allocate the same budget.
func TestGoldenOwners(t *testing.T) {
	members := []string{"g/1.2", "h/3.4", "i/5.6"}
	owners := map[string]string{"": Owner("", members)}
	for i := range 6 {
		node := fmt.Sprintf("10.0.0.%d:7000", i+1)
		owners[node] = Owner(node, members)
	}
	golden.Check(t, "owners.json", marshalLine(t, owners))
}
