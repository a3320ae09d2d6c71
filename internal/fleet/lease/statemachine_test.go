package lease

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/fleet/configversion"
)

// contentOfNodes returns a configuration with the given number of nodes and rate limit, in its canonical form.
func contentOfNodes(nodes int, limit float64) []byte {
	config := &configversion.Config{
		RequiredFormat:   1,
		Shards:           nodes + 1,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes:            map[string]configversion.Node{},
	}
	for i := range nodes {
		config.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = configversion.Node{
			Shard:     i,
			Name:      fmt.Sprint("node-", i),
			Zone:      "a",
			StartedAt: int64(i) * 1e9,
		}
	}
	return config.Canonical()
}

// encodeAndDecode returns a command as decoded from its log entry.
func encodeAndDecode(c *Command, format int, state *StateMachine) (*Command, error) {
	entry, err := c.EncodeEntry(format, state)
	if err != nil {
		return nil, err
	}
	return DecodeEntry(entry)
}

// replicatedStates holds the states of three replicas and what they are expected to hold.
type replicatedStates struct {
	states    [3]*StateMachine
	contents  map[uint64][]byte // by version
	forgotten map[uint64]bool
}

// apply applies a command at all replicas, which have to agree whether it results in a version.
func (r *replicatedStates) apply(t *rapid.T, c *Command, format int) *configversion.Version {
	entry, err := c.EncodeEntry(format, r.states[0])
	if err != nil {
		t.Fatal(err)
	}
	var version *configversion.Version
	for i, state := range r.states {
		command, err := DecodeEntry(entry)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := state.Apply(command)
		if errors.Is(err, ErrInvalidEntry) || i > 0 && (applied == nil) != (version == nil) {
			t.Fatalf("replica %d: got version %v, error %v, want the same outcome as at replica 0", i, applied, err)
		}
		version = applied
	}
	return version
}

func (r *replicatedStates) propose(t *rapid.T, number, format int) {
	content := contentOfNodes(rapid.IntRange(0, 30).Draw(t, "nodes"), float64(number))
	announced := r.states[0].Announced
	parent := announced - min(announced, uint64(rapid.IntRange(0, 1).Draw(t, "stale")))
	p := &Proposal{ID: fmt.Sprint(number), Parent: parent, ReplacePending: true, Content: content}
	version := r.apply(t, &Command{Propose: p}, format)
	if accepted := version != nil; accepted != (parent == announced) {
		t.Fatalf("got version %v for parent %d with %d announced, want a version only for the announced parent",
			version, parent, announced)
	}
	if version != nil {
		r.contents[version.Number] = content
	}
}

// forget makes all replicas forget some of the versions that are neither in force nor announced.
func (r *replicatedStates) forget(t *rapid.T) {
	c := &Command{}
	state := r.states[0]
	for _, v := range state.Versions {
		if v.Number != state.InForce && v.Number != state.Announced && rapid.Bool().Draw(t, "forget") {
			c.Forget = append(c.Forget, v.Number)
			r.forgotten[v.Number] = true
		}
	}
	if len(c.Forget) > 0 {
		r.apply(t, c, formatWithDeltas)
	}
}

func (r *replicatedStates) restart(t *rapid.T, i int) {
	restored, err := Restore(r.states[i].Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	r.states[i] = restored
}

// After any sequence of proposals, forgetting and restarts in either format, each replica has the proposed content of
// each version that was not forgotten, and none of the forgotten versions.
func TestReplicasKeepTheProposedContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replicatedStates{
			states:    [3]*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()},
			contents:  map[uint64][]byte{},
			forgotten: map[uint64]bool{},
		}
		for number := range rapid.IntRange(1, 40).Draw(t, "steps") {
			format := max(r.states[0].Format, rapid.SampledFrom([]int{1, 2}).Draw(t, "format"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.restart(t, rapid.IntRange(0, 2).Draw(t, "replica"))
			case 1:
				r.apply(t, &Command{Activate: r.states[0].Announced}, format)
			case 2:
				r.forget(t)
			default:
				r.propose(t, number, format)
			}
		}
		for i, state := range r.states {
			for number, content := range r.contents {
				version := state.Version(number)
				if (version == nil) != r.forgotten[number] || version != nil && !bytes.Equal(version.Content, content) {
					t.Fatalf("replica %d, version %d: got %v, want the proposed content, or no version if forgotten (%t)",
						i, number, version, r.forgotten[number])
				}
			}
		}
	})
}

// A repeated proposal gets the number of its version as long as its ID is kept. After that it is rejected, as its
// parent is no longer the latest version.
func TestRepeatedProposalsAreRecognised(t *testing.T) {
	const proposals = RetainedProposalIDs + 100
	state := NewStateMachine()
	propose := func(n int) (*configversion.Version, error) {
		format := 1
		if n%16 == 0 {
			format = 2
		}
		p := &Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true, Content: contentOfNodes(0, float64(n+1))}
		command, err := encodeAndDecode(&Command{Propose: p}, format, state)
		if err != nil {
			t.Fatal(err)
		}
		return state.Apply(command)
	}
	for n := range proposals {
		if _, err := propose(n); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			continue
		}
		if err := state.forget([]uint64{state.Announced - 1}); err != nil {
			t.Fatal(err)
		}
	}
	if len(state.ProposalIDs) != RetainedProposalIDs || len(state.Versions) != 1 {
		t.Errorf("%d IDs and %d versions are kept, want RetainedProposalIDs and 1",
			len(state.ProposalIDs), len(state.Versions))
	}
	oldest := slices.Min(slices.Collect(maps.Values(state.ProposalIDs)))
	for n := range proposals {
		version, err := propose(n)
		number := uint64(n + 1)
		switch {
		case number >= oldest && (err != nil || version.Number != number):
			t.Fatalf("retry of proposal %d, whose ID is kept: got version %v, error %v, want its version", n, version, err)
		case number < oldest && !errors.Is(err, ErrStaleParent):
			t.Fatalf("retry of proposal %d, whose ID is not kept: got version %v, error %v, want ErrStaleParent",
				n, version, err)
		}
	}
	_, err := propose(0)
	if err == nil || !strings.Contains(err.Error(), "kept for 1024 versions") || state.Announced != proposals {
		t.Errorf("got error %v with %d announced, want an error that tells for how long IDs are kept, and no new version",
			err, state.Announced)
	}
}

func TestValidateRefusesLargeProposals(t *testing.T) {
	for name, p := range map[string]*Proposal{
		"content": {Content: make([]byte, configversion.MaxContentBytes+1)},
		"reason":  {Reason: strings.Repeat("w", 3000)},
		"ID":      {ID: strings.Repeat("w", 129)},
	} {
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("proposal with a large %s: got error %v, want one that names it", name, err)
		}
	}
}

func TestForgetRefusesTheAnnouncedVersion(t *testing.T) {
	state := stateAfter(t,
		&Command{Propose: &Proposal{ID: "a", Content: contentOfNodes(1, 1)}},
		&Command{Propose: &Proposal{ID: "b", Parent: 1, ReplacePending: true, Content: contentOfNodes(1, 2)}})
	if _, err := state.Apply(&Command{Forget: []uint64{1, 2}}); !errors.Is(err, errVersionNeeded) {
		t.Errorf("got error %v, want errVersionNeeded", err)
	}
	if len(state.Versions) != 2 {
		t.Errorf("%d versions are kept, want 2", len(state.Versions))
	}
}
