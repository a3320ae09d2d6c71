package replay

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/capture"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/snapshot"
	"irispost/scheduler"
)

// Feed takes one record. A snapshot that cannot be restored is an error.
func (r *Replay) Feed(record *capture.Record) error {
	if r.opt.Until > 0 && r.scheduler != nil && record.At-r.start > r.opt.Until {
		r.move(Ended, "the time asked for")
		return nil
	}
	r.report.Records++
	if r.scheduler != nil && record.Kind != capture.KindEnd {
		r.report.Span = record.At - r.start
	}
	switch record.Kind {
	case capture.KindHeader:
		r.report.Gateway = record.Name
		r.report.Build = record.Build
		r.report.SamePolicySource = record.Digest == xxhash.Sum64(scheduler.PolicySource)
	case capture.KindStart:
		r.startScheduler(record)
	case capture.KindGap:
		r.report.Gaps++
		r.move(Gapped, fmt.Sprintf("%d records were dropped, %.3f s after the start", record.Dropped, seconds(r.report.Span)))
		r.scheduler = nil
	case capture.KindSnapshot:
		return r.restore(record)
	case capture.KindEnd:
	default:
		if r.scheduler != nil { // otherwise the record is of a time that cannot be replayed
			r.call(record)
			r.remember(record)
		}
	}
	return nil
}

func (r *Replay) startScheduler(record *capture.Record) {
	r.scheduler = scheduler.New(record.At, record.Seed, record.Terms)
	r.start = record.At
	r.requests = map[string]*request{} // of one that was killed, nothing is left
	r.learnObjectives(record.Terms)
	r.move(Running, "")
}

// restore goes on from a snapshot. What the replay itself knows of requests is void.
func (r *Replay) restore(record *capture.Record) error {
	if r.scheduler != nil {
		return nil // it is there already, and was compared so far
	}
	restored, err := snapshot.Restore[scheduler.Scheduler]([]byte(record.State), scheduler.StoredNames)
	if err != nil {
		return fmt.Errorf("record %d, the module's state: %w", r.report.Records, err)
	}
	r.scheduler = restored
	if r.start == 0 {
		r.start = record.At
	}
	r.requests = map[string]*request{}
	r.move(Running, r.report.Reason)
	return nil
}

// learnObjectives takes the request classes' latency objectives from settings.
func (r *Replay) learnObjectives(settings scheduler.Settings) {
	for i := 0; ; i++ {
		class := fmt.Sprintf("products.%d.", i)
		name, present := settings[class+"name"]
		if !present {
			return
		}
		var millis float64
		_, _ = fmt.Sscan(settings[class+"goal"], &millis) // a class without an objective has 0
		r.goals[name] = scheduler.Time(millis * 1e6)
	}
}

// remember keeps a record for the report of a difference.
func (r *Replay) remember(record *capture.Record) {
	r.before = append(r.before, *record)
	if len(r.before) > 2*r.opt.KeepRecords {
		r.before = append(r.before[:0], r.before[r.opt.KeepRecords:]...)
	}
}

// call repeats a call of the scheduler, or asks it for a decision.
func (r *Replay) call(record *capture.Record) {
	now := record.At
	switch record.Kind {
	case capture.KindEndpointList, capture.KindEndpointUpdate:
		list := endpoint.List{Stale: record.Stale, Nodes: record.Nodes}
		gateway.ApplyEndpointList(r.scheduler, now, list, record.Kind == capture.KindEndpointList)
	case capture.KindEndpointListFailed, capture.KindEndpointListSilent:
		r.scheduler.EndpointListFailed(now, record.Kind == capture.KindEndpointListSilent)
	case capture.KindSettingsChanged:
		r.learnObjectives(record.Terms)
		r.scheduler.ApplySettings(now, record.Terms)
	case capture.KindAllocated:
		r.scheduler.AllocateSlowStart(now, record.Node, record.Born, record.Units, record.Till)
	case capture.KindStreamStarted:
		r.addToStory(record.Job, now, "execution %d: its answer begins to flow", record.Number)
		r.scheduler.ResponseStarted(now, record.Job, record.Number)
	case capture.KindSubmitted:
		r.submit(record)
	case capture.KindAttemptEnded:
		r.endAttempt(record)
	case capture.KindClientCancelled:
		r.cancel(record)
	case capture.KindDecided:
		r.decide(record)
	}
}

func (r *Replay) submit(record *capture.Record) {
	class := r.classes[record.Product]
	if class == nil {
		class = &ClassOutcome{Name: record.Product}
		r.classes[record.Product] = class
		r.report.Classes = append(r.report.Classes, class)
	}
	class.Requests++
	r.requests[record.Job] = &request{class: class, objective: record.At + r.goals[record.Product]}
	r.addToStory(record.Job, record.At, "taken: %s of volume %d (%s), %.2f units, shard %d",
		record.Product, record.Volume, record.Plan, record.Units, record.Shard)
	submitted := &scheduler.Request{ID: record.Job, Units: record.Units, Shard: record.Shard, Key: record.Key,
		Write: record.Write, Deadline: record.StopBy}
	r.scheduler.Submit(record.At, submitted, record.Volume, record.Plan, record.Product, record.Hosts, record.Keyed)
}

func (r *Replay) endAttempt(record *capture.Record) {
	r.recordAttemptEnd(record)
	ended := r.requests[record.Job]
	if ended != nil && record.Final && record.Outcome == scheduler.OutcomeServed {
		ended.class.Succeeded++
		if record.At <= ended.objective {
			ended.class.WithinObjective++
		}
		r.addToStory(record.Job, record.At, "completed")
		delete(r.requests, record.Job)
	}
	r.scheduler.AttemptFinished(record.At, record.Job, record.Number, record.Outcome, record.Took, record.Final,
		record.Others)
}

func (r *Replay) cancel(record *capture.Record) {
	if cancelled := r.requests[record.Job]; cancelled != nil {
		cancelled.class.ClientCancelled++
		r.addToStory(record.Job, record.At, "its client has gone")
		delete(r.requests, record.Job)
	}
	r.scheduler.ClientCancelled(record.At, record.Job)
}
