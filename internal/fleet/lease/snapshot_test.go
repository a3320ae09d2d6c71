package lease

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// stateWithDeltas returns a state with twelve versions, four of them forgotten.
func stateWithDeltas(t *testing.T) *StateMachine {
	t.Helper()
	state := NewStateMachine()
	for n := range 12 {
		p := &Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true, Content: contentOfNodes(20, float64(n+1))}
		command, err := encodeAndDecode(&Command{Propose: p}, formatWithDeltas, state)
		if err != nil {
			t.Fatal(err)
		}
		applyAll(t, state, command)
	}
	applyAll(t, state, &Command{Forget: []uint64{1, 2, 3, 5}})
	return state
}

func TestRestoreRefusesEachTruncatedOrCorruptSnapshot(t *testing.T) {
	snapshot := stateWithDeltas(t).Snapshot()
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restored.Snapshot(), snapshot) || len(restored.Versions) != 8 {
		t.Fatalf("restored %d versions, want 8 whose snapshot is identical to the one that was read", len(restored.Versions))
	}
	for i := range snapshot {
		flipped := slices.Clone(snapshot)
		flipped[i] ^= 1 << (i % 8)
		for _, damaged := range [][]byte{snapshot[:i], flipped} {
			if _, err := Restore(damaged); err == nil || strings.Contains(err.Error(), "\n") {
				t.Fatalf("damaged at byte %d of %d: got error %v, want an error of one line", i, len(snapshot), err)
			}
		}
	}
}

func TestRestoreReadsFormat1(t *testing.T) {
	snapshot := stateAfter(t, &Command{Propose: &Proposal{ID: "a", Content: contentOfNodes(1, 1)}}).Snapshot()
	restored, err := Restore(snapshot)
	if err != nil || restored.Version(1) == nil || snapshot[0] != '{' {
		t.Errorf("restoring %s: got error %v, want a snapshot in JSON that is restored with version 1", snapshot, err)
	}
	for _, inconsistent := range []string{
		`{"versions":[null],"announced":1}`,
		`{"versions":[],"announced":1}`,
		`{"versions":[{"number":2}],"announced":1}`,
		`{"in_force":1}`,
		`{`,
		"",
	} {
		if _, err := Restore([]byte(inconsistent)); err == nil {
			t.Errorf("restoring %s: got no error, want one", inconsistent)
		}
	}
}
