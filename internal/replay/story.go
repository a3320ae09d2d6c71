package replay

import (
	"fmt"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// nodeStats are statistics of the attempts at a node, as observed by the replay.
type nodeStats struct {
	inFlight         int            // attempts of this gateway
	meanLatency      scheduler.Time // moving average over served attempts
	failureShare     float64        // moving average of the share of attempts that were not served
	reportedInFlight int            // attempts in flight by the node's last load report
}

// averageWeight is the divisor of the moving averages: the latest attempt has a weight of 1/averageWeight.
const averageWeight = 8

// observedNode returns the statistics of the node with an address, which it creates if needed.
func (r *Replay) observedNode(addr string) *nodeStats {
	node := r.observed[addr]
	if node == nil {
		node = &nodeStats{}
		r.observed[addr] = node
	}
	return node
}

// observeAttemptEnd adds an attempt's outcome to the statistics of its node, and returns the node's address and
// statistics.
func (r *Replay) observeAttemptEnd(record *capture.Record) (addr string, node *nodeStats) {
	ended := attempt{record.Job, record.Number}
	addr = r.attemptNodes[ended]
	delete(r.attemptNodes, ended)
	node = r.observedNode(addr)
	failed := 1.0
	if record.Outcome == scheduler.OutcomeServed {
		failed = 0
		node.meanLatency += (record.Took - node.meanLatency) / averageWeight
		node.reportedInFlight = record.Inflight
	}
	node.failureShare += (failed - node.failureShare) / averageWeight
	node.inFlight = max(node.inFlight-1, 0)
	return addr, node
}

// describeAttemptEnd adds an attempt's outcome to the stories of its request and its node.
func (r *Replay) describeAttemptEnd(record *capture.Record) {
	addr, node := r.observeAttemptEnd(record)
	outcome := outcomeName(record.Outcome)
	latency, failures := millis(node.meanLatency), 100*node.failureShare
	r.addToStory(record.Job, record.At, "execution %d at %s: %s after %.1f ms; "+
		"the node on average: %.1f ms, %.0f%% not served, %d out from here, %d held",
		record.Number, addr, outcome, millis(record.Took), latency, failures, node.inFlight, node.reportedInFlight)
	r.addToNodeStory(addr, record.At, "%s, execution %d: %s after %.1f ms; "+
		"on average %.1f ms, %.0f%% not served, %d out, %d held",
		record.Job, record.Number, outcome, millis(record.Took), latency, failures, node.inFlight, node.reportedInFlight)
}

// addToNodeStory adds a line to the reported story if it is that of the node.
func (r *Replay) addToNodeStory(addr string, at scheduler.Time, format string, args ...any) {
	if addr != "" && addr == r.options.Node {
		r.report.Story = append(r.report.Story, r.timestamp(at)+fmt.Sprintf(format, args...))
	}
}

// addToStory adds a line to a request's story. Stories are kept while their requests are open, as one of them may be
// reported with a difference; that of the request in the options is reported in any case.
func (r *Replay) addToStory(id string, at scheduler.Time, format string, args ...any) {
	line := r.timestamp(at) + fmt.Sprintf(format, args...)
	if id == r.options.RequestID {
		r.report.Story = append(r.report.Story, line)
	}
	if open := r.requests[id]; open != nil {
		open.story = append(open.story, line)
	}
}

func (r *Replay) timestamp(at scheduler.Time) string {
	return fmt.Sprintf("%10.3f ms  ", millis(at-r.start))
}

func millis(t scheduler.Time) float64 { return float64(t) / 1e6 }

func seconds(t scheduler.Time) float64 { return float64(t) / 1e9 }

var outcomeNames = [...]string{
	scheduler.OutcomePending:       "out",
	scheduler.OutcomeServed:        "served",
	scheduler.OutcomeError:         "failed",
	scheduler.OutcomeOverloaded:    "turned away as full",
	scheduler.OutcomeTimeout:       "timed out",
	scheduler.OutcomeConnectFailed: "no connection",
	scheduler.OutcomeReset:         "the connection broke",
	scheduler.OutcomeCancelled:     "called off",
	scheduler.OutcomeMisdirected:   "not this shard",
}

func outcomeName(outcome scheduler.Outcome) string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return fmt.Sprintf("outcome %d", outcome)
}
