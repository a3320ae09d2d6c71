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

// Feed replays one record. It returns an error if the record is a snapshot that cannot be restored.
func (r *Replay) Feed(record *capture.Record) error {
	if r.options.Until > 0 && r.scheduler != nil && record.At-r.start > r.options.Until {
		r.setState(Ended, "stopped at the requested time")
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
		r.setState(Gapped, fmt.Sprintf("%d records were dropped, %.3f s after the start",
			record.Dropped, seconds(r.report.Span)))
		r.scheduler = nil
	case capture.KindSnapshot:
		return r.restore(record)
	case capture.KindEnd:
	default:
		if r.scheduler != nil { // otherwise there is no scheduler state to replay the record on
			r.repeatCall(record)
			r.keepRecent(record)
		}
	}
	return nil
}

func (r *Replay) startScheduler(record *capture.Record) {
	r.scheduler = scheduler.New(record.At, record.Seed, record.Terms)
	r.start = record.At
	r.requests = map[string]*request{} // the requests of a scheduler that was killed are lost
	r.readObjectives(record.Terms)
	r.setState(Running, "")
}

// restore continues from a snapshot after a gap or at the start of a capture. The snapshot does not contain the
// replay's own records of requests, so these start anew.
func (r *Replay) restore(record *capture.Record) error {
	if r.scheduler != nil {
		return nil // the scheduler is already in this state, and was compared up to here
	}
	restored, err := snapshot.Restore[scheduler.Scheduler]([]byte(record.State), scheduler.StoredNames)
	if err != nil {
		return fmt.Errorf("restoring the scheduler snapshot in record %d: %w", r.report.Records, err)
	}
	r.scheduler = restored
	if r.start == 0 {
		r.start = record.At
	}
	r.requests = map[string]*request{}
	r.setState(Running, r.report.Reason)
	return nil
}

// readObjectives reads the latency objectives of the request classes from settings.
func (r *Replay) readObjectives(settings scheduler.Settings) {
	for i := 0; ; i++ {
		class := fmt.Sprintf("products.%d.", i)
		name, present := settings[class+"name"]
		if !present {
			return
		}
		var millis float64
		_, _ = fmt.Sscan(settings[class+"goal"], &millis) // 0 for a class without an objective
		r.objectives[name] = scheduler.Time(millis * 1e6)
	}
}

// keepRecent keeps a record for the report of a difference. At least the last KeepRecords records are kept.
func (r *Replay) keepRecent(record *capture.Record) {
	r.recent = append(r.recent, *record)
	if len(r.recent) > 2*r.options.KeepRecords {
		r.recent = append(r.recent[:0], r.recent[r.options.KeepRecords:]...)
	}
}

// repeatCall repeats the captured call of the scheduler.
func (r *Replay) repeatCall(record *capture.Record) {
	now := record.At
	switch record.Kind {
	case capture.KindEndpointList, capture.KindEndpointUpdate:
		list := endpoint.List{Stale: record.Stale, Nodes: record.Nodes}
		gateway.ApplyEndpointList(r.scheduler, now, list, record.Kind == capture.KindEndpointList)
	case capture.KindEndpointListFailed, capture.KindEndpointListSilent:
		r.scheduler.EndpointListFailed(now, record.Kind == capture.KindEndpointListSilent)
	case capture.KindSettingsChanged:
		r.readObjectives(record.Terms)
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
		r.compareDecision(record)
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
	r.requests[record.Job] = &request{class: class, objectiveBy: record.At + r.objectives[record.Product]}
	r.addToStory(record.Job, record.At, "taken: %s of volume %d (%s), %.2f units, shard %d",
		record.Product, record.Volume, record.Plan, record.Units, record.Shard)
	submitted := &scheduler.Request{ID: record.Job, Units: record.Units, Shard: record.Shard, Key: record.Key,
		Write: record.Write, Deadline: record.StopBy}
	r.scheduler.Submit(record.At, submitted, record.Volume, record.Plan, record.Product, record.Hosts, record.Keyed)
}

func (r *Replay) endAttempt(record *capture.Record) {
	r.describeAttemptEnd(record)
	ended := r.requests[record.Job]
	if ended != nil && record.Final && record.Outcome == scheduler.OutcomeServed {
		ended.class.Succeeded++
		if record.At <= ended.objectiveBy {
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
