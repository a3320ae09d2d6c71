package lease

// InjectedFaults is a set of deliberate defects, which prove that the simulation and the model checker detect such
// defects. Only tests set them.
type InjectedFaults uint32

// The injectable defects. Each makes gateways contradict each other, or makes a wait or memory use unbounded.
const (
	FaultLeaseFromReceipt         InjectedFaults = 1 << iota // a lease runs from its receipt, not from its request
	FaultNoWait                                              // a version comes into force without waiting for any gateway
	FaultNoIntersection                                      // a prepared gateway applies the older version alone
	FaultNewLeaderAssumesNoLeases                            // a new leader assumes no leases or fallbacks
	FaultIgnoreFallbacks                                     // activation ignores fallbacks that contradict it
	FaultIgnoreClockDrift                                    // replicas assume that all clocks run at the same rate
	FaultAcceptReordered                                     // a gateway accepts responses in any order
	FaultTrustEarlierTerms                                   // a request of an earlier term counts as current
	FaultLeaseWithoutJoin                                    // a gateway gets a lease before its join is committed
	FaultNoLeaseExpiry                                       // leases never expire at gateways
	FaultForgetHeldVersions                                  // versions are forgotten that a gateway may still use
	FaultForgetNothing                                       // no version is ever forgotten
)

// Has reports whether f contains a fault.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
