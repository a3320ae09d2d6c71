package capacity

// Size describes the size and the load of a fleet.
type Size struct {
	Gateways         float64
	Nodes            float64
	Connections      float64 // client connections per gateway
	Requests         float64 // per second and gateway
	Volumes          float64 // per gateway; the operators state none, so this is the largest number that was measured
	Changes          float64 // of the configuration, per day
	Failures         float64 // of machines, per day
	Restarts         float64 // of gateways, per day
	Racks            float64 // over which the fleet is spread
	ZoneGateways     float64 // lost if a zone fails
	ZoneNodes        float64 // lost if a zone fails
	PartitionSeconds float64 // how long the regions cannot reach each other
	Replicas         float64
}

// PlannedSize is the size that the operators expect in two years.
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

// RequestsPerNode returns the requests per second at a storage node.
func (s Size) RequestsPerNode() float64 { return s.Requests * s.Gateways / s.Nodes }

// RequestsPerPair returns the requests per second from one gateway to one storage node.
func (s Size) RequestsPerPair() float64 { return s.Requests / s.Nodes }

// Bounds are the limits that the operators require.
const (
	boundControlCorePercent    = 2.9   // of one core, for the control plane at a gateway
	boundControlMB             = 128   // memory for the control plane at a gateway
	boundControlBytesPerSecond = 3000  // in both directions, for the control plane at a gateway
	boundInForceMS             = 12000 // until a change is in force at all gateways
	boundReplacedMS            = 6000  // until a shard's node is replaced
)

// Targets are this project's own limits; those for which there is also a bound are stricter than it.
const (
	targetIdleBytesPerSecond = 700  // without changes
	targetChangeBytes        = 4096 // per change
	targetDayBytesPerSecond  = 1000 // including the changes of a day
	targetControlCorePercent = 0.5  // of one core
	targetControlMB          = 8
	targetInForceMS          = 3000 // without faults
	targetLeaderChangeMB     = 4    // sent by the leader, per change
	targetJoinMB             = 10   // transferred to a replica that joins
	targetHistoryGrowth      = 1.3  // of a leader's memory and data folder: after 10,000 changes relative to after 500
	targetReplicaStartMS     = 2000 // with the data folder of 10,000 changes
)

// Settings of the program and of the platform on which the figures depend.
const (
	leaseSeconds            = 2.0  // cmd/irispost keeper --lease
	clockDrift              = 0.01 // cmd/irispost keeper --drift
	watchSeconds            = 10.0 // internal/fleet/client: how long a replica holds a watch request open
	listPollSeconds         = 3.0  // internal/platform: maximum duration of a long poll
	nodeIdleSeconds         = 30.0 // idle timeout of connections at the nodes, if the platform states one
	clientIdleSeconds       = 20.0 // internal/serve: idle timeout between the requests of a client
	clientSocketShare       = 0.2  // internal/serve: fraction of all sockets
	nodeSocketShare         = 0.45 // internal/serve: fraction of all sockets
	latencyObjectiveSeconds = 0.3  // the strictest that is assumed here
	roundsPerObjective      = 8    // scheduler rounds within one latency objective
	secondsPerDay           = 86400.0
	renewalBatchSeconds     = 0.025     // how long a leader collects renewals for a batch: half a tick
	longestElectionSeconds  = 20 * 0.05 // until a failed leader is replaced: twenty ticks of 50 ms
)

// convergenceBoundMS is the bound in ms that docs/fleet.md states: no gateway applies the previous version alone for
// longer.
const convergenceBoundMS = leaseSeconds * (1 + clockDrift) / (1 - clockDrift) * 1000
