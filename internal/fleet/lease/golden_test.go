package lease

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
	"irispost/internal/testkit/golden"
)

// The files under testdata/golden hold every encoding that is sent over the network or written to disk. Replicas and
// gateways of other builds read and write the same encodings.

// readGolden returns the content of a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	file, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// goldenContent returns a configuration in its canonical form. Results differ only in the rate limit.
func goldenContent(limit float64) []byte {
	config := &configversion.Config{
		RequiredFormat:   1,
		Shards:           2,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes: map[string]configversion.Node{
			"10.0.0.1:7000": {Name: "one", Zone: "z1", StartedAt: 5},
			"10.0.0.2:7000": {Shard: 1},
		},
	}
	return config.Canonical()
}

func goldenProposal() *Proposal {
	return &Proposal{
		ID:             "id-2",
		Parent:         1,
		ReplacePending: true,
		Author:         "ann",
		Reason:         "more room",
		CreatedAt:      "2026-01-02T03:04:05Z",
		Content:        goldenContent(2),
	}
}

func goldenRequest() *RenewRequest {
	return &RenewRequest{
		Holder:          "g1/1",
		Seq:             9,
		Term:            3,
		AcceptedSeq:     8,
		HeldVersions:    []uint64{6, 7},
		Fault:           "version 7 is not acted on",
		State:           StatePrepared.String(),
		MembershipEpoch: 4,
		PeerAddr:        "10.0.0.9:7200",
		Format:          ByDigest,
	}
}

func goldenResponse() *RenewResponse {
	version := &configversion.Version{
		Number:    7,
		Parent:    6,
		Digest:    "abcd",
		Author:    "ann",
		Reason:    "more room",
		CreatedAt: "2026-01-02T03:04:05Z",
		Content:   []byte("{}"),
	}
	membership := &epoch.Membership{
		Epoch:         4,
		Departures:    1,
		Age:           5e8,
		Members:       []string{"g1/1", "g2/1"},
		LeaseDuration: 2e9,
		MaxClockDrift: 0.01,
	}
	return &RenewResponse{
		Seq:           9,
		Term:          3,
		InForce:       6,
		Announced:     7,
		LeaseDuration: 2e9,
		Versions:      []*configversion.Version{version},
		Membership:    membership,
		PeerAddrs:     map[string]string{"g1/1": "10.0.0.9:7200"},
	}
}

func goldenStatus() *GatewayStatus {
	return &GatewayStatus{
		Holder:          "g1/1",
		State:           StateActing.String(),
		HeldVersions:    []uint64{7},
		LastHeardMillis: 120,
		LeaseLeftMillis: 1880,
		Unresponsive:    true,
		Fault:           "late",
	}
}

func TestGoldenJSON(t *testing.T) {
	stateNames := StateNames()
	for name, value := range map[string]any{
		"request.json":               goldenRequest(),
		"request-first.json":         &RenewRequest{Holder: "g1/1", Seq: 1, State: StateFollowing.String()},
		"response.json":              goldenResponse(),
		"response-none.json":         &RenewResponse{Seq: 9, Term: 3},
		"status.json":                goldenStatus(),
		"status-unheard.json":        &GatewayStatus{Holder: "g1/1", State: "unheard", LeaseLeftMillis: -5},
		"settings.json":              &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01},
		"proposal.json":              goldenProposal(),
		"proposal-delta.json":        &Proposal{ID: "id-2", Parent: 1, Digest: "abcd", DeltaBase: 1},
		"command-bootstrap.json":     &Command{Bootstrap: &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01}},
		"command-propose.json":       &Command{Propose: goldenProposal()},
		"command-activate.json":      &Command{Activate: 7},
		"command-join.json":          &Command{Join: []string{"g1/1", "g2/1"}},
		"command-remove.json":        &Command{Remove: []string{"g1/1"}},
		"command-lease-expired.json": &Command{LeaseExpired: []string{"g1/1"}},
		"command-forget.json":        &Command{Forget: []uint64{1, 2}},
		"states.json":                &stateNames,
	} {
		t.Run(name, func(t *testing.T) {
			written, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, filepath.Join("golden", name), written)
			read := reflect.New(reflect.TypeOf(value).Elem())
			if err := json.Unmarshal(readGolden(t, name), read.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read.Interface(), value) {
				t.Errorf("decoded golden file: got %+v, want the encoded value", read.Interface())
			}
		})
	}
}

