package budget

// InjectedFaults are defects that tests put in, to show that their checks find them. Nothing else sets them.
type InjectedFaults uint

// The defects.
const (
	FaultFullStart         InjectedFaults = 1 << iota // an allocator starts with all units available
	FaultIgnoreOutstanding                            // outstanding units do not count
	FaultAcceptDuplicates                             // a request that comes twice counts twice
	FaultTrustReturned                                // more is taken back than was allocated
	FaultEarlyExpiry                                  // an allocation expires at its allocator before it does at its holder
	FaultUseReturned                                  // a holder returns units and goes on using them
)

// Has tells whether a defect is put in.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
