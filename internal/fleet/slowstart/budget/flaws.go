package budget

// InjectedFaults are defects that tests put in, to show that their checks find them. Nothing else does.
type InjectedFaults uint

// The defects.
const (
	FaultFullStart         InjectedFaults = 1 << iota // a dealer begins with all ready, though another may have lent it
	FaultIgnoreOutstanding                            // what is out takes no room
	FaultAcceptDuplicates                             // an ask that comes twice counts twice
	FaultTrustReturned                                // more is taken back than was lent
	FaultEarlyExpiry                                  // a loan is over for its dealer before it is for its holder
	FaultUseReturned                                  // a holder gives back what it goes on using
)

// Has tells whether a defect is in.
func (f InjectedFaults) Has(one InjectedFaults) bool { return f&one != 0 }
