package membership

// State is the state of a node in this gateway.
type State uint8

// States of a node. The scheduler sees a node as ready, as draining, or not at all.
const (
	Absent    State = iota // not seen: no source lists it, and the removal grace is over
	Serving                // seen as ready: listed, and elected for its shard
	Draining               // seen as draining: a source reports so
	Unhealthy              // not seen: a source reports that it is unhealthy
	Removing               // not seen: no source lists it, and the removal grace runs
	HeldDown               // seen as before: the sources dropped it, and that loss is held down
	Standby                // seen as draining, or not at all: another node is elected for its shard
	Damped                 // seen as draining: it flapped, and its readiness does not count yet
)

// stateNames are shown at the admin socket.
var stateNames = [...]string{"absent", "serving", "draining", "unwell", "leaving", "kept", "waiting", "resting"}

// String returns the name that the admin socket and the log show.
func (s State) String() string { return stateNames[s] }

// introduces tells whether entering the state makes a node known to the scheduler.
func (s State) introduces() bool { return s == Serving || s == Draining || s == HeldDown }

// inUse tells whether a node in this state gets the requests of its shard.
func (s State) inUse() bool { return s == Serving || s == HeldDown }

// SourceState is the state of the connection to a source.
type SourceState uint8

// States of a source.
const (
	Starting     SourceState = iota // it has never been reached
	Connected                       // it is reached, and its last list is in force
	Disconnected                    // the connection is lost, its last list is in force
	Stale                           // disconnected for longer than StaleAfter: its last list is in force, marked stale
)

// sourceStateNames are shown at the admin socket.
var sourceStateNames = [...]string{"starting", "current", "cut", "silent"}

// String returns the name that the admin socket and the log show.
func (s SourceState) String() string { return sourceStateNames[s] }
