package capacity

// Size is what the fleet is planned for.
type Size struct {
	Gateways         float64
	Nodes            float64
	Connections      float64 // of clients at a gateway
	Requests         float64 // a second at a gateway
	Volumes          float64 // at a gateway; not named by the operators: the most that was measured
	Changes          float64 // of the configuration a day
	Failures         float64 // of machines a day
	Restarts         float64 // of gateways a day
	Racks            float64 // that the fleet is spread over
	ZoneGateways     float64 // lost with a zone
	ZoneNodes        float64 // lost with a zone
	PartitionSeconds float64 // for which the regions cannot reach each other
	Replicas         float64
}

// PlannedSize is the size that the operators name for two years from now.
var PlannedSize = Size{
	Gateways:         780,
	Nodes:            1800,
	Connections:      5256,
	Requests:         1269,
	Volumes:          16384,
	Changes:          950,
	Failures:         5,
	Restarts:         150,
	Racks:            28,
	ZoneGateways:     111,
	ZoneNodes:        257,
	PartitionSeconds: 3600,
	Replicas:         3,
}

// RequestsPerNode returns the requests a second at a storage node.
func (s Size) RequestsPerNode() float64 { return s.Requests * s.Gateways / s.Nodes }

// RequestsPerPair returns the requests a second from a gateway to a storage node.
func (s Size) RequestsPerPair() float64 { return s.Requests / s.Nodes }

// Bounds are limits that the operators name.
const (
	boundControlCore  = 2.9   // percent of a core, for what a gateway spends on control
	boundControlMB    = 128   // of memory, likewise
	boundControlBytes = 3000  // a second, in both directions, likewise
	boundInForceMS    = 12000 // until a change is in force everywhere
	boundReplacedMS   = 6000  // until a shard's node is replaced
)

// Targets are stricter limits that this project has set itself.
const (
	targetIdleBytes      = 700  // a second
	targetChangeBytes    = 4096 // a change
	targetDayBytes       = 1000 // a second, with the changes of a day
	targetControlCore    = 0.5  // percent of a core
	targetControlMB      = 8
	targetInForceMS      = 3000 // without faults
	targetLeaderChangeMB = 4    // sent by the leader, a change
	targetJoinMB         = 10   // for a replica that joins
	targetHistoryGrowth  = 1.3  // memory and folder after 10,000 changes, over those after 500
	targetReplicaStartMS = 2000 // from such a folder
)

// Settings of the program, and of the platform, that the figures rest on.
const (
	leaseSeconds       = 2.0  // cmd/irispost keeper --lease
	clockDrift         = 0.01 // --drift
	watchSeconds       = 10.0 // internal/fleet/client: how long a replica holds a watch
	listPollSeconds    = 3.0  // internal/platform: the longest long poll
	nodeIdleSeconds    = 30.0 // after which nodes close a connection, where the platform says so
	clientIdleSeconds  = 20.0 // between requests, internal/serve
	clientSocketShare  = 0.2  // of all sockets, internal/serve
	nodeSocketShare    = 0.45 // likewise
	latencyObjective   = 0.3  // seconds, the tightest that is assumed here
	roundsPerObjective = 8    // of the scheduler
	secondsPerDay      = 86400.0
	gatherSeconds      = 0.025     // for which a leader gathers renewals: half a tick
	longestElection    = 20 * 0.05 // seconds until a leader that has ended is replaced: twenty ticks
)

// convergenceBoundMS is the stated bound of docs/fleet.md in ms: no gateway acts on an old version alone for longer.
const convergenceBoundMS = leaseSeconds * (1 + clockDrift) / (1 - clockDrift) * 1000
