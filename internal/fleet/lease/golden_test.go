package lease

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// The files under testdata/golden hold every form that goes over the wire or to disk. Replicas and gateways of other builds read and
// write the same forms, so a file is only ever added, never rewritten.
var update = flag.Bool("update", false, "write missing golden files")

// golden returns the content of a golden file. With -update a missing file is written first.
func golden(t *testing.T, name string, got []byte) []byte {
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
	return want
}

// goldenConfig is a content that differs from others by its limit alone.
func goldenConfig(limit float64) []byte {
	r := &configversion.Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes: map[string]configversion.Node{"10.0.0.1:7000": {Name: "one", Zone: "z1", StartedAt: 5}, "10.0.0.2:7000": {Shard: 1}}}
	return r.Canonical()
}

func goldenProposal() *Proposal {
	return &Proposal{ID: "id-2", Parent: 1, ReplacePending: true, Author: "ann", Reason: "more room", CreatedAt: "2026-01-02T03:04:05Z", Content: goldenConfig(2)}
}

// goldenStateMachine has an announced version beside the one in force. In form 2 a version before them was forgotten.
func goldenStateMachine(t *testing.T, form int) *StateMachine {
	t.Helper()
	l := NewStateMachine()
	commands := []*Command{
		{Bootstrap: &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01}},
		{Propose: &Proposal{ID: "id-1", Author: "ann", Reason: "first", CreatedAt: "2026-01-01T00:00:00Z", Content: goldenConfig(1)}},
		{Activate: 1},
		{Join: []string{"g1/1", "g2/1", "g3/1"}},
		{LeaseExpired: []string{"g2/1"}},
		{Remove: []string{"g3/1"}},
		{Propose: goldenProposal()},
	}
	if form >= 2 {
		commands = append(commands, &Command{Activate: 2},
			&Command{Propose: &Proposal{ID: "id-3", Parent: 2, Author: "bob", Reason: "less", CreatedAt: "2026-01-03T00:00:00Z", Content: goldenConfig(3)}},
			&Command{Forget: []uint64{1}})
	}
	for i, c := range commands {
		entry, err := c.EncodeEntry(form, l)
		if err != nil {
			t.Fatal(i, err)
		}
		read, err := DecodeEntry(entry)
		if err != nil {
			t.Fatal(i, err)
		}
		if _, err := l.Apply(read); err != nil {
			t.Fatal(i, err)
		}
	}
	return l
}

func TestGoldenJSON(t *testing.T) {
	version := configversion.Version{Number: 7, Parent: 6, Digest: "abcd", Author: "ann", Reason: "more room", CreatedAt: "2026-01-02T03:04:05Z", Content: []byte("{}")}
	for name, value := range map[string]any{
		"ask.json": &RenewRequest{Holder: "g1/1", Seq: 9, Term: 3, AcceptedSeq: 8, HeldVersions: []uint64{6, 7}, Fault: "version 7 is not acted on", State: StatePrepared.String(), MembershipEpoch: 4,
			PeerAddr: "10.0.0.9:7200", Format: ByDigest},
		"ask-first.json": &RenewRequest{Holder: "g1/1", Seq: 1, State: StateFollowing.String()},
		"grant.json": &RenewResponse{Seq: 9, Term: 3, InForce: 6, Announced: 7, LeaseDuration: 2e9, Versions: []*configversion.Version{&version},
			Membership: &epoch.Membership{Epoch: 4, Departures: 1, Age: 5e8, Members: []string{"g1/1", "g2/1"}, LeaseDuration: 2e9, MaxClockDrift: 0.01},
			PeerAddrs:  map[string]string{"g1/1": "10.0.0.9:7200"}},
		"grant-none.json":      &RenewResponse{Seq: 9, Term: 3},
		"seen.json":            &GatewayStatus{Holder: "g1/1", State: StateActing.String(), HeldVersions: []uint64{7}, LastHeardMillis: 120, LeaseLeftMillis: 1880, Unresponsive: true, Fault: "late"},
		"seen-unheard.json":    &GatewayStatus{Holder: "g1/1", State: "unheard", LeaseLeftMillis: -5},
		"terms.json":           &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01},
		"proposal.json":        goldenProposal(),
		"proposal-coded.json":  &Proposal{ID: "id-2", Parent: 1, Digest: "abcd", DeltaBase: 1},
		"command-found.json":   &Command{Bootstrap: &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01}},
		"command-propose.json": &Command{Propose: goldenProposal()},
		"command-force.json":   &Command{Activate: 7},
		"command-join.json":    &Command{Join: []string{"g1/1", "g2/1"}},
		"command-part.json":    &Command{Remove: []string{"g1/1"}},
		"command-away.json":    &Command{LeaseExpired: []string{"g1/1"}},
		"command-forget.json":  &Command{Forget: []uint64{1, 2}},
		"states.json":          &[]string{"following", "acting", "prepared", "lapsed", "ended", "returning"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			want := golden(t, name, got)
			if !bytes.Equal(got, want) {
				t.Errorf("written:\n%s\nthe file has:\n%s", got, want)
			}
			back := reflect.New(reflect.TypeOf(value).Elem())
			if err := json.Unmarshal(want, back.Interface()); err != nil || !reflect.DeepEqual(back.Interface(), value) {
				t.Errorf("read: %+v, %v", back.Interface(), err)
			}
		})
	}
	var names []string
	if err := json.Unmarshal(golden(t, "states.json", nil), &names); err != nil || !reflect.DeepEqual(StateNames(), names) {
		t.Errorf("states %v, %v in the file: %v", StateNames(), names, err)
	}
}

