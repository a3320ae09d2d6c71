package lease

// InjectedFaults are defects that tests put in on purpose, to show that the simulation and the model find
// them. Only tests set them.
type InjectedFaults uint32

// The defects, each of which makes gateways contradict each other, or waits or memory unbounded.
const (
	FaultLeaseFromReceipt         InjectedFaults = 1 << iota // a lease counts from when it came, not from its request
	FaultNoWait                                              // a version comes into force without waiting for any gateway
	FaultNoIntersection                                      // a prepared gateway acts on the older version alone
	FaultNewLeaderAssumesNoLeases                            // a new leader takes nobody to hold a lease or a fallback
	FaultIgnoreFallbacks                                     // a version does not wait for fallbacks that contradict it
	FaultIgnoreClockDrift                                    // replicas take all clocks to run alike
	FaultAcceptReordered                                     // a gateway takes responses in any order
	FaultTrustEarlierTerms                                   // a request from before a term counts as sent in it
	FaultLeaseWithoutJoin                                    // a gateway that the log does not know gets a lease
	FaultNoLeaseExpiry                                       // leases never expire at gateways
	FaultForgetHeldVersions                                  // versions are forgotten that a gateway may act on
	FaultForgetNothing                                       // no version is ever forgotten
)

// Has reports whether a fault is among them.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
