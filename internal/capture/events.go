package capture

import (
	"irispost/internal/endpoint"
	"irispost/internal/snapshot"
	"irispost/scheduler"
)

// The event loop calls the following methods. Each accompanies a call of the scheduler, with the same time and the
// same arguments. The methods that are called for every request reuse one record, to avoid allocations.

// Start records the scheduler's start.
func (r *Recorder) Start(now scheduler.Time, seed uint64, settings scheduler.Settings) {
	r.add(&Record{Kind: KindStart, At: now, Seed: seed, Terms: settings})
}

// EndpointList records a complete endpoint list.
func (r *Recorder) EndpointList(now scheduler.Time, endpoints endpoint.List) {
	r.EndpointUpdate(now, endpoints, true)
}

// EndpointUpdate records an endpoint list. Unless it is complete, it omits unchanged nodes.
func (r *Recorder) EndpointUpdate(now scheduler.Time, endpoints endpoint.List, complete bool) {
	kind := KindEndpointUpdate
	if complete {
		kind = KindEndpointList
	}
	r.add(&Record{Kind: kind, At: now, Stale: endpoints.Stale, Nodes: endpoints.Nodes})
}

// EndpointListFailed records that fetching an endpoint list failed. unanswered is set if the call got no answer.
func (r *Recorder) EndpointListFailed(now scheduler.Time, unanswered bool) {
	kind := KindEndpointListFailed
	if unanswered {
		kind = KindEndpointListSilent
	}
	r.add(&Record{Kind: kind, At: now})
}

// SettingsChanged records that the scheduler was given new settings.
func (r *Recorder) SettingsChanged(now scheduler.Time, settings scheduler.Settings) {
	r.add(&Record{Kind: KindSettingsChanged, At: now, Terms: settings})
}

// Allocated records an allocation of the slow-start budget of a node, for the start of the node at startedAt.
func (r *Recorder) Allocated(
	now scheduler.Time, addr string, startedAt scheduler.Time, units float64, expiresAt scheduler.Time,
) {
	r.add(&Record{Kind: KindAllocated, At: now, Node: addr, Born: startedAt, Units: units, Till: expiresAt})
}

// StreamStarted records that an attempt's response has started.
func (r *Recorder) StreamStarted(now scheduler.Time, request string, number int) {
	r.add(&Record{Kind: KindStreamStarted, At: now, Job: request, Number: number})
}

// Submitted records a request with its volume, service level and class, and the number of gateways that serve the
// volume.
func (r *Recorder) Submitted(
	now scheduler.Time, request *scheduler.Request, volume int64, level, class string, gateways float64, keyed bool,
) {
	record := &r.scratch
	record.Kind = KindSubmitted
	record.At = now
	record.Job = request.ID
	record.Volume = volume
	record.Plan = level
	record.Product = class
	record.Hosts = gateways
	record.Keyed = keyed
	record.Units = request.Units
	record.Shard = request.Shard
	record.Key = request.Key
	record.Write = request.Write
	record.StopBy = request.Deadline
	r.add(record)
}

// AttemptEnded records an attempt's outcome. others are the units that the node has served for other gateways;
// inflight and latency are the node's load report.
func (r *Recorder) AttemptEnded(
	now scheduler.Time, request string, number int, outcome scheduler.Outcome, took scheduler.Time, final bool,
	others float64, inflight int, latency scheduler.Time,
) {
	record := &r.scratch
	record.Kind = KindAttemptEnded
	record.At = now
	record.Job = request
	record.Number = number
	record.Outcome = outcome
	record.Took = took
	record.Final = final
	record.Others = others
	record.Inflight = inflight
	record.Latency = latency
	r.add(record)
}

// NeedsSnapshot reports whether a replay needs a snapshot of the scheduler to continue, because records were dropped
// or a new file was started.
func (r *Recorder) NeedsSnapshot() bool { return r.needsSnapshot.Load() }

// Snapshot records the scheduler's full state.
func (r *Recorder) Snapshot(now scheduler.Time, s *scheduler.Scheduler) {
	r.needsSnapshot.Store(false)
	state, err := snapshot.Take(s, scheduler.StoredNames)
	if err != nil {
		r.add(&Record{Kind: KindGap, At: now}) // without a snapshot, a replay cannot start here
		return
	}
	r.add(&Record{Kind: KindSnapshot, At: now, State: string(state)})
}

// ClientCancelled records that the client of a request has cancelled it or disconnected.
func (r *Recorder) ClientCancelled(now scheduler.Time, request string) {
	r.add(&Record{Kind: KindClientCancelled, At: now, Job: request})
}

// Decided records a decision of the scheduler.
func (r *Recorder) Decided(now scheduler.Time, decision *scheduler.Decision) {
	record := &r.scratch
	record.Kind = KindDecided
	record.At = now
	record.Decision.fill(decision)
	r.add(record)
}
