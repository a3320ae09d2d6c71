package lease

import "slices"

// State is how a gateway stands with the replicas. Only Client.transition changes it.
type State uint8

// The states of a gateway.
const (
	StateFollowing State = iota // holds nothing yet
	StateActing                 // acts on one version, under a lease
	StatePrepared               // acts on what two versions allow, under a lease
	StateExpired                // the lease has expired; acts on the fallback of what it held
	StateEnded                  // the fallback has expired as well; acts on nothing
	StateReturning              // as StateExpired or StateEnded, but a replica has answered again, without a lease so far
)

// stateNames are part of requests and of the status that operators see.
var stateNames = [...]string{"following", "acting", "prepared", "lapsed", "ended", "returning"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// StateNames returns the names of all states.
func StateNames() []string { return slices.Clone(stateNames[:]) }

// leased reports whether a gateway in this state acts under a lease.
func (s State) leased() bool { return s == StateActing || s == StatePrepared }
