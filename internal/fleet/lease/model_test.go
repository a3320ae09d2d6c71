package lease

import (
	"fmt"
	"os"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// The model checker explores every order of events for three replicas, two gateways and a change from one version to
// another, with a bounded number of ticks, requests, elections and messages in transit. States reached before are not
// explored again. All clocks run at the same rate; the simulation covers clock drift.

// bounds limit the events in a model.
type bounds struct {
	ticks      int
	requests   int // per gateway
	elections  int
	messages   int  // in transit at a time
	fallback   Time // fallback duration of each version
	compatible bool // the second version does not contradict the first
}

var modelSettings = Settings{LeaseDuration: 2}

// The two proposals of a model, which become versions 1 and 2.
const (
	firstProposal  = "one"
	secondProposal = "two"
)

// wrongContentKey returns the key of the version that has a proposal's number but the content of the other proposal.
func wrongContentKey(proposal string) string { return "not " + proposal }

// No reachable state of the models may have a gateway that contradicts the version in force. The environment variable
// IRISPOST_MODEL=1 selects larger models.
func TestModel(t *testing.T) {
	models := []bounds{
		{ticks: 4, requests: 1, elections: 1, messages: 1},
		{ticks: 5, requests: 1, messages: 1, fallback: 6},
		{ticks: 3, requests: 2, messages: 1},
		{ticks: 7, requests: 1, messages: 1, fallback: 5, compatible: true},
	}
	if os.Getenv("IRISPOST_MODEL") == "1" {
		models = []bounds{
			{ticks: 6, requests: 1, elections: 1, messages: 2, fallback: 6},
			{ticks: 4, requests: 2, messages: 1},
			{ticks: 5, requests: 2, messages: 1, fallback: 6},
			{ticks: 5, requests: 2, messages: 1, fallback: 6, compatible: true},
		}
	}
	for _, b := range models {
		states, violation := explore(t, b, 0)
		if violation != "" {
			t.Errorf("bounds %+v: got violation %s, want none", b, violation)
		}
		t.Logf("bounds %+v: %d states", b, states)
	}
}

// The model checker must detect each injected fault. The number of states that it takes varies, as several workers
// search in parallel.
func TestModelFindsInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault  InjectedFaults
		bounds bounds
	}{
		"lease from receipt": {
			FaultLeaseFromReceipt, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}},
		"no wait": {
			FaultNoWait, bounds{ticks: 3, requests: 1, messages: 1}},
		"no intersection": {
			FaultNoIntersection, bounds{ticks: 3, requests: 2, messages: 1}},
		"a new leader assumes no leases": {
			FaultNewLeaderAssumesNoLeases, bounds{ticks: 3, requests: 1, elections: 1, messages: 1}},
		"fallbacks not waited for": {
			FaultIgnoreFallbacks, bounds{ticks: 5, requests: 1, messages: 1, fallback: 6}},
		"no lease expiry": {
			FaultNoLeaseExpiry, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}},
		"leader not confirmed": {
			faultUnconfirmedLeader, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}},
		"digest not checked": {
			faultUncheckedDigest, bounds{ticks: 3, requests: 1, messages: 1}},
		"a version forgotten while a fallback uses it": {
			FaultForgetHeldVersions, bounds{ticks: 7, requests: 1, messages: 1, fallback: 5, compatible: true}},
	} {
		t.Run(name, func(t *testing.T) {
			states, violation := explore(t, c.bounds, c.fault)
			if violation == "" {
				t.Fatalf("no violation found in %d states, want one", states)
			}
			t.Logf("%7d states: %s", states, violation)
		})
	}
}

// explore checks all reachable states. It returns the number of states checked, and a description of a violation, or
// "" if there is none.
func explore(t *testing.T, b bounds, faults InjectedFaults) (states int, violation string) {
	t.Helper()
	first := initialState(t, b, faults)
	s := newSearch(b, faults)
	s.isNew(first.key())
	s.todo = []*modelState{first}
	s.run()
	return s.states, s.violation
}

// modelContent returns a configuration in which owner, one of two nodes, serves the only shard. With b.compatible,
// node "a" serves it in either configuration and only the node's name differs.
func modelContent(b bounds, owner string) []byte {
	config := &configversion.Config{
		RequiredFormat:   1,
		Shards:           1,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"p": {Weight: 1}},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes: map[string]configversion.Node{
			"a": {Health: endpoint.Draining},
			"b": {Health: endpoint.Draining},
		},
		FallbackPolicy: configversion.FallbackPolicy{Duration: b.fallback, LimitFraction: 1},
	}
	config.Nodes[owner] = configversion.Node{}
	if b.compatible {
		config.Nodes = map[string]configversion.Node{"a": {Name: owner}}
	}
	return config.Canonical()
}

// modelVersions returns the versions of the two proposals, and variants of them with the content of the other version,
// which a gateway accepts if it does not check digests. All are already parsed, so that the states of a model can
// share them.
func modelVersions(t *testing.T, b bounds) map[string]*configversion.Version {
	t.Helper()
	versions := map[string]*configversion.Version{}
	state := NewStateMachine()
	for i, p := range []*Proposal{
		{ID: firstProposal, Content: modelContent(b, "a")},
		{ID: secondProposal, Content: modelContent(b, "b")},
	} {
		p.Parent = uint64(i)
		p.ReplacePending = true
		version, err := state.Apply(&Command{Propose: p})
		if err != nil {
			t.Fatal(err)
		}
		versions[p.ID] = version
	}
	one, two := versions[firstProposal], versions[secondProposal]
	withContentOf := func(version, other *configversion.Version) *configversion.Version {
		return &configversion.Version{Number: version.Number, Digest: other.Digest, Content: other.Content}
	}
	versions[wrongContentKey(firstProposal)] = withContentOf(one, two)
	versions[wrongContentKey(secondProposal)] = withContentOf(two, one)
	for id, version := range versions {
		if _, err := version.Fallback(); err != nil {
			t.Fatal(fmt.Errorf("%s: %w", id, err))
		}
	}
	return versions
}

// initialState returns the initial state: a fleet of two gateways with the first version in force.
func initialState(t *testing.T, b bounds, faults InjectedFaults) *modelState {
	t.Helper()
	s := &modelState{
		committed: NewStateMachine(),
		clients:   [2]*Client{NewClient("g", 1, faults), NewClient("h", 1, faults)},
		versions:  modelVersions(t, b),
		fallback:  b.fallback,
	}
	for i := range s.stateMachines {
		s.stateMachines[i] = NewStateMachine()
	}
	for _, c := range []*Command{
		{Bootstrap: &modelSettings},
		{Propose: &Proposal{ID: firstProposal}},
		{Activate: 1},
		{Join: []string{"g", "h"}},
	} {
		s.commit(c)
	}
	s.elect(0, faults)
	return s
}
