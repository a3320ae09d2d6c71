package scheduler

// Tuned values. "The objective" is the tightest latency objective of all request classes; where a value is "in
// objectives" it is a multiple of that time. A mean request is one of the mean number of units.

// Fair queuing.
const (
	defaultBudgetRequests = 8.0               // mean requests in the default budget of a turn
	minBudgetDivisor      = 32.0              // the minimum budget is the default divided by this
	inServiceExpiry       = 300 * Millisecond // a turn lasts no longer
)

// Limit of units in flight at a node: what the node answers in a share of the objective.
const (
	inFlightShareInitial  = 0.5
	inFlightShareMin      = 0.15
	inFlightShareMax      = 1.0
	inFlightShareDecrease = 0.6   // factor for an answer past its objective
	inFlightShareIncrease = 1.005 // factor for an answer within it
	initialLimitRequests  = 4.0   // mean requests in flight while no node is measured
	maxLimitRequests      = 32.0  // mean requests; the limit never passes it
)

// Capacity estimate.
const (
	averagingWeight       = 0.125       // weight of the latest value in moving averages of gaps, latencies and failures
	rateMemoryObjectives  = 4.0         // time constant over which a node's rate is measured, in objectives of busy time
	baseLatencyRiseWeight = 0.02        // weight of a latency over a node's base latency in that base
	lightLoadThreshold    = 0.25        // a node is lightly loaded where a mean request takes less, in objectives
	heavyLoadThreshold    = 0.5         // and heavily loaded where it takes more
	minMeanUnits          = 1e-3        // least units of a mean request
	minServiceRate        = 1e-3        // least rate of a measured node, units a second
	minUnitsVariance      = 1e-6        // with less, latency is not taken to depend on units
	minLatencyDivisor     = 4           // the expected latency is no less than the mean latency divided by this
	shareMemory           = 5 * Second  // time constant over which a gateway's share of a volume's service is counted
	shareInitialRequests  = 2.0         // mean requests for which the even share counts in it
	defaultReserveFactor  = 2.0         // nominal rates that stand in for the reserve where no service level has one
	minTotalWeight        = 1e-3        // least sum of the service levels' weights
	minObjective          = Millisecond // least tightest objective
)

// Placement.
const (
	maxPlacementCredits    = 4    // credits of a node for new objects
	creditReturnObjectives = 4.0  // a credit that earned no good answer comes back after this time, in objectives
	minSuccessRate         = 0.05 // least success rate that a node's expected wait is divided by
	placementJitter        = 8    // the expected wait is lengthened by chance by up to one part in so many
	warmingUpPenalty       = 1e6  // seconds added to the expected wait at a node that warms up
)

// Fair rate: what a node takes beyond reserves, as a part of its nominal value.
const (
	fairRateTargetWait = 0.25     // the wait of answers that it is steered to, in objectives
	fairRateGain       = 3.0      // exponent of the change, per objective of difference
	fairRateMaxWait    = 2.0      // a wait counts as no longer, in objectives
	fairRateMin        = 1.0 / 32 // its least value
	fairRateMax        = 4.0      // its greatest; from 1 on the node is open to all
)

// Outlier detection.
const (
	suspectAfterLatencies   = 4.0  // a node is suspected that answers nothing for the objective and so many mean latencies
	suspectDelayMin         = 0.5  // least delay before a node newly suspected is tried, in objectives
	suspectRetryMin         = 1.0  // and between tries; both are lengthened by chance by up to one objective
	highFailureRate         = 0.05 // a node with more is one that fails some
	maxEjectionObjectives   = 32.0 // the longest ejection of a node that is slower than the objective
	outcomeMemoryObjectives = 10.0 // time after which earlier outcomes of a node weigh a third, in objectives
	overdueFactor           = 4    // an attempt is overdue after so many times its expected latency
	highOverdueLostShare    = 0.5  // where more of the overdue ones had no answer, an overdue attempt is presumed lost
)

// Clients that leave before the latency objective.
const (
	earlyCancelWeight    = 1.0 / 64 // weight of the latest client in the averages of those that leave
	earlyCancelThreshold = 0.25     // where a larger share leaves, requests count by when they usually do
)

// Retries.
const (
	retryDelayMin    = 0.25 // least delay after an attempt that never executed, in objectives
	retryDelayJitter = 0.25 // and by how much chance lengthens it
)

// Slow start.
const slowStartSafety = 0.5 // part of the multiple that a warming node tolerates that is used

// Periodic work and the endpoint list.
const (
	roundsPerObjective = 8                 // periodic rounds in one objective
	listBackoffInitial = 250 * Millisecond // after a failed call for the endpoint list; it doubles from call to call
	listBackoffMax     = Second            // three calls fit in the time after which the list counts as outdated
	listJitterMin      = 0.5               // the backoff is multiplied by chance by this to one more
	listSilenceMax     = 6 * Second        // an unresponsive list is outdated after it (platform protocol)
)
