package lease

import (
	"strconv"
	"testing"

	"irispost/internal/fleet/configversion"
)

// contentWithOwner returns a configuration in which owner serves the first shard, with the given fallback duration.
func contentWithOwner(t *testing.T, owner string, fallback Time) []byte {
	t.Helper()
	config, err := configversion.Parse(configPool[0])
	if err != nil {
		t.Fatal(err)
	}
	config.FallbackPolicy = configversion.FallbackPolicy{Duration: fallback, LimitFraction: 1}
	config.Nodes = map[string]configversion.Node{owner: {}, "z": {Shard: 1}}
	return config.Canonical()
}

// newTestManager returns a manager of term 7 with the holder "g" and one version for each content. The last version
// is announced, and the one before it is in force.
func newTestManager(t *testing.T, faults InjectedFaults, contents ...[]byte) *Manager {
	t.Helper()
	state := stateAfter(t, &Command{Bootstrap: &testSettings}, &Command{Join: []string{"g"}})
	for i, content := range contents {
		p := &Proposal{ID: strconv.Itoa(i), Parent: state.Announced, ReplacePending: true, Content: content}
		applyAll(t, state, &Command{Activate: state.Announced}, &Command{Propose: p})
	}
	return NewManager(0, 7, state, faults)
}

// stateAfter returns the state that results from commands.
func stateAfter(t *testing.T, commands ...*Command) *StateMachine {
	t.Helper()
	state := NewStateMachine()
	applyAll(t, state, commands...)
	return state
}

// applyAll applies commands and fails the test if one is rejected.
func applyAll(t *testing.T, state *StateMachine, commands ...*Command) {
	t.Helper()
	for i, c := range commands {
		if _, err := state.Apply(c); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
	}
}

// A request that was in transit for long reports versions that the gateway held at an earlier time. If the manager
// used that report, a version could come into force that contradicts the fallback now in effect at the gateway.
func TestRequestFromAnEarlierTermDoesNotCount(t *testing.T) {
	for _, faults := range []InjectedFaults{0, FaultTrustEarlierTerms} {
		a, b := contentWithOwner(t, "a", 100*leaseDuration), contentWithOwner(t, "b", 100*leaseDuration)
		m := newTestManager(t, faults, a, b, a, a)
		m.state.Announced = 3
		// By the time that this request arrives, the fallback of version 2 is in effect at the gateway.
		m.Renew(0, &RenewRequest{Holder: "g", Seq: 3, Term: 2, HeldVersions: []uint64{1}})
		m.state.Announced = 4
		command := m.NextCommand(10 * leaseDuration)
		activated := command != nil && command.Activate == 4
		if activated != (faults == FaultTrustEarlierTerms) {
			t.Errorf("faults %b: got command %+v while waiting for %v, want activation of version 4 only with the fault",
				faults, command, m.WaitingFor(10*leaseDuration))
		}
	}
}

// A gateway whose requests arrive but whose responses are lost would renew its lease forever and block activation, so
// its lease has to expire. A gateway that reports that it cannot read the version is waited for.
func TestGatewayThatIgnoresAnOfferIsNotWaitedFor(t *testing.T) {
	for _, fault := range []string{"", "it cannot be read"} {
		m := newTestManager(t, 0, contentWithOwner(t, "a", 0), contentWithOwner(t, "b", 0))
		activatedAt := Time(0)
		for now := Time(0); now < 10*leaseDuration && activatedAt == 0; now += leaseDuration / 5 {
			m.Renew(now, &RenewRequest{Holder: "g", Seq: 1 + uint64(now), Term: 7, HeldVersions: []uint64{1}, Fault: fault})
			if command := m.NextCommand(now); command != nil && command.Activate == 2 {
				activatedAt = now
			}
		}
		longest := 2*testSettings.withDrift(leaseDuration) + leaseDuration/2
		if activated := activatedAt > 0; activated != (fault == "") || activatedAt > longest {
			t.Errorf("fault %q: activated after %d ms (0: never), want at most the longest wait, and never with a fault",
				fault, activatedAt/nanosPerMilli)
		}
		if grants := len(m.holders["g"].grants); grants > 1 {
			t.Errorf("fault %q: %d grants are kept, want at most 1", fault, grants)
		}
	}
}
