package replay

import (
	"slices"

	"irispost/internal/capture"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// compareDecision lets the scheduler decide, compares the decision with the captured one, and adds it to the report.
func (r *Replay) compareDecision(record *capture.Record) {
	r.report.Decisions++
	now := capture.DecisionOf(r.scheduler.Decide(record.At))
	if !now.Equal(record.Decision) {
		r.recordDifference(record, now)
		if !r.options.ContinueAfterDifference {
			r.setState(Diverged, "")
			return
		}
	}
	for _, sent := range now.Sent {
		r.attemptNodes[attempt{sent.Job, sent.Number}] = sent.Node
		node := r.observedNode(sent.Node)
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

// recordDifference counts a decision that differs from the captured one, and reports the first such decision.
func (r *Replay) recordDifference(record *capture.Record, now capture.Decision) {
	r.report.DifferingDecisions++
	if r.report.Difference != nil {
		return
	}
	difference := &Difference{
		Record:   r.report.Records,
		At:       record.At - r.start,
		Captured: record.Decision,
		Now:      now,
		Before:   slices.Clone(r.recent[max(0, len(r.recent)-r.options.KeepRecords):]),
		Job:      firstDifferingRequest(record.Decision, now),
	}
	if differing := r.requests[difference.Job]; differing != nil {
		difference.Story = differing.story
	}
	r.report.Difference = difference
}

// endRequest counts a request that the scheduler rejected or failed.
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

// firstDifferingRequest returns the first request that two decisions treat differently, or "" if they differ only in
// other respects.
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

// firstDiffering returns the first item in which two lists differ: that of a, or that of b if a is shorter.
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
