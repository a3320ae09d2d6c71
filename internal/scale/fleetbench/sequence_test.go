package fleetbench

import (
	"bytes"
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

func TestSequenceBeginsWithANodeForEachShardInAllZones(t *testing.T) {
	const nodes = 40
	config := NewConfigSequence(nodes, 3).Config()
	inZone := map[string]bool{}
	for addr, node := range config.Nodes {
		if node.Name == "" || node.Zone == "" || node.StartedAt == 0 {
			t.Errorf("%s: got %+v, want a name, a zone and a start time", addr, node)
		}
		inZone[node.Zone] = true
	}
	if len(inZone) != 7 || len(config.Nodes) != nodes {
		t.Errorf("got %d nodes in zones %v, want 40 in 7 zones", len(config.Nodes), inZone)
	}
}

// Each step changes one limit or replaces the node of one shard. The only trace of earlier steps is the node that the
// last replacement left draining; the next replacement removes it.
func TestEachChangeOfASequenceChangesOneThing(t *testing.T) {
	const nodes = 40
	sequence, sameSeed := NewConfigSequence(nodes, 3), NewConfigSequence(nodes, 3)
	newestStart := int64(0)
	for _, node := range sequence.Config().Nodes {
		newestStart = max(newestStart, node.StartedAt)
	}
	drained := ""
	for step := range 300 {
		before := parseConfig(t, sequence)
		kind := sequence.Next()
		after := parseConfig(t, sequence)
		if sameSeed.Next() != kind || !bytes.Equal(sameSeed.Config().Canonical(), after.Canonical()) {
			t.Fatalf("step %d: two sequences with the same seed differ, want the same changes", step)
		}
		if (kind == LimitChange) != (step%2 == 1) {
			t.Fatalf("step %d: got kind %s, want replacements and limit changes to alternate, from a replacement", step, kind)
		}
		if kind == LimitChange {
			checkLimitChange(t, step, before, after)
			continue
		}
		change := compareNodes(before, after)
		change.check(t, step, nodes, drained, newestStart)
		drained = change.draining[0]
		newestStart = after.Nodes[change.added[0]].StartedAt
	}
}

func parseConfig(t *testing.T, sequence *ConfigSequence) *configversion.Config {
	t.Helper()
	config, err := configversion.Parse(sequence.Config().Canonical())
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// checkLimitChange checks that the limit of one service level is the only difference.
func checkLimitChange(t *testing.T, step int, before, after *configversion.Config) {
	t.Helper()
	diff := configversion.Diff(before, after)
	if len(diff) != 1 || !strings.HasPrefix(diff[0], "plans.") || !strings.Contains(diff[0], ".limit: ") {
		t.Fatalf("step %d: got differences %v, want only a limit", step, diff)
	}
}

// nodeChange is the difference between the nodes of two configurations, as lists of addresses.
type nodeChange struct {
	before, after            *configversion.Config
	added, draining, removed []string
}

func compareNodes(before, after *configversion.Config) nodeChange {
	change := nodeChange{before: before, after: after}
	for addr, node := range after.Nodes {
		old, known := before.Nodes[addr]
		switch {
		case !known:
			change.added = append(change.added, addr)
		case old != node:
			change.draining = append(change.draining, addr)
		}
	}
	for addr := range before.Nodes {
		if _, known := after.Nodes[addr]; !known {
			change.removed = append(change.removed, addr)
		}
	}
	return change
}

// check checks that one node starts draining, that a node that started after newestStart is added in its shard and
// zone, and that the node drained by the last replacement is removed.
func (c nodeChange) check(t *testing.T, step, nodes int, drained string, newestStart int64) {
	t.Helper()
	if len(c.added) != 1 || len(c.draining) != 1 || len(c.after.Nodes) != nodes+1 ||
		drained != "" && (len(c.removed) != 1 || c.removed[0] != drained) {
		t.Fatalf("step %d: got %v added, %v draining, %v removed, want one each, except none removed by the first",
			step, c.added, c.draining, c.removed)
	}
	added := c.after.Nodes[c.added[0]]
	if added.StartedAt <= newestStart || added.Health != endpoint.Ready || added.Name == "" {
		t.Errorf("step %d: got new node %+v, want it ready, with a name and a later start than all before", step, added)
	}
	draining, want := c.after.Nodes[c.draining[0]], c.before.Nodes[c.draining[0]]
	want.Health = endpoint.Draining
	if draining != want {
		t.Errorf("step %d: got draining node %+v, want only its health changed", step, draining)
	}
	if added.Shard != draining.Shard || added.Zone != draining.Zone {
		t.Fatalf("step %d: got %+v as a replacement of %+v, want the same shard and zone", step, added, draining)
	}
}
