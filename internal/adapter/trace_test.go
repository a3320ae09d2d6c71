package adapter_test

import (
	"fmt"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// callTrace is a tap that records the calls to a scheduler and its decisions as lines of text. The lines do not
// depend on whether the gateway's loop or the adapter calls the scheduler. Golden files contain them.
type callTrace struct{ lines []string }

func (t *callTrace) add(now scheduler.Time, format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf("%d ", now)+fmt.Sprintf(format, args...))
}

func (t *callTrace) Start(now scheduler.Time, seed uint64, settings scheduler.Settings) {
	t.add(now, "start %d %v", seed, settings)
}

func (t *callTrace) EndpointList(now scheduler.Time, list endpoint.List) {
	t.EndpointUpdate(now, list, true)
}

func (t *callTrace) EndpointUpdate(now scheduler.Time, list endpoint.List, complete bool) {
	line := fmt.Sprintf("list whole=%t stale=%t", complete, list.Stale)
	for _, n := range list.Nodes {
		line += fmt.Sprintf(" %s/%s/%d/%d/%d", n.Addr, n.Zone, n.Shard, n.StartedAt, n.Health)
	}
	t.add(now, "%s", line)
}

func (t *callTrace) EndpointListFailed(now scheduler.Time, unresponsive bool) {
	t.add(now, "list failed %t", unresponsive)
}

func (t *callTrace) SettingsChanged(now scheduler.Time, settings scheduler.Settings) {
	t.add(now, "agreed %v", settings)
}

func (t *callTrace) Allocated(now scheduler.Time, addr string, startedAt scheduler.Time, units float64,
	expiresAt scheduler.Time) {
	t.add(now, "lent %s of %d %v till %d", addr, startedAt, units, expiresAt)
}

func (t *callTrace) Submitted(now scheduler.Time, r *scheduler.Request, volume int64, serviceLevel, class string,
	gateways float64, hasKey bool) {
	t.add(now, "take %s units=%v shard=%d key=%d write=%t stop=%d volume=%d %s %s %v %t",
		r.ID, r.Units, r.Shard, r.Key, r.Write, r.Deadline, volume, serviceLevel, class, gateways, hasKey)
}

func (t *callTrace) StreamStarted(now scheduler.Time, requestID string, number int) {
	t.add(now, "begun %s %d", requestID, number)
}

func (t *callTrace) AttemptEnded(now scheduler.Time, requestID string, number int, outcome scheduler.Outcome,
	took scheduler.Time, final bool, unitsElsewhere float64, _ int, _ scheduler.Time) {
	t.add(now, "ended %s %d outcome=%d took=%d final=%t others=%v",
		requestID, number, outcome, took, final, unitsElsewhere)
}

func (t *callTrace) ClientCancelled(now scheduler.Time, requestID string) {
	t.add(now, "left %s", requestID)
}

// Decided adds no line for an empty decision, because the gateway's loop decides more often than the simulator asks.
func (t *callTrace) Decided(now scheduler.Time, decision *scheduler.Decision) {
	for _, r := range decision.Finished {
		t.add(now, "end %s state=%d wait=%d", r.ID, r.State, r.RetryAfter)
	}
	for _, a := range decision.Cancel {
		t.add(now, "call off %s %d", a.Request.ID, a.Number)
	}
	for _, a := range decision.Dispatch {
		t.add(now, "send %s %d to %s limit=%d", a.Request.ID, a.Number, a.Node.Addr, a.Timeout)
	}
	if decision.WatchEndpoints {
		t.add(now, "watch")
	}
	for _, line := range decision.Log {
		t.add(now, "log %s", line)
	}
}

func (t *callTrace) Snapshot(scheduler.Time, *scheduler.Scheduler) {}
func (t *callTrace) NeedsSnapshot() bool                           { return false }
