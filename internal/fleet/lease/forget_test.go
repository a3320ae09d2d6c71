package lease

import (
	"fmt"
	"slices"
	"testing"

	"irispost/internal/fleet/configversion"
)

// Two requests that arrive out of order are granted the same versions. A gateway that reports having accepted the
// first response may still accept the second one, so the versions that the second one names must not be forgotten.
func TestVersionsOfReorderedRequestsAreKept(t *testing.T) {
	for _, order := range [][]uint64{{1, 2}, {2, 1}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			state := stateAfter(t,
				&Command{Bootstrap: &testSettings},
				&Command{Propose: &Proposal{ID: "a", Content: configPool[0]}},
				&Command{Activate: 1},
				&Command{Join: []string{"g"}},
				&Command{Propose: &Proposal{ID: "b", Parent: 1, Content: configPool[1]}})
			m := NewManager(0, 1, state, 0)
			m.retention = retention{enabled: true, batchSize: 1}
			for _, seq := range order {
				m.Renew(1, &RenewRequest{Holder: "g", Seq: seq, Term: 1})
			}
			third := &Proposal{ID: "c", Parent: 2, ReplacePending: true, Content: configPool[2]}
			applyAll(t, state, &Command{Propose: third})
			m.Renew(2, &RenewRequest{Holder: "g", Seq: 3, Term: 1, AcceptedSeq: 1, HeldVersions: []uint64{1}})
			if numbers := m.forgettable(3); numbers != nil {
				t.Errorf("forgettable versions: got %v, want none, as the second response names version 2", numbers)
			}
			m.Renew(leaseDuration, &RenewRequest{Holder: "g", Seq: 4, Term: 1, AcceptedSeq: 3, HeldVersions: []uint64{1, 3}})
			if numbers := m.forgettable(2 * leaseDuration); !slices.Equal(numbers, []uint64{2}) {
				t.Errorf("forgettable versions: got %v, want [2], the only unused one", numbers)
			}
		})
	}
}

// While a gateway may act on a version's fallback for an hour, the version is kept across a change of the leader
// and more than a thousand other versions. After that it is forgotten as well.
func TestVersionOfALongFallbackIsKept(t *testing.T) {
	const hour = 3600 * Time(1e9)
	fleet := newForgetFleet(t)
	config, err := configversion.Parse(contentOfNodes(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	config.FallbackPolicy = configversion.FallbackPolicy{Duration: hour, LimitFraction: 1}
	fleet.step(t, config.Canonical())
	held := fleet.state.Announced
	most := 0
	for n := range 1400 {
		fleet.step(t, contentOfNodes(0, float64(n+2)))
		most = max(most, len(fleet.state.Versions))
		if n == 100 {
			fleet.manager = NewManager(fleet.now, 2, fleet.state, 0)
		}
		if fleet.state.Version(held) == nil && fleet.now < hour {
			t.Fatalf("the held version was forgotten after %d s, want it kept for 3600 s", fleet.now/1e9)
		}
	}
	if fleet.state.Version(held) != nil || len(fleet.state.Holders) != 1 {
		t.Errorf("after %d s: want the held version forgotten and one holder left, got holders %v",
			fleet.now/1e9, fleet.state.Holders)
	}
	if len(fleet.state.Versions) > RetainedBaseVersions+forgetBatch+2 {
		t.Errorf("kept versions: %d at the end (up to %d before), want at most RetainedBaseVersions+forgetBatch+2",
			len(fleet.state.Versions), most)
	}
}

// forgetFleet is a fleet of two gateways, of which "far" sends no requests after the first three leases.
type forgetFleet struct {
	state   *StateMachine
	manager *Manager
	now     Time
	seq     uint64
}

func newForgetFleet(t *testing.T) *forgetFleet {
	t.Helper()
	state := stateAfter(t, &Command{Bootstrap: &testSettings}, &Command{Join: []string{"far", "near"}})
	return &forgetFleet{state: state, manager: NewManager(0, 1, state, 0)}
}

// step proposes a version, lets the gateways acknowledge it and advances the time by four leases.
func (f *forgetFleet) step(t *testing.T, content []byte) {
	t.Helper()
	p := &Proposal{ID: fmt.Sprint(f.now), Parent: f.state.Announced, ReplacePending: true, Content: content}
	applyAll(t, f.state, &Command{Propose: p})
	for _, name := range []string{"near", "far"} {
		f.seq++
		if name == "far" && f.now >= 3*leaseDuration {
			continue
		}
		f.manager.Renew(f.now, &RenewRequest{
			Holder:       name,
			Seq:          f.seq,
			Term:         f.manager.term,
			AcceptedSeq:  f.seq,
			HeldVersions: []uint64{f.state.Announced},
		})
	}
	f.manager.AllowForget(true)
	applyDue(t, f.manager, f.now)
	f.now += 4 * leaseDuration
}

// applyDue applies and returns all commands that are due.
func applyDue(t *testing.T, m *Manager, now Time) []*Command {
	t.Helper()
	var commands []*Command
	for c := m.NextCommand(now); c != nil; c = m.NextCommand(now) {
		applyAll(t, m.state, c)
		m.Applied(c)
		commands = append(commands, c)
	}
	return commands
}
