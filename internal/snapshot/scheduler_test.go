package snapshot

import (
	"bytes"
	"encoding/hex"
	"maps"
	"reflect"
	"strings"
	"testing"

	"irispost/internal/testkit/golden"
	"irispost/scheduler"
)

// smallState returns a scheduler with requests in several states, one of them completed.
func smallState() *scheduler.Scheduler {
	now := scheduler.Second
	s := scheduler.New(now, 7, scheduler.Settings{
		"gateways": "2", "units.mean": "1", "units.largest": "4", "executions.most": "3",
		"further.window": "1000", "further.free": "2", "plans.count": "1", "plans.0.name": "p", "plans.0.weight": "2",
		"plans.0.rate": "200", "plans.0.limit": "9", "plans.0.burst": "9", "products.count": "1", "products.0.name": "r",
		"products.0.goal": "300", "products.0.patience": "2500", "products.0.kind": "referenced",
		"products.0.in_turn": "true"})
	s.BeginEndpointList(now, true, false)
	s.UpdateEndpoint("n0", "z", 0, 0, scheduler.EndpointReady)
	s.UpdateEndpoint("n1", "z", 1, now/2, scheduler.EndpointDraining)
	s.FinishEndpointList()
	for i, id := range []string{"over", "out", "queued", "behind its key", "without a node"} {
		request := &scheduler.Request{ID: id, Units: 2, Key: int64(min(i, 3)), Write: i == 1}
		request.Deadline = now + 2500*scheduler.Millisecond
		if id == "without a node" {
			request.Shard = 5
		}
		s.Submit(now, request, int64(i%2), "p", "r", 1, true)
		if id == "behind its key" {
			request.Key = 2
		}
		now += scheduler.Millisecond
		s.Decide(now)
		if id == "over" {
			s.AttemptFinished(now+scheduler.Millisecond, id, 0, scheduler.OutcomeServed, scheduler.Millisecond, true, 0.5)
		}
	}
	return s
}

// The snapshot of a scheduler has the same names and bytes as in earlier builds, so that captures stay readable.
func TestStoredStateOfASchedulerIsThatOfEarlierBuilds(t *testing.T) {
	shape := shapeText(reflect.TypeFor[*scheduler.Scheduler](), scheduler.StoredNames)
	golden.Check(t, "scheduler.shape", []byte(strings.ReplaceAll(shape, ";", ";\n")))
	state, err := Take(smallState(), scheduler.StoredNames)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "scheduler.hex", []byte(hex.EncodeToString(state)+"\n"))
	restored, err := Restore[scheduler.Scheduler](state, scheduler.StoredNames)
	if err != nil {
		t.Fatal(err)
	}
	encodedAgain, err := Take(restored, scheduler.StoredNames)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encodedAgain, state) {
		t.Errorf("state after a restore: got\n%x, want\n%x", encodedAgain, state)
	}
}

// Each key of scheduler.StoredNames is a type or field that the scheduler reaches. An entry that a rename in the code
// has left behind would have no effect, and earlier snapshots would be rejected.
func TestStoredNamesAreOfTypesAndFieldsThatExist(t *testing.T) {
	root := reflect.TypeFor[*scheduler.Scheduler]()
	shape := shapeText(root, scheduler.StoredNames)
	for key := range scheduler.StoredNames {
		otherNames := maps.Clone(scheduler.StoredNames)
		delete(otherNames, key)
		if shapeText(root, otherNames) == shape {
			t.Errorf("the scheduler reaches no type or field %s, which has a stored name", key)
		}
	}
}
