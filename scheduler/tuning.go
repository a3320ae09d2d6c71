package scheduler

// Tuned values. "The objective" is the tightest latency objective of all request classes; a value "in objectives" is
// a multiple of that time. A mean request is a request of the mean number of units.

// Fair queuing.
const (
	defaultBudgetRequests = 8.0               // mean requests in the default budget of a turn
	minBudgetDivisor      = 32.0              // the minimum budget is the default divided by this
	maxTurnDuration       = 300 * Millisecond // a turn ends after this time even if budget is left
)

// repeatGuardIDs is the number of IDs that a RepeatGuard remembers at least. It holds up to twice as many.
const repeatGuardIDs = 32768

// State of idle volumes. Sweeps halve it.
const (
	maxFlowsPerNode = 256  // flows at a node from which the idle ones are dropped
	maxVolumes      = 4096 // volumes from which the idle ones are dropped
)

// Limit of units in flight at a node: what the node answers in a share of the objective.
const (
	inFlightShareInitial  = 0.5
	inFlightShareMin      = 0.15
	inFlightShareMax      = 1.0
	inFlightShareDecrease = 0.6   // factor for an answer later than its objective
	inFlightShareIncrease = 1.005 // factor for an answer within its objective
	initialLimitRequests  = 4.0   // initial limit in mean requests, while no node is measured
	maxLimitRequests      = 32.0  // upper bound of the limit in mean requests
)

// Capacity estimate.
const (
	averagingWeight       = 0.125       // weight of the latest value in moving averages of gaps, latencies and failures
	rateMemoryObjectives  = 4.0         // time constant of a node's measured rate, in objectives of busy time
	baseLatencyRiseWeight = 0.02        // weight of a latency above a node's base latency in that base latency
	lightLoadThreshold    = 0.25        // a node is lightly loaded if a mean request takes less, in objectives
	heavyLoadThreshold    = 0.5         // a node is heavily loaded if a mean request takes more, in objectives
	minMeanUnits          = 1e-3        // lower bound of the units of a mean request
	minServiceRate        = 1e-3        // lower bound of a measured node's rate, in units per second
	minUnitsVariance      = 1e-6        // below this, latency is assumed not to depend on units
	minLatencyDivisor     = 4           // the expected latency is at least the mean latency divided by this
	shareMemory           = 5 * Second  // time constant for a gateway's share of the units served to a volume
	shareInitialRequests  = 2.0         // mean requests by which the even split is weighted in that share
	defaultReserveFactor  = 2.0         // reserve as a multiple of the nominal rate if no service level has a reserve
	minTotalWeight        = 1e-3        // lower bound of the sum of the service levels' weights
	minObjective          = Millisecond // lower bound of the tightest objective
)

// Placement.
const (
	maxPlacementCredits    = 4    // credits of a node for new objects
	creditReturnObjectives = 4.0  // a credit not returned by a served answer comes back after this time, in objectives
	minSuccessRate         = 0.05 // lower bound of the success rate that divides a node's expected wait
	placementJitter        = 8    // the expected wait is lengthened at random by up to 1/placementJitter
	warmingUpPenalty       = 1e6  // seconds added to the expected wait at a warming node
)

// Fair rate: what a node takes beyond reserves, as a fraction of the nominal fair rate.
const (
	fairRateTargetWait = 0.25     // target for how long answers wait, in objectives
	fairRateGain       = 3.0      // exponent of the adjustment, per objective of deviation
	fairRateMaxWait    = 2.0      // longer waits are counted as this, in objectives
	fairRateMin        = 1.0 / 32 // lower bound
	fairRateMax        = 4.0      // upper bound; from 1 on the fair rate limits nothing
)

// Outlier detection.
const (
	suspectAfterLatencies   = 4.0  // a node is suspected if silent for the objective plus this many mean latencies
	suspectDelayMin         = 0.5  // minimum delay before a newly suspected node is tried, in objectives
	suspectRetryMin         = 1.0  // minimum time between tries; both get a random addition of up to one objective
	highFailureRate         = 0.05 // above this, a node's failure rate is high
	maxEjectionObjectives   = 32.0 // longest ejection of a node slower than the objective, in objectives
	outcomeMemoryObjectives = 10.0 // time after which a node's earlier outcomes weigh about a third, in objectives
	overdueFactor           = 4    // an attempt is overdue after this many times its expected latency
	highOverdueLostShare    = 0.5  // above this share of unanswered ones, an overdue attempt is presumed lost
)

// Early cancellation: clients that leave before the latency objective.
const (
	earlyCancelWeight    = 1.0 / 64 // weight of the latest client in the moving averages of early cancellation
	earlyCancelMin       = 0.125    // a client that leaves sooner has not waited, in objectives
	earlyCancelThreshold = 0.25     // above this share, requests have to be answered before clients usually leave
)

// Retries.
const (
	retryDelayMin    = 0.25 // minimum delay after an attempt that never executed, in objectives
	retryDelayJitter = 0.25 // maximum random addition to it
)

// Slow start.
const slowStartSafety = 0.5 // fraction that is used of the multiple tolerated by a warming node

// Periodic work and the endpoint list.
const (
	roundsPerObjective = 8                 // periodic rounds per objective
	listBackoffInitial = 250 * Millisecond // after the first failed call for the endpoint list; doubles with each call
	listBackoffMax     = Second            // three calls fit into the time after which the list is outdated
	listJitterMin      = 0.5               // the backoff is multiplied by a random factor from this to this plus one
	listSilenceMax     = 6 * Second        // an unresponsive list is outdated after this time (platform protocol)
)