// Everything in an entry but its compressed content is compared with the file, as the compressed bytes may change with
// the compressor. The file is also decoded and applied, which checks its content.
func TestGoldenEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		format  int
		command *Command
	}{
		{"entry-propose-1.bin", 1, &Command{Propose: goldenProposal()}},
		{"entry-propose-2.bin", 2, &Command{Propose: goldenProposal()}},
		{"entry-forget-2.bin", 2, &Command{Forget: []uint64{1, 2}}},
		{"entry-join-2.bin", 2, &Command{Join: []string{"g1/1"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := stateAfter(t, &Command{Propose: &Proposal{ID: "id-1", Content: goldenContent(1)}})
			written, err := c.command.EncodeEntry(c.format, state)
			if err != nil {
				t.Fatal(err)
			}
			file := readGolden(t, c.name)
			fixed := len(file)
			if file[0] == 0x02 {
				size, n := binary.Uvarint(file[1:])
				fixed = 1 + n + int(size)
			}
			if len(written) < fixed || !bytes.Equal(written[:fixed], file[:fixed]) {
				t.Errorf("encoded entry: got\n%q\nwant, apart from the compressed content, that of the file:\n%q", written, file)
			}
			read, err := DecodeEntry(file)
			if err != nil {
				t.Fatal(err)
			}
			if c.command.Propose == nil {
				if !reflect.DeepEqual(read, c.command) {
					t.Errorf("decoded command: got %+v, want the encoded command", read)
				}
				return
			}
			version, err := state.Apply(read)
			if err != nil {
				t.Fatal(err)
			}
			want := &configversion.Version{
				Number:    2,
				Parent:    1,
				Digest:    configversion.DigestOf(goldenContent(2)),
				Author:    "ann",
				Reason:    "more room",
				CreatedAt: "2026-01-02T03:04:05Z",
				Content:   goldenContent(2),
			}
			if !reflect.DeepEqual(version, want) {
				t.Errorf("applied version: got %+v, want version 2 with the golden proposal's content", version)
			}
		})
	}
}

// goldenState returns a state with one version in force and a later one announced. In format 2, an earlier version has
// been forgotten.
func goldenState(t *testing.T, format int) *StateMachine {
	t.Helper()
	commands := []*Command{
		{Bootstrap: &Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01}},
		{Propose: &Proposal{
			ID:        "id-1",
			Author:    "ann",
			Reason:    "first",
			CreatedAt: "2026-01-01T00:00:00Z",
			Content:   goldenContent(1),
		}},
		{Activate: 1},
		{Join: []string{"g1/1", "g2/1", "g3/1"}},
		{LeaseExpired: []string{"g2/1"}},
		{Remove: []string{"g3/1"}},
		{Propose: goldenProposal()},
	}
	if format >= formatWithDeltas {
		third := &Proposal{
			ID:        "id-3",
			Parent:    2,
			Author:    "bob",
			Reason:    "less",
			CreatedAt: "2026-01-03T00:00:00Z",
			Content:   goldenContent(3),
		}
		commands = append(commands, &Command{Activate: 2}, &Command{Propose: third}, &Command{Forget: []uint64{1}})
	}
	state := NewStateMachine()
	for i, c := range commands {
		decoded, err := encodeAndDecode(c, format, state)
		if err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
		applyAll(t, state, decoded)
	}
	return state
}

// A snapshot that is read and written again is identical byte for byte, in either format.
func TestGoldenSnapshots(t *testing.T) {
	for name, format := range map[string]int{"snapshot-1.bin": 1, "snapshot-2.bin": formatWithDeltas} {
		t.Run(name, func(t *testing.T) {
			restored, err := Restore(readGolden(t, name))
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, filepath.Join("golden", name), restored.Snapshot())

			// Format 0 holds the contents uncompressed, so that the comparison does not depend on the compressor.
			state := goldenState(t, format)
			state.Format = 0
			restored.Format = 0
			got, want := string(state.Snapshot()), string(restored.Snapshot())
			if got != want || !strings.Contains(got, `"in_force"`) {
				t.Errorf("state after the same commands: got\n%s\nwant that of the file:\n%s", got, want)
			}
		})
	}
}