// An entry of form 1 is pinned as written. Of one of form 2 all is but the compressed content, which may change with the compressor;
// that in the file is read.
func TestGoldenEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		form    int
		command *Command
	}{
		{"entry-propose-1.bin", 1, &Command{Propose: goldenProposal()}},
		{"entry-propose-2.bin", 2, &Command{Propose: goldenProposal()}},
		{"entry-forget-2.bin", 2, &Command{Forget: []uint64{1, 2}}},
		{"entry-join-2.bin", 2, &Command{Join: []string{"g1/1"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewStateMachine()
			if _, err := l.Apply(&Command{Propose: &Proposal{ID: "id-1", Content: goldenConfig(1)}}); err != nil {
				t.Fatal(err)
			}
			got, err := c.command.EncodeEntry(c.form, l)
			if err != nil {
				t.Fatal(err)
			}
			want := golden(t, c.name, got)
			fixed := len(want)
			if want[0] == 0x02 {
				size, n := binary.Uvarint(want[1:])
				fixed = 1 + n + int(size)
			}
			if len(got) < fixed || !bytes.Equal(got[:fixed], want[:fixed]) {
				t.Errorf("written:\n%q\nthe file has:\n%q", got, want)
			}
			read, err := DecodeEntry(want)
			if err != nil {
				t.Fatal(err)
			}
			if c.command.Propose == nil {
				if !reflect.DeepEqual(read, c.command) {
					t.Errorf("read: %+v", read)
				}
				return
			}
			v, err := l.Apply(read)
			if err != nil || v.Number != 2 || v.Author != "ann" || v.Reason != "more room" || !bytes.Equal(v.Content, goldenConfig(2)) {
				t.Errorf("applied: %+v, %v", v, err)
			}
		})
	}
}

// A snapshot that was read is written as it was, byte for byte, in either form.
func TestGoldenSnapshots(t *testing.T) {
	for name, form := range map[string]int{"snapshot-1.bin": 1, "snapshot-2.bin": 2} {
		t.Run(name, func(t *testing.T) {
			l := goldenStateMachine(t, form)
			want := golden(t, name, l.Snapshot())
			back, err := Restore(want)
			if err != nil {
				t.Fatal(err)
			}
			if got := back.Snapshot(); !bytes.Equal(got, want) {
				t.Errorf("written:\n%q\nthe file has:\n%q", got, want)
			}
			l.Format, back.Format = 0, 0 // contents are compared as they are and not as they are compressed
			if got, want := string(l.Snapshot()), string(back.Snapshot()); got != want || !strings.Contains(got, `"in_force"`) {
				t.Errorf("the same commands come to:\n%s\nthe file has:\n%s", got, want)
			}
		})
	}
}
