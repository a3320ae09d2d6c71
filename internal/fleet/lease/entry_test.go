package lease

import (
	"bytes"
	"errors"
	"slices"
	"testing"
)

// stateWithBase returns a state with one version, to serve as the base of deltas.
func stateWithBase(t *testing.T, limit float64) *StateMachine {
	t.Helper()
	return stateAfter(t, &Command{Propose: &Proposal{ID: "a", Content: contentOfNodes(50, limit)}})
}

// entryWithDelta returns a log entry whose proposal is a delta from the version of stateWithBase.
func entryWithDelta(t *testing.T, content []byte) []byte {
	t.Helper()
	p := &Proposal{ID: "b", Parent: 1, ReplacePending: true, Content: content}
	entry, err := (&Command{Propose: p}).EncodeEntry(formatWithDeltas, stateWithBase(t, 1))
	if err != nil || len(entry) > 1000 {
		t.Fatalf("EncodeEntry returned %d bytes, error %v, want at most 1000 bytes and no error", len(entry), err)
	}
	return entry
}

func TestEncodeEntryRefusesToForgetInFormat1(t *testing.T) {
	if _, err := (&Command{Forget: []uint64{1}}).EncodeEntry(1, stateWithBase(t, 1)); !errors.Is(err, errForgetFormat) {
		t.Errorf("got error %v, want errForgetFormat", err)
	}
}

// A truncated or corrupt entry is rejected when it is decoded or applied, unless it still results in the proposed
// content.
func TestDamagedEntriesChangeNothing(t *testing.T) {
	content := contentOfNodes(50, 2)
	entry := entryWithDelta(t, content)
	for i := range entry {
		flipped := slices.Clone(entry)
		flipped[i] ^= 1 << (i % 8)
		for _, damaged := range [][]byte{entry[:i], flipped} {
			command, err := DecodeEntry(damaged)
			if err != nil || command.Propose == nil {
				continue // rejected: a replica stops at the entry
			}
			state := stateWithBase(t, 1)
			version, err := state.Apply(command)
			if err == nil && !bytes.Equal(version.Content, content) || err != nil && len(state.Versions) != 1 {
				t.Fatalf("damaged at byte %d of %d: got version %v, error %v, want the proposed content, or an error alone",
					i, len(entry), version, err)
			}
		}
	}
}

func TestApplyRefusesADeltaFromAnotherBase(t *testing.T) {
	command, err := DecodeEntry(entryWithDelta(t, contentOfNodes(50, 2)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stateWithBase(t, 3).Apply(command); !errors.Is(err, ErrInvalidEntry) {
		t.Errorf("got error %v, want ErrInvalidEntry", err)
	}
}
