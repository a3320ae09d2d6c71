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
			t.Errorf("%s: %+v", addr, node)
		}
		inZone[node.Zone] = true
	}
	if len(inZone) != 7 || len(config.Nodes) != nodes {
		t.Errorf("%d nodes in zones %v", len(config.Nodes), inZone)
	}
}

// Each step changes one thing: a limit, or a shard's node, and leaves nothing behind of steps before the last.
func TestEachChangeOfASequenceChangesOneThing(t *testing.T) {
	const nodes = 40
	sequence, sameSeed := NewConfigSequence(nodes, 3), NewConfigSequence(nodes, 3)
	youngest := int64(0)
	for _, node := range sequence.Config().Nodes {
		youngest = max(youngest, node.StartedAt)
	}
	drained := ""
	for step := range 300 {
		before := parseConfig(t, sequence)
		kind := sequence.Next()
		after := parseConfig(t, sequence)
		if sameSeed.Next() != kind || !bytes.Equal(sameSeed.Config().Canonical(), after.Canonical()) {
			t.Fatalf("step %d differs with the same seed", step)
		}
		if (kind == LimitChange) != (step%2 == 1) {
			t.Fatalf("step %d: %s", step, kind)
		}
		if kind == LimitChange {
			checkLimitChange(t, step, before, after)
			continue
		}
		change := compareNodes(before, after)
		change.check(t, step, nodes, drained, youngest)
		drained = change.draining[0]
		youngest = after.Nodes[change.added[0]].StartedAt
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

// checkLimitChange checks that one service level's limit differs, and nothing else.
func checkLimitChange(t *testing.T, step int, before, after *configversion.Config) {
	t.Helper()
	diff := configversion.Diff(before, after)
	if len(diff) != 1 || !strings.HasPrefix(diff[0], "plans.") || !strings.Contains(diff[0], ".limit: ") {
		t.Fatalf("step %d: %v", step, diff)
	}
}

// nodeChange is the difference between two configurations' nodes, by address.
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

// check checks that one node drains and a younger one of its shard and zone is added, and that the one drained before
// is removed.
func (c nodeChange) check(t *testing.T, step, nodes int, drained string, youngest int64) {
	t.Helper()
	if len(c.added) != 1 || len(c.draining) != 1 || len(c.after.Nodes) != nodes+1 ||
		drained != "" && (len(c.removed) != 1 || c.removed[0] != drained) {
		t.Fatalf("step %d: %v added, %v draining, %v removed", step, c.added, c.draining, c.removed)
	}
	added := c.after.Nodes[c.added[0]]
	if added.StartedAt <= youngest || added.Health != endpoint.Ready || added.Name == "" {
		t.Errorf("step %d: %+v", step, added)
	}
	draining, want := c.after.Nodes[c.draining[0]], c.before.Nodes[c.draining[0]]
	want.Health = endpoint.Draining
	if draining != want {
		t.Errorf("step %d: %+v", step, draining)
	}
	if added.Shard != draining.Shard || added.Zone != draining.Zone {
		t.Fatalf("step %d: %+v replaces %+v", step, added, draining)
	}
}
