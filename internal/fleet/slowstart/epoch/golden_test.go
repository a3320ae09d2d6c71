package epoch

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// TestGoldenSet: the members that come with a lease are written and read as 3aa21cb does.
func TestGoldenSet(t *testing.T) {
	for file, set := range map[string]Membership{
		"testdata/set.json":                 {Epoch: 9, Departures: 3, Age: 5e9, Members: []string{"g/1.2", "h/3.4"}, LeaseDuration: 2e9, MaxClockDrift: 0.01},
		"testdata/set-without-members.json": {Epoch: 9, Departures: 3, Age: 5e9, LeaseDuration: 2e9, MaxClockDrift: 0.01},
	} {
		want, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		got, err := json.Marshal(set)
		if err != nil || !bytes.Equal(append(got, '\n'), want) {
			t.Errorf("%s: written as %s, not %s: %v", file, got, want, err)
		}
		var read Membership
		if err := json.Unmarshal(want, &read); err != nil || !reflect.DeepEqual(read, set) {
			t.Errorf("%s: read as %+v, not %+v: %v", file, read, set, err)
		}
	}
}

// TestGoldenOwners: which member has which node's budget has to be the same in every build, or two would deal out one budget.
func TestGoldenOwners(t *testing.T) {
	members := []string{"g/1.2", "h/3.4", "i/5.6"}
	owners := map[string]string{}
	for _, node := range []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000", "10.0.0.6:7000", ""} {
		owners[node] = Owner(node, members)
	}
	want, err := os.ReadFile("testdata/owners.json")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(owners); err != nil || !bytes.Equal(append(got, '\n'), want) {
		t.Errorf("owners are %s, not %s: %v", got, want, err)
	}
}
