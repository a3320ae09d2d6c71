package lease

import (
	"slices"
	"testing"
)

// A gateway with a peer address is a member from the commit of its join until its lease has expired, although it may
// act on its fallback for longer. When it returns, a new epoch begins, and the others learn the number of departures
// so far.
func TestMembershipFollowsLeases(t *testing.T) {
	state := stateAfter(t,
		&Command{Bootstrap: &testSettings},
		&Command{Propose: &Proposal{ID: "a", Content: configPool[3]}}, // with a fallback of six leases
		&Command{Activate: 1})
	m := NewManager(0, 1, state, 0)
	seq := uint64(0)
	renew := func(now Time, name string, knownEpoch uint64) *RenewResponse {
		seq++
		request := &RenewRequest{Holder: name, Seq: seq, Term: 1, PeerAddr: name + ":1", MembershipEpoch: knownEpoch}
		return m.Renew(now, request)
	}
	both := []string{"g1", "g2"}

	renew(1, "g1", 0)
	renew(1, "g2", 0)
	applyDue(t, m, 1)
	joined := renew(2, "g1", 0).Membership
	if joined == nil || joined.Epoch != 1 || !slices.Equal(joined.Members, both) || joined.Departures != 0 {
		t.Fatalf("after both have joined: got %+v, want epoch 1, members g1 and g2, no departures", joined)
	}

	renew(3, "g2", 1)
	for now := leaseDuration / 2; now < 3*leaseDuration; now += leaseDuration / 2 { // g2 is silent
		renew(now, "g1", 1)
		applyDue(t, m, now)
	}
	expired := renew(3*leaseDuration, "g1", 1).Membership
	alone := []string{"g1"}
	if expired.Epoch != 2 || !slices.Equal(expired.Members, alone) || expired.Departures != 1 || expired.Age <= 0 {
		t.Errorf("after the lease of g2 expired: got %+v, want epoch 2, member g1, one departure, positive age", expired)
	}
	if !state.Holders["g2"] {
		t.Errorf("holders: got %v, want g2 among them, as it may act on its fallback", state.Holders)
	}
	if known := renew(3*leaseDuration, "g1", 2).Membership; known.Members != nil {
		t.Errorf("response to a gateway that knows the epoch: got %+v, want no members", known)
	}

	renew(3*leaseDuration+1, "g2", 1)
	applyDue(t, m, 3*leaseDuration+1)
	response := renew(3*leaseDuration+2, "g2", 1)
	back := response.Membership
	if back.Epoch != 3 || !slices.Equal(back.Members, both) || back.Age > 1 || response.PeerAddrs["g2"] != "g2:1" {
		t.Errorf("after g2 returned: got %+v, addresses %v, want epoch 3, members g1 and g2, age at most 1, address g2:1",
			back, response.PeerAddrs)
	}
}
