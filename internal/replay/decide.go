package replay

import (
	"slices"

	"irispost/internal/capture"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// decide asks the scheduler and compares.
func (r *Replay) decide(record *capture.Record) {
	r.report.Decisions++
	now := capture.DecisionOf(r.scheduler.Decide(record.At))
	if !now.Equal(record.Decision) {
		r.differ(record, now)
		if !r.opt.ContinueAfterDifference {
			r.move(Diverged, "")
			return
		}
	}
	for _, sent := range now.Sent {
		r.nodes[attempt{sent.Job, sent.Number}] = sent.Node
		node := r.node(sent.Node)
		node.inFlight++
		r.addToStory(sent.Job, record.At, "execution %d is sent to %s, which now has %d out from here; "+
			"%d jobs have no answer yet", sent.Number, sent.Node, node.inFlight, len(r.requests))
		r.addToNodeStory(sent.Node, record.At, "%s, execution %d is sent, %d out", sent.Job, sent.Number, node.inFlight)
	}
	for _, cancelled := range now.CallOff {
		r.addToStory(cancelled.Job, record.At, "execution %d is called off", cancelled.Number)
	}
	for _, answer := range now.Ended {
		r.endRequest(record.At, answer)
	}
}

// differ counts a decision that differs from the captured one, and reports the first.
func (r *Replay) differ(record *capture.Record, now capture.Decision) {
	r.report.DifferingDecisions++
	if r.report.Difference != nil {
		return
	}
	difference := &Difference{
		Record:   r.report.Records,
		At:       record.At - r.start,
		Captured: record.Decision,
		Now:      now,
		Before:   slices.Clone(r.before[max(0, len(r.before)-r.opt.KeepRecords):]),
		Job:      firstDifferingRequest(record.Decision, now),
	}
	if differing := r.requests[difference.Job]; differing != nil {
		difference.Story = differing.story
	}
	r.report.Difference = difference
}

// endRequest counts a request that the scheduler ends without an answer of a node.
func (r *Replay) endRequest(at scheduler.Time, answer capture.FinishedRequest) {
	r.addToStory(answer.Job, at, "%s, to come back in %.0f ms", gateway.StateName(answer.State), millis(answer.Wait))
	ended := r.requests[answer.Job]
	if ended == nil {
		return
	}
	if answer.State == scheduler.RequestRejected {
		ended.class.Rejected++
	} else {
		ended.class.Failed++
	}
	delete(r.requests, answer.Job)
}

// firstDifferingRequest is the first request that two decisions treat otherwise; empty: they differ in other things.
func firstDifferingRequest(a, b capture.Decision) string {
	if answer, differs := firstDiffering(a.Ended, b.Ended); differs {
		return answer.Job
	}
	if sent, differs := firstDiffering(a.Sent, b.Sent); differs {
		return sent.Job
	}
	if cancelled, differs := firstDiffering(a.CallOff, b.CallOff); differs {
		return cancelled.Job
	}
	return ""
}

// firstDiffering is the first item that two lists do not have in common, of the first where both have one.
func firstDiffering[Item comparable](a, b []Item) (item Item, differs bool) {
	for i := range max(len(a), len(b)) {
		if i >= len(a) {
			return b[i], true
		}
		if i >= len(b) || a[i] != b[i] {
			return a[i], true
		}
	}
	return item, false
}
