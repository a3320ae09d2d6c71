package rules

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"irispost/internal/listing"
)

// The files under testdata/golden hold the forms in which versions are stored, sent and digested. Each build has to come to the same
// bytes, so a file is only ever added, never rewritten.
var update = flag.Bool("update", false, "write missing golden files")

// golden compares what is written with a golden file. With -update a missing file is written first.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if _, err := os.Stat(path); *update && os.IsNotExist(err) {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: written:\n%s\nthe file has:\n%s", name, got, want)
	}
}

// goldenRules has no member at its zero value, and each kind and standing.
func goldenRules() *Rules {
	return &Rules{Needs: 1, Shards: 3, Mean: 1.5,
		Plans: map[string]Plan{"gold": {Weight: 2, Rate: 10, Reserve: 3, Limit: 100, Burst: 20, Slack: 4}, "iron": {Weight: 1}},
		Products: map[string]Product{"a": {Kind: Anywhere, Goal: 1e6, Patience: 2e6, Window: 3e6, InTurn: true}, "b": {Kind: AtAll, Goal: 1e6, Patience: 2e6, Window: 4e9},
			"c": {Kind: AtZone, Goal: 1e6, Patience: 2e6}, "d": {Kind: AtShard, Goal: 1e6, Patience: 2e6}, "e": {Kind: Once, Goal: 1e6, Patience: 2e6}},
		Cold:    Cold{From: 0.25, Time: 5e9, Multiple: 1.5, Window: 1e9, Units: 7},
		Further: Further{Window: 2e9, Free: 3, Share: 0.1},
		Sending: Sending{Most: 3, SecondCopies: true, CallingOff: true, Advice: true, AdviceMost: 6e9, KeyRest: 7e6},
		Floor:   Floor{For: 8e9, Limits: 0.5, Writes: true},
		Nodes: map[string]Node{"10.0.0.1:7000": {Name: "one", Zone: "z1", Shard: 1, Born: 1764650723000000000, Weight: 2, Standing: listing.Draining},
			"10.0.0.2:7000": {}, "10.0.0.3:7000": {Shard: 2, Standing: listing.Gone}, "10.0.0.4:7000": {Shard: 1, Standing: listing.Unwell}}}
}

func TestGoldenForms(t *testing.T) {
	r := goldenRules()
	other := goldenRules()
	other.Floor, other.Further.Free, other.Sending.SecondCopies = Floor{For: 1e9, Limits: 0.25}, 1, false
	other.Plans = map[string]Plan{"gold": {Weight: 1, Limit: 50}}
	other.Nodes["10.0.0.2:7000"] = Node{Born: 9}
	delete(other.Products, "a")
	contrary := goldenRules()
	contrary.Cold, contrary.Further = Cold{From: 0.5, Time: 4e9}, Further{Window: 1e9, Free: 1.5, Share: 0.25}
	v := &Version{Number: 7, Parent: 6, Digest: r.Digest(), Author: "ann", Why: "more room", Time: "2026-01-02T03:04:05Z", Rules: r.Canonical()}
	asJSON := func(value any) []byte {
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	lines := func(list []string) []byte { return []byte(strings.Join(list, "\n") + "\n") }
	for name, got := range map[string][]byte{
		"canonical.json":       r.Canonical(),
		"canonical-empty.json": (&Rules{}).Canonical(),
		"digest.txt":           lines([]string{r.Digest(), (&Rules{}).Digest(), Sum(nil)}),
		"version.json":         asJSON(v),
		"version-head.json":    asJSON(v.Head()),
		"version-name.txt":     lines([]string{v.Name(), (*Version)(nil).Name()}),
		"floor.json":           r.Lapsed().Canonical(),
		"floor-none.json":      (&Rules{}).Lapsed().Canonical(),
		"nothing.json":         r.Nothing().Canonical(),
		"meet.json":            Meet(r, other).Canonical(),
		"terms.json":           asJSON(r.Terms(map[string]string{"gateways": "7", "plans.9.name": "old"})),
		"diff.txt":             lines(Diff(r, other)),
		"conflicts.txt":        lines(Contradict(r, contrary)),
	} {
		golden(t, name, got)
	}
	back, err := Read(r.Canonical())
	if err != nil || !reflect.DeepEqual(back, r) {
		t.Errorf("read: %+v, %v", back, err)
	}
	var version Version
	if err := json.Unmarshal(asJSON(v), &version); err != nil || !reflect.DeepEqual(&version, v) {
		t.Errorf("read: %+v, %v", version, err)
	}
}
