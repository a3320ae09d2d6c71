package capture

import (
	"irispost/internal/endpoint"
	"irispost/internal/snapshot"
	"irispost/scheduler"
)

// Start tells of the module's start.
func (r *Recorder) Start(now scheduler.Time, seed uint64, t scheduler.Settings) {
	r.add(&Record{Kind: Start, At: now, Seed: seed, Terms: t})
}

// EndpointList tells of a list.
func (r *Recorder) EndpointList(now scheduler.Time, l endpoint.List) {
	r.add(&Record{Kind: Listed, At: now, Stale: l.Stale, Nodes: l.Nodes})
}

// EndpointUpdate tells of a list that may leave out what has not changed.
func (r *Recorder) EndpointUpdate(now scheduler.Time, l endpoint.List, whole bool) {
	kind := ListedPart
	if whole {
		kind = Listed
	}
	r.add(&Record{Kind: kind, At: now, Stale: l.Stale, Nodes: l.Nodes})
}

// EndpointListFailed tells that a list could not be had, silent that nothing at all was heard.
func (r *Recorder) EndpointListFailed(now scheduler.Time, silent bool) {
	kind := ListFailed
	if silent {
		kind = ListSilent
	}
	r.add(&Record{Kind: kind, At: now})
}

// SettingsChanged tells of other terms.
func (r *Recorder) SettingsChanged(now scheduler.Time, t scheduler.Settings) {
	r.add(&Record{Kind: Agreed, At: now, Terms: t})
}

// Allocated tells of a loan for a cold node.
func (r *Recorder) Allocated(now scheduler.Time, addr string, born scheduler.Time, units float64, till scheduler.Time) {
	r.add(&Record{Kind: Lent, At: now, Node: addr, Born: born, Units: units, Till: till})
}

// StreamStarted tells that an execution's answer has begun to flow.
func (r *Recorder) StreamStarted(now scheduler.Time, job string, number int) {
	r.add(&Record{Kind: Begun, At: now, Job: job, Number: number})
}

// Submitted tells of a job.
func (r *Recorder) Submitted(now scheduler.Time, j *scheduler.Request, volume int64, plan, product string, hosts float64, keyed bool) {
	rec := &r.scratch
	rec.Kind, rec.At, rec.Job, rec.Volume, rec.Plan, rec.Product, rec.Hosts, rec.Keyed = Take, now, j.ID, volume, plan, product, hosts, keyed
	rec.Units, rec.Shard, rec.Key, rec.Write, rec.StopBy = j.Units, j.Shard, j.Key, j.Write, j.Deadline
	r.add(rec)
}

// AttemptEnded tells of an execution's outcome, with the node's load report.
func (r *Recorder) AttemptEnded(now scheduler.Time, job string, number int, o scheduler.Outcome, took scheduler.Time, final bool, others float64,
	inflight int, latency scheduler.Time) {
	rec := &r.scratch
	rec.Kind, rec.At, rec.Job, rec.Number, rec.Outcome, rec.Took, rec.Final = Ended, now, job, number, o, took, final
	rec.Others, rec.Inflight, rec.Latency = others, inflight, latency
	r.add(rec)
}

// NeedsSnapshot tells whether records were dropped, so that a replay needs the module's state to go on.
func (r *Recorder) NeedsSnapshot() bool { return r.blind.Load() }

// Snapshot tells of the module's full state.
func (r *Recorder) Snapshot(now scheduler.Time, g *scheduler.Scheduler) {
	r.blind.Store(false)
	b, err := snapshot.Take(g, scheduler.StoredNames)
	if err != nil {
		r.add(&Record{Kind: Gap, At: now}) // a replay cannot begin here
		return
	}
	r.add(&Record{Kind: State, At: now, State: string(b)})
}

// ClientCancelled tells that a client has gone.
func (r *Recorder) ClientCancelled(now scheduler.Time, job string) {
	r.add(&Record{Kind: Left, At: now, Job: job})
}

// Decided tells what the module decided.
func (r *Recorder) Decided(now scheduler.Time, d *scheduler.Decision) {
	rec := &r.scratch
	rec.Kind, rec.At = Decided, now
	rec.Decision.name(d)
	r.add(rec)
}
