package discovery_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/testkit"
)

// nodesByAddress is the state of a receiver that applies lists.
type nodesByAddress map[string]endpoint.Node

func (nodes nodesByAddress) apply(list endpoint.List) {
	if !list.Partial {
		clear(nodes)
	}
	for _, n := range list.Nodes {
		if n.Health == endpoint.Removed {
			delete(nodes, n.Addr)
		} else {
			nodes[n.Addr] = n
		}
	}
}

// mustApply applies a response to a table, and the resulting list to nodes.
func mustApply(t *rapid.T, table *discovery.Table, response *discovery.Response, nodes nodesByAddress) {
	t.Helper()
	list, err := table.Apply(response, false)
	if err != nil {
		t.Fatal(err)
	}
	nodes.apply(list)
}

// drawChanges draws one to three changed targets, by UID.
func drawChanges(t *rapid.T, revision int64) map[string]discovery.Target {
	changes := map[string]discovery.Target{}
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		target := discovery.Target{
			UID:           fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "uid")),
			Endpoint:      fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "address")),
			State:         rapid.SampledFrom([]string{"ready", "draining", "gone"}).Draw(t, "state"),
			StartedMillis: revision,
		}
		changes[target.UID] = target
	}
	return changes
}

// A table that receives changes and one that receives complete lists produce the same nodes by address, while UIDs and
// addresses appear, move and disappear.
func TestChangesAndCompleteListsAgree(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		var byChanges, byLists discovery.Table
		targets := map[string]discovery.Target{} // all current targets, by UID
		fromChanges, fromLists := nodesByAddress{}, nodesByAddress{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			revision := int64(step)
			changes := discovery.Response{Revision: revision, Full: revision == 0}
			for uid, target := range drawChanges(t, revision) {
				if target.State == "gone" {
					delete(targets, uid)
				} else {
					targets[uid] = target
				}
				if !changes.Full || target.State != "gone" {
					changes.Targets = append(changes.Targets, target)
				}
			}
			mustApply(t, &byChanges, &changes, fromChanges)

			complete := discovery.Response{Revision: revision, Full: true}
			for _, target := range targets {
				complete.Targets = append(complete.Targets, target)
			}
			mustApply(t, &byLists, &complete, fromLists)
			if !maps.Equal(fromChanges, fromLists) {
				t.Fatalf("at revision %d: by changes %v, by complete lists %v", revision, fromChanges, fromLists)
			}
		}
	})
}

func TestInvalidTargetsAreRejected(t *testing.T) {
	for name, target := range map[string]discovery.Target{
		"unknown state": {UID: "a", Endpoint: "b", State: "asleep"},
		"no UID":        {Endpoint: "b", State: "ready"},
		"no endpoint":   {UID: "a", State: "ready"},
	} {
		t.Run(name, func(t *testing.T) {
			var table discovery.Table
			response := discovery.Response{Full: true, Targets: []discovery.Target{target}}
			list, err := table.Apply(&response, false)
			var invalid *discovery.TargetError
			if !errors.As(err, &invalid) || invalid.Target != target {
				t.Errorf("%+v: got list %+v, error %v; want a TargetError", target, list, err)
			}
		})
	}
}
