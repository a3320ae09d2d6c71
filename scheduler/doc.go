// Package scheduler implements the scheduling policy of one gateway: which request is sent to which storage node, and
// when.
//
// It is called by the gateway's event loop (internal/gateway), by the replay of captures and by the simulator's
// adapter. The package is deterministic: it reads no clock, does no I/O, starts no goroutine, and draws random
// numbers only from a generator with a given seed. The same sequence of calls yields bit-identical decisions;
// captures and their replay depend on this. A Scheduler is not safe for concurrent use: one goroutine has to make
// all calls.
//
// New creates a Scheduler from its settings. Each event is reported with one call: BeginEndpointList, UpdateEndpoint
// and FinishEndpointList for a list of storage nodes, EndpointListFailed, ApplySettings, Submit for a new request,
// ResponseStarted and AttemptFinished for its attempts, ClientCancelled, HealthChecked, AllocateSlowStart. After the
// last event of an instant, Decide returns the actions to take and the time at which to call it again.
//
// A submitted request is unplaced until a node is selected for it (placement.go). At that node it waits in the queue
// of its volume, a Flow, until fair queuing selects the flow (fair_queuing.go) and admission control lets the
// request pass (admission.go; slow_start.go for nodes that started recently). It is then sent as an Attempt
// (dispatch.go). The outcome updates the estimate of the node's capacity (capacity.go) and outlier detection
// (outliers.go); the request itself completes, is retried (retries.go) or is given up (requests.go). Tuned values
// are in tuning.go. docs/design.md describes the design and its sources.
//
// A unit is the platform's measure of the cost of a request. "The objective", without qualification, is the tightest
// latency objective of all request classes; many intervals and delays are expressed as multiples of it.
package scheduler
