package replay

import (
	"fmt"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// observe is what the replay has observed of a node.
type observe struct {
	inFlight int            // attempts, from this gateway
	latency  scheduler.Time // of served attempts, averaged
	failures float64        // share of attempts that were not served, averaged
	held     int            // by its last load report
}

// averageWeight is the weight of the latest attempt in the averages: one in so many.
const averageWeight = 8

// node is what was observed of the node of an address.
func (r *Replay) node(addr string) *observe {
	node := r.observed[addr]
	if node == nil {
		node = &observe{}
		r.observed[addr] = node
	}
	return node
}

// observeEnd notes an attempt's outcome at its node, and returns what is observed of the node since.
func (r *Replay) observeEnd(record *capture.Record) (addr string, node *observe) {
	ended := attempt{record.Job, record.Number}
	addr = r.nodes[ended]
	delete(r.nodes, ended)
	node = r.node(addr)
	failed := 1.0
	if record.Outcome == scheduler.OutcomeServed {
		failed = 0
		node.latency += (record.Took - node.latency) / averageWeight
		node.held = record.Inflight
	}
	node.failures += (failed - node.failures) / averageWeight
	node.inFlight = max(node.inFlight-1, 0)
	return addr, node
}

// recordAttemptEnd adds an attempt's outcome to the stories of its request and its node.
func (r *Replay) recordAttemptEnd(record *capture.Record) {
	addr, node := r.observeEnd(record)
	outcome := outcomeName(record.Outcome)
	latency, failures := millis(node.latency), 100*node.failures
	r.addToStory(record.Job, record.At, "execution %d at %s: %s after %.1f ms; "+
		"the node lately: %.1f ms, %.0f%% not served, %d out from here, %d held",
		record.Number, addr, outcome, millis(record.Took), latency, failures, node.inFlight, node.held)
	r.addToNodeStory(addr, record.At, "%s, execution %d: %s after %.1f ms; "+
		"lately %.1f ms, %.0f%% not served, %d out, %d held",
		record.Job, record.Number, outcome, millis(record.Took), latency, failures, node.inFlight, node.held)
}

// addToNodeStory adds to a node's story, if it is asked for.
func (r *Replay) addToNodeStory(addr string, at scheduler.Time, format string, args ...any) {
	if addr != "" && addr == r.opt.Node {
		r.report.Story = append(r.report.Story, r.timestamp(at)+fmt.Sprintf(format, args...))
	}
}

// addToStory adds to a request's story, which is kept until its end, and longer where it is asked for.
func (r *Replay) addToStory(id string, at scheduler.Time, format string, args ...any) {
	line := r.timestamp(at) + fmt.Sprintf(format, args...)
	if id == r.opt.RequestID {
		r.report.Story = append(r.report.Story, line)
	}
	if subject := r.requests[id]; subject != nil {
		subject.story = append(subject.story, line)
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
