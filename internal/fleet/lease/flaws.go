package lease

// InjectedFaults are defects that tests put in on purpose, to prove that what looks for defects finds them. Nothing else sets them.
type InjectedFaults uint32

const (
	FaultLeaseFromReceipt         InjectedFaults = 1 << iota // a lease counts from when its grant came, not from when it was asked for
	FaultNoWait                                              // a version comes into force without waiting for anybody
	FaultNoIntersection                                      // a gateway that has prepared acts on the older version alone
	FaultNewLeaderAssumesNoLeases                            // a new leader takes nobody to hold anything
	FaultIgnoreFallbacks                                     // a version does not wait for floors that contradict it
	FaultIgnoreClockDrift                                    // keepers take all clocks to run alike
	FaultAcceptReordered                                     // a gateway takes grants in any order
	FaultTrustEarlierTerms                                   // an ask from before a term counts as said in it
	FaultLeaseWithoutJoin                                    // a gateway that the log does not know gets a lease
	FaultNoLeaseExpiry                                       // leases never run out at gateways
	FaultForgetHeldVersions                                  // versions are forgotten that a gateway may act on
	FaultForgetNothing                                       // none is ever forgotten
)

// Has tells whether one is among them.
func (f InjectedFaults) Has(one InjectedFaults) bool { return f&one != 0 }
