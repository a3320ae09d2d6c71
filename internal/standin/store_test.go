package standin

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
)

func execute(t *testing.T, store *Store, call node.Call) node.Reply {
	t.Helper()
	reply, _ := store.execute(&call, time.Unix(1, 2), time.Minute)
	if reply.Outcome != node.Executed {
		t.Fatalf("%v of %q: got reply %+v, want one with the outcome Executed", call.Op, call.Name, reply)
	}
	return reply
}

func newStore(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := NewStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func TestStoreReopensItsFolder(t *testing.T) {
	dir := t.TempDir()
	before := newStore(t, dir)
	execute(t, before, node.Call{Op: node.PutObject, Name: "object", Owner: "owner", Data: []byte("abc")})
	swapped := execute(t, before, node.Call{Op: node.CompareAndSwapRecord, Name: "folder/record", Data: []byte("r")})

	after := newStore(t, dir)
	if got := execute(t, after, node.Call{Op: node.GetObject, Name: "object", Length: 9}); string(got.Data) != "abc" {
		t.Errorf("object data after reopening: got %q, want abc", got.Data)
	}
	if owner := after.objects["object"].owner; owner != "owner" {
		t.Errorf("object owner after reopening: got %q, want owner", owner)
	}
	record := execute(t, after, node.Call{Op: node.GetRecord, Name: "folder/record"})
	if string(record.Data) != "r" || record.Version != swapped.Version {
		t.Errorf("record after reopening: got data %q, version %d; want data r, version %d",
			record.Data, record.Version, swapped.Version)
	}
}

// Folders that were written by earlier builds must remain readable, so the file format must not change.
func TestStoreFileMatchesEarlierBuilds(t *testing.T) {
	dir := t.TempDir()
	execute(t, newStore(t, dir), node.Call{Op: node.PutObject, Name: "dir/a", Owner: "me", Data: []byte("abc")})
	content, err := os.ReadFile(filepath.Join(dir, "odir_a-a758dbd03e87210e.irispost"))
	if err != nil {
		t.Fatal(err)
	}
	const (
		version   = "\x00\x00\x00\x00\x00\x00\x00\x00"
		writtenAt = "\x00\x00\x00\x00\x3b\x9a\xca\x02"
		lengths   = "\x00\x05\x00\x02"
	)
	want := "o" + version + writtenAt + lengths + "dir/a" + "me" + "abc"
	if string(content) != want {
		t.Errorf("got %q, want %q", content, want)
	}
}

func TestStoreHasTheEffectOfAKeyOnce(t *testing.T) {
	store := newStore(t, "")
	call := node.Call{Op: node.CompareAndSwapRecord, Name: "record", Idempotency: audit.Keyed, IdempotencyKey: "key",
		Data: []byte("r")}
	now := time.Unix(1, 0)
	first, hadEffect := store.execute(&call, now, time.Minute)
	if !hadEffect || first.Status != node.OK {
		t.Fatalf("first call: got reply %+v, effect %t; want status OK, effect true", first, hadEffect)
	}
	repeated, hadEffect := store.execute(&call, now.Add(time.Second), time.Minute)
	if hadEffect || repeated.Status != node.OK || repeated.Version != first.Version {
		t.Errorf("repetition within the window: got reply %+v, effect %t; want the first reply, effect false",
			repeated, hadEffect)
	}
	late, hadEffect := store.execute(&call, now.Add(time.Hour), time.Minute)
	if hadEffect || late.Status != node.VersionConflict {
		t.Errorf("repetition after the window: got reply %+v, effect %t; want a version conflict, effect false",
			late, hadEffect)
	}
}

func TestCommandRejectsWhatItDoesNotKnow(t *testing.T) {
	n, err := Start(Options{Addr: "127.0.0.1:0", Store: newStore(t, "")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	for _, text := range []string{"", "sulk", "fail", "slow x", "drop -1", "stall 5"} {
		if err := n.Command(text); err == nil {
			t.Errorf("command %q: got no error, want one", text)
		}
	}
	for _, text := range []string{
		"fail 0.5", "slow 2", "drop 1", "hang", "stall 1ms", "cut g1", "refuse", "reset", "well",
	} {
		if err := n.Command(text); err != nil {
			t.Errorf("command %q: got error %v, want none", text, err)
		}
	}
	if n.faults != noFaults {
		t.Errorf("faults after \"well\": got %+v, want none", n.faults)
	}
}
