package snapshot

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"irispost/scheduler"
)

// golden reads a file of testdata, or writes it where IRISPOST_GOLDEN=write asks for that.
func golden(t *testing.T, file, now string) string {
	t.Helper()
	file = "testdata/" + file
	if os.Getenv("IRISPOST_GOLDEN") == "write" {
		if err := os.WriteFile(file, []byte(now), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// smallState is a module that has one job out, one queued, one held, and one that is over.
func smallState() *scheduler.Scheduler {
	now := scheduler.Second
	g := scheduler.New(now, 7, scheduler.Settings{"gateways": "2", "units.mean": "1", "units.largest": "4", "executions.most": "3",
		"further.window": "1000", "further.free": "2", "plans.count": "1", "plans.0.name": "p", "plans.0.weight": "2",
		"plans.0.rate": "200", "plans.0.limit": "9", "plans.0.burst": "9", "products.count": "1", "products.0.name": "r",
		"products.0.goal": "300", "products.0.patience": "2500", "products.0.kind": "referenced", "products.0.in_turn": "true"})
	g.BeginEndpointList(now, true, false)
	g.UpdateEndpoint("n0", "z", 0, 0, scheduler.EndpointReady)
	g.UpdateEndpoint("n1", "z", 1, now/2, scheduler.EndpointDraining)
	g.FinishEndpointList()
	for i, id := range []string{"over", "out", "queued", "behind its key", "without a node"} {
		shard := map[bool]int{true: 5}[i == 4]
		job := &scheduler.Request{ID: id, Units: 2, Shard: shard, Key: int64(min(i, 3)), Deadline: now + 2500*scheduler.Millisecond, Write: i == 1}
		g.Submit(now, job, int64(i%2), "p", "r", 1, true)
		if i == 3 {
			job.Key = 2
		}
		now += scheduler.Millisecond
		g.Decide(now)
		if i == 0 {
			g.AttemptFinished(now+scheduler.Millisecond, id, 0, scheduler.OutcomeServed, scheduler.Millisecond, true, 0.5)
		}
	}
	return g
}

// The stored form of a module's state is that of the build that first wrote it, name by name and byte by byte.
func TestStoredStateOfTheSchedulerStays(t *testing.T) {
	shape := strings.ReplaceAll(shapeText(reflect.TypeFor[*scheduler.Scheduler](), scheduler.StoredNames), ";", ";\n")
	lines := strings.Split(golden(t, "scheduler.shape", shape), "\n")
	for i, line := range strings.Split(shape, "\n") {
		if i >= len(lines) || line != lines[i] {
			t.Fatalf("line %d of the shape is %q, not %q", i+1, line, lines[min(i, len(lines)-1)])
		}
	}
	b, err := Take(smallState(), scheduler.StoredNames)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := hex.DecodeString(strings.TrimSpace(golden(t, "scheduler.hex", hex.EncodeToString(b)+"\n")))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b, stored) {
		t.Errorf("the state is written as\n%x, not\n%x", b, stored)
	}
	g, err := Restore[scheduler.Scheduler](stored, scheduler.StoredNames)
	if err != nil {
		t.Fatal(err)
	}
	if b, err = Take(g, scheduler.StoredNames); err != nil || !bytes.Equal(b, stored) {
		t.Errorf("the state comes back as\n%x, not\n%x: %v", b, stored, err)
	}
}
