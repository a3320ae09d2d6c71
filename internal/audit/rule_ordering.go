package audit

import "strings"

// orderingHistory is how many attempts of a key are remembered: more than a gateway sends within the pause of a key.
const orderingHistory = 64

// keyQueue identifies the requests that a gateway keeps in order.
type keyQueue struct {
	gateway string // with its boot: one that was started anew does not know what it had sent
	key     int64
}

// checkOrdering: nothing is sent for a request while an earlier one of its key, accepted by the same gateway, may run,
// nor before the key has rested after an attempt that may still run.
func (t *trace) checkOrdering() RuleResult {
	result := RuleResult{Name: RuleOrdering}
	histories := map[keyQueue][]*attempt{}
	for _, next := range t.attempts {
		if next.OrderingKey == 0 {
			continue
		}
		session, _, number := parseRequestID(next.RequestID)
		gateway := session
		if i := strings.LastIndexByte(session, '/'); i > 0 {
			gateway = session[:i]
		}
		queue := keyQueue{gateway, next.OrderingKey}
		history := histories[queue]
		for _, earlier := range history {
			if earlier.RequestID == next.RequestID {
				continue
			}
			result.Checked++
			if over := t.overBy(earlier); next.At < over {
				result.violated("%s is sent for key %d while %s may run, %d ms early",
					next.RequestID, next.OrderingKey, earlier.RequestID, milliseconds(over-next.At))
			}
			if _, _, earlierNumber := parseRequestID(earlier.RequestID); earlierNumber > number && next.Attempt == 0 {
				result.violated("%s is sent for key %d after the later %s",
					next.RequestID, next.OrderingKey, earlier.RequestID)
			}
		}
		if len(history) > orderingHistory {
			history = history[1:]
		}
		histories[queue] = append(history, next)
	}
	return result
}

// overBy is when the gateway may take an attempt as over: by its answer, or by the pause of its key after it was
// aborted or has timed out.
func (t *trace) overBy(a *attempt) int64 {
	over := a.At + a.Timeout + t.parameters.KeyRest // if it timed out at the gateway
	if a.abortedAt > 0 {
		over = min(over, a.abortedAt+t.parameters.KeyRest)
	}
	over -= t.parameters.Transit
	if a.answeredAt > 0 {
		over = min(over, a.answeredAt)
	}
	return over
}
