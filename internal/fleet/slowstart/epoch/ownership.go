package epoch

import "slices"

// Ownership is which nodes' budgets one gateway owns. It takes the membership of each lease.
type Ownership struct {
	self             string
	faults           InjectedFaults
	membership       Membership
	leaseUntil       Time            // nothing is owned after it
	ownedFrom        map[string]Time // by node: from when on it is owned, if it is; nodes that were asked for
	defaultOwnedFrom Time            // the same for all other nodes
}

// InjectedFaults are defects that tests put in, to show that their checks find them. Nothing else sets them.
type InjectedFaults uint

// The defects.
const (
	FaultNoWait           InjectedFaults = 1 << iota // a new owner does not wait for the one before
	FaultIgnoreLease                                 // an owner goes on after its lease
	FaultIgnoreDepartures                            // who owns a node in two epochs passes for its owner in all between
)

// NewOwnership makes the ownership of a gateway, by its holder ID, that knows of no membership yet and owns
// nothing.
func NewOwnership(self string, faults InjectedFaults) *Ownership {
	return &Ownership{self: self, faults: faults, ownedFrom: map[string]Time{}}
}

// HandleMembership takes the membership of a lease that was requested at one time and received at another, both
// on the gateway's clock. One of an earlier epoch is ignored.
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

// ownedThroughout are the nodes that the gateway owned until now and owns in a new epoch, without another owner
// between: where no member has come and gone between the two, who owns a node in both has owned it throughout.
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

// Owns tells whether a node's budget is the gateway's to allocate now.
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

// Owner is the member that owns a node's budget in the latest epoch known here; "": none.
func (o *Ownership) Owner(node string) string { return Owner(node, o.membership.Members) }

// Epoch is the latest that is known here; 0: none.
func (o *Ownership) Epoch() uint64 { return o.membership.Epoch }
