package rig

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
)

var update = flag.Bool("update", false, "write the golden file under testdata")

// What an audit comes to has the recorded JSON, and the record of a gateway and the words of faults are read as recorded.
func TestFormsMatchGolden(t *testing.T) {
	out := &strings.Builder{}
	versions := []*configversion.Version{owned(1, "a", 50), owned(2, "b", 50)}
	records := map[string][]Activation{}
	for name, text := range map[string]string{"g1": "0 false [1]\n9000000 true [1 2]", "g2": "0 false [2]\n5 false []\n10000000 false [2]"} {
		list, err := ReadActivations(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		records[name] = list
	}
	fmt.Fprintln(out, records["g1"], records["g2"])
	for _, audit := range []func(map[string][]Activation, []*configversion.Version, int64, int64) (Agreement, error){AuditPairs, AuditSweep} {
		for _, stated := range []int64{1, 1e9} {
			a, err := audit(records, versions, stated, 20e6)
			if err != nil {
				t.Fatal(err)
			}
			b, err := json.Marshal(a)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(out, "%s\n", b)
		}
	}
	for _, word := range []string{"cut", "mute", "deaf", "slow 20ms", "slow", "trickle", "reset", "torn"} {
		f, err := ParseFault(word)
		fmt.Fprintln(out, word, f, err)
	}
	file := filepath.Join("testdata", "forms.golden")
	if *update {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got\n%swant\n%s", out, want)
	}
}
