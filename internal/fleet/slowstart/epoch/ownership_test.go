package epoch

import "testing"

// TestEarlierEpochIsIgnored: a membership that arrives late, from an epoch before the known one, changes nothing.
func TestEarlierEpochIsIgnored(t *testing.T) {
	const lease = Time(1000)
	ownership := NewOwnership("g", 0)
	later := Membership{Epoch: 2, Age: 10 * lease, Members: []string{"g"}, LeaseDuration: lease}
	earlier := Membership{Epoch: 1, Age: 10 * lease, Members: []string{"h"}, LeaseDuration: lease}
	ownership.HandleMembership(0, 1, later)
	ownership.HandleMembership(2, 3, earlier)
	if ownership.Epoch() != 2 || ownership.Owner("node") != "g" || !ownership.Owns(4, "node") {
		t.Errorf("got epoch %d, owner %s; want epoch 2, owned by g", ownership.Epoch(), ownership.Owner("node"))
	}
}

// TestOwnershipEndsWithLease: nothing is owned from the end of the lease on, which is counted from its request.
func TestOwnershipEndsWithLease(t *testing.T) {
	const lease = Time(1000)
	ownership := NewOwnership("g", 0)
	ownership.HandleMembership(0, 1, Membership{Epoch: 1, Age: 10 * lease, Members: []string{"g"}, LeaseDuration: lease})
	if !ownership.Owns(lease-1, "node") {
		t.Error("got not owned before the lease has expired, want owned")
	}
	if ownership.Owns(lease, "node") {
		t.Error("got owned after the lease has expired, want not owned")
	}
}
