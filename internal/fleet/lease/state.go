package lease

import "slices"

// State is the state of a gateway's lease. Only Client.transition changes it.
type State uint8

// The states of a gateway.
const (
	StateFollowing State = iota // nothing is in effect, as the version in force is not available yet
	StateActing                 // one version is in effect, under a lease
	StatePrepared               // the intersection of two versions is in effect, under a lease
	StateExpired                // the lease has expired; the fallback of the held versions is in effect
	StateEnded                  // the fallback has expired as well; no configuration is in effect
	StateReturning              // as StateExpired or StateEnded, but a replica has responded again, without a lease
)

// stateNames appear in requests and in the status shown to operators.
var stateNames = [...]string{"following", "acting", "prepared", "lapsed", "ended", "returning"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// StateNames returns the names of all states.
func StateNames() []string { return slices.Clone(stateNames[:]) }

// leased reports whether a gateway in this state has a lease.
func (s State) leased() bool { return s == StateActing || s == StatePrepared }
