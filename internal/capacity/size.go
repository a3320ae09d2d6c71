package capacity

// Size is what the fleet is planned for.
type Size struct {
	Gateways, Nodes float64
	Connections     float64 // of clients at a gateway
	Requests        float64 // a second at a gateway
	Volumes         float64 // that a gateway meets; the letter does not say, this is the most that was measured
	Changes         float64 // of configuration a day
	Failures        float64 // of machines a day
	Restarts        float64 // of gateways a day
	Racks           float64 // the fleet goes through so many
	ZoneGateways    float64 // lost with a zone
	ZoneNodes       float64
	Cut             float64 // seconds for which regions are apart
	Keepers         float64
}

// Letter is the size that the operators name for two years from now.
var Letter = Size{Gateways: 780, Nodes: 1800, Connections: 5256, Requests: 1269, Volumes: 16384, Changes: 950, Failures: 5, Restarts: 150, Racks: 28,
	ZoneGateways: 111, ZoneNodes: 257, Cut: 3600, Keepers: 3}

// AtNode is the requests a second at a storage node.
func (s Size) AtNode() float64 { return s.Requests * s.Gateways / s.Nodes }

// Pair is the requests a second between a gateway and a storage node.
func (s Size) Pair() float64 { return s.Requests / s.Nodes }

// Bounds of the letter, and the goals that were set with it.
const (
	controlCore  = 2.9   // percent of a core, for what a gateway spends on control
	controlMB    = 128   // of memory
	controlBytes = 3000  // a second, both ways
	inForceMS    = 12000 // a change is in force everywhere
	replacedMS   = 6000  // a shard's node is replaced

	goalRest     = 700  // bytes a second at rest
	goalChange   = 4096 // bytes a change
	goalDay      = 1000 // bytes a second at 950 changes a day
	goalCore     = 0.5  // percent of a core
	goalMB       = 8
	goalInForce  = 3000 // ms, without faults
	goalLeaderMB = 4    // out of the leading keeper, a change
	goalKeeperMB = 10   // for a keeper that joins
	goalHistory  = 1.3  // memory and folder after 10,000 changes, over those after 500
	goalStart    = 2000 // ms, from such a folder
)

// Settings of the program that the figures rest on.
const (
	lease        = 2.0       // s, cmd/irispost keeper --lease
	drift        = 0.01      // --drift
	newsHold     = 10.0      // s, internal/fleet/follow
	listHold     = 3.0       // s, internal/platform: the longest
	listWaitMost = 1.0 * 1.5 // s, decide: the longest wait between list calls, spread
	idleClose    = 30.0      // s after which nodes close a connection, where the platform says so; webnode closes after four fifths
	idleClient   = 20.0      // s between requests, internal/serve
	crowdShare   = 0.2       // of the sockets for clients, internal/serve
	nodeShare    = 0.45      // and for nodes
	aim          = 0.3       // s, the tightest goal time taken here
	roundsPerAim = 8         // decide
	daySeconds   = 86400.0
	electionLong = 20 * 0.05 // s, the longest until a keeper that has ended is replaced as leader: twenty ticks
)

// statedT is the stated time of docs/fleet.md in ms: nobody acts on an old version alone for longer.
const statedT = lease * (1 + drift) / (1 - drift) * 1000
