package budget

// InjectedFaults are defects that tests inject to show that their checks detect them. Nothing else sets them.
type InjectedFaults uint

// Faults that can be injected, one bit each.
const (
	FaultFullStart         InjectedFaults = 1 << iota // an allocator starts with all units available
	FaultIgnoreOutstanding                            // outstanding units do not count toward the limit
	FaultAcceptDuplicates                             // a request that arrives twice is counted twice
	FaultTrustReturned                                // more units are taken back than were allocated
	FaultEarlyExpiry                                  // the allocator expires an allocation before its holder does
	FaultUseReturned                                  // a holder goes on using units that it has returned
)

// Has reports whether a fault is injected.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
