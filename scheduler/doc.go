// Package scheduler decides which request is sent to which storage node next, for one gateway.
//
// The gateway's loop (internal/gateway) calls it, as do the replay of captures and the adapter of the simulator. It
// is pure: it has no clock, no I/O and no source of chance but a generator with a given seed, and starts no
// goroutine. The same calls in the same order give the same decisions, to the last digit; captures and their replay
// rest on that. A Scheduler is not safe for concurrent use: its owner, one goroutine, makes all calls.
//
// New makes a Scheduler from its settings. Each event is one call: BeginEndpointList, UpdateEndpoint and
// FinishEndpointList for the list of storage nodes, EndpointListFailed, ApplySettings, Submit for a new request,
// ResponseStarted and AttemptFinished for its attempts, ClientLeft, HealthChecked, AllocateSlowStart. After the last
// event of a moment, Decide says what is to be done now and when to call it again.
//
// A request that Submit takes is unplaced until a node is selected for it (placement.go). There it waits in the
// queue of its volume, a Flow, until fair queuing gives its flow the next turn (fair_queuing.go) and admission lets
// it go (admission.go, slow_start.go for nodes that have just started). It is then sent as an Attempt
// (dispatch.go). What its outcome says of the node goes into the estimate of the node's capacity (capacity.go) and
// into outlier detection (outliers.go); the request itself is finished, retried (retries.go) or given up
// (requests.go). tuning.go has the tuned values. docs/design.md describes the mechanism and its sources.
//
// Units measure the cost of a request as the platform charges it. "The objective", without more, is the tightest
// latency objective of all request classes; many intervals and waits are stated as multiples of it.
package scheduler
