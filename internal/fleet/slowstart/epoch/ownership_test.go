package epoch

import "testing"

// TestEarlierEpochIsIgnored: a membership that comes late, of an epoch before the known one, changes nothing.
func TestEarlierEpochIsIgnored(t *testing.T) {
	const lease = Time(1000)
	ownership := NewOwnership("g", 0)
	later := Membership{Epoch: 2, Age: 10 * lease, Members: []string{"g"}, LeaseDuration: lease}
	earlier := Membership{Epoch: 1, Age: 10 * lease, Members: []string{"h"}, LeaseDuration: lease}
	ownership.HandleMembership(0, 1, later)
	ownership.HandleMembership(2, 3, earlier)
	if ownership.Epoch() != 2 || ownership.Owner("node") != "g" || !ownership.Owns(4, "node") {
		t.Errorf("epoch %d, owner %s", ownership.Epoch(), ownership.Owner("node"))
	}
}

// TestOwnershipEndsWithLease: at the lease's end, counted from when it was requested, nothing is owned any more.
func TestOwnershipEndsWithLease(t *testing.T) {
	const lease = Time(1000)
	ownership := NewOwnership("g", 0)
	ownership.HandleMembership(0, 1, Membership{Epoch: 1, Age: 10 * lease, Members: []string{"g"}, LeaseDuration: lease})
	if !ownership.Owns(lease-1, "node") {
		t.Error("not owned under the lease")
	}
	if ownership.Owns(lease, "node") {
		t.Error("owned after the lease")
	}
}
