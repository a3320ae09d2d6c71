package capture

import (
	"irispost/decide"
	"irispost/internal/listing"
	"irispost/internal/snapshot"
)

// Start tells of the module's start.
func (r *Recorder) Start(now decide.Time, seed uint64, t decide.Terms) {
	r.add(&Record{Kind: Start, At: now, Seed: seed, Terms: t})
}

// Listed tells of a list.
func (r *Recorder) Listed(now decide.Time, l listing.List) {
	r.add(&Record{Kind: Listed, At: now, Stale: l.Stale, Nodes: l.Nodes})
}

// ListedPart tells of a list that may leave out what has not changed.
func (r *Recorder) ListedPart(now decide.Time, l listing.List, whole bool) {
	kind := ListedPart
	if whole {
		kind = Listed
	}
	r.add(&Record{Kind: kind, At: now, Stale: l.Stale, Nodes: l.Nodes})
}

// ListFailed tells that a list could not be had, silent that nothing at all was heard.
func (r *Recorder) ListFailed(now decide.Time, silent bool) {
	kind := ListFailed
	if silent {
		kind = ListSilent
	}
	r.add(&Record{Kind: kind, At: now})
}

// Agreed tells of other terms.
func (r *Recorder) Agreed(now decide.Time, t decide.Terms) {
	r.add(&Record{Kind: Agreed, At: now, Terms: t})
}

// Lent tells of a loan for a cold node.
func (r *Recorder) Lent(now decide.Time, addr string, born decide.Time, units float64, till decide.Time) {
	r.add(&Record{Kind: Lent, At: now, Node: addr, Born: born, Units: units, Till: till})
}

// Begun tells that an execution's answer has begun to flow.
func (r *Recorder) Begun(now decide.Time, job string, number int) {
	r.add(&Record{Kind: Begun, At: now, Job: job, Number: number})
}

// Take tells of a job.
func (r *Recorder) Take(now decide.Time, j *decide.Job, volume int64, plan, product string, hosts float64, keyed bool) {
	rec := &r.scratch
	rec.Kind, rec.At, rec.Job, rec.Volume, rec.Plan, rec.Product, rec.Hosts, rec.Keyed = Take, now, j.ID, volume, plan, product, hosts, keyed
	rec.Units, rec.Shard, rec.Key, rec.Write, rec.StopBy = j.Units, j.Shard, j.Key, j.Write, j.StopBy
	r.add(rec)
}

// Ended tells of an execution's outcome, with the node's load report.
func (r *Recorder) Ended(now decide.Time, job string, number int, o decide.Outcome, took decide.Time, final bool, others float64,
	inflight int, latency decide.Time) {
	rec := &r.scratch
	rec.Kind, rec.At, rec.Job, rec.Number, rec.Outcome, rec.Took, rec.Final = Ended, now, job, number, o, took, final
	rec.Others, rec.Inflight, rec.Latency = others, inflight, latency
	r.add(rec)
}

// Blind tells whether records were dropped, so that a replay needs the module's state to go on.
func (r *Recorder) Blind() bool { return r.blind.Load() }

// State tells of the module's full state.
func (r *Recorder) State(now decide.Time, g *decide.Gateway) {
	r.blind.Store(false)
	b, err := snapshot.Take(g, decide.StoredNames)
	if err != nil {
		r.add(&Record{Kind: Gap, At: now}) // a replay cannot begin here
		return
	}
	r.add(&Record{Kind: State, At: now, State: string(b)})
}

// Left tells that a client has gone.
func (r *Recorder) Left(now decide.Time, job string) { r.add(&Record{Kind: Left, At: now, Job: job}) }

// Decided tells what the module decided.
func (r *Recorder) Decided(now decide.Time, d *decide.Decision) {
	rec := &r.scratch
	rec.Kind, rec.At = Decided, now
	rec.Decision.name(d)
	r.add(rec)
}
