package epoch

import "slices"

// Ownership tracks which nodes' budgets one gateway owns. It is updated with the membership that comes with each lease.
type Ownership struct {
	self             string
	faults           InjectedFaults
	membership       Membership
	leaseUntil       Time            // nothing is owned from then on
	ownedFrom        map[string]Time // by node, for nodes queried before: start of ownership, if it is owned
	defaultOwnedFrom Time            // start of ownership of all other nodes
}

// InjectedFaults are defects that tests inject to show that their checks detect them. Nothing else sets them.
type InjectedFaults uint

// Faults that can be injected, one bit each.
const (
	FaultNoWait           InjectedFaults = 1 << iota // a new owner does not wait for the previous one
	FaultIgnoreLease                                 // an owner goes on after its lease has expired
	FaultIgnoreDepartures                            // the owner of a node in two epochs counts as its owner in between
)

// NewOwnership returns the ownership of the gateway with the holder ID self. It knows no membership yet and owns
// nothing.
func NewOwnership(self string, faults InjectedFaults) *Ownership {
	return &Ownership{self: self, faults: faults, ownedFrom: map[string]Time{}}
}

// HandleMembership processes the membership that came with a lease. requestedAt is when the lease was requested and
// now when it was received, both on the gateway's clock. A membership of an earlier epoch is ignored.
func (o *Ownership) HandleMembership(requestedAt, now Time, membership Membership) {
	if membership.Epoch < o.membership.Epoch {
		return
	}
	o.leaseUntil = max(o.leaseUntil, requestedAt+membership.LeaseDuration)
	if membership.Epoch == o.membership.Epoch {
		return
	}
	wait := membership.untilEarlierLeasesExpire()
	if o.faults&FaultNoWait != 0 {
		wait = 0
	}
	o.ownedFrom = o.ownedThroughout(&membership)
	o.membership = membership
	o.defaultOwnedFrom = now + wait
}

// ownedThroughout returns the nodes that the gateway owned until now and owns in the next known epoch, without another
// owner in between. If no member has both joined and left between the two epochs, the owner of a node in both of
// them has owned it throughout.
func (o *Ownership) ownedThroughout(next *Membership) map[string]Time {
	owned := map[string]Time{}
	departed := uint64(0)
	for _, member := range o.membership.Members {
		if !slices.Contains(next.Members, member) {
			departed++
		}
	}
	allKnown := o.membership.Epoch > 0 && next.Departures-o.membership.Departures == departed
	if !allKnown && o.faults&FaultIgnoreDepartures == 0 {
		return owned
	}
	for node, from := range o.ownedFrom {
		if Owner(node, o.membership.Members) == o.self && Owner(node, next.Members) == o.self {
			owned[node] = from
		}
	}
	return owned
}

// Owns reports whether the gateway may allocate the node's budget now.
func (o *Ownership) Owns(now Time, node string) bool {
	expired := now >= o.leaseUntil && o.faults&FaultIgnoreLease == 0
	if expired || o.Owner(node) != o.self {
		return false
	}
	from, known := o.ownedFrom[node]
	if !known {
		from = o.defaultOwnedFrom
		o.ownedFrom[node] = from
	}
	return now >= from
}

// Owner returns the member that owns the node's budget in the latest known epoch, or "" if there is none.
func (o *Ownership) Owner(node string) string { return Owner(node, o.membership.Members) }

// Epoch returns the number of the latest known epoch, or 0 if none is known.
func (o *Ownership) Epoch() uint64 { return o.membership.Epoch }
