package audit

import "strings"

// orderingHistory is how many attempts of a key are kept. It is more than a gateway sends within the pause of a key.
const orderingHistory = 64

// keyQueue identifies requests that a gateway executes in order.
type keyQueue struct {
	gateway string // with its boot, as a restarted gateway does not know what it sent before
	key     int64
}

// checkOrdering checks that no attempt of a request is sent while an earlier request of its key, accepted by the same
// gateway, may still run. After an attempt whose end is not known, the gateway must pause the key for KeyRest.
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
			if end := t.presumedEnd(earlier); next.At < end {
				result.addViolation("request %s was sent for key %d while %s may still run, %d ms too early",
					next.RequestID, next.OrderingKey, earlier.RequestID, milliseconds(end-next.At))
			}
			if _, _, earlierNumber := parseRequestID(earlier.RequestID); earlierNumber > number && next.Attempt == 0 {
				result.addViolation("request %s was sent for key %d after the later request %s",
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

// presumedEnd returns the time from which the gateway may presume that an attempt has ended: its answer, or the end of
// the pause of its key after it was aborted or timed out.
func (t *trace) presumedEnd(a *attempt) int64 {
	end := a.At + a.Timeout + t.parameters.KeyRest // if the attempt timed out at the gateway
	if a.abortedAt > 0 {
		end = min(end, a.abortedAt+t.parameters.KeyRest)
	}
	end -= t.parameters.Transit
	if a.answeredAt > 0 {
		end = min(end, a.answeredAt)
	}
	return end
}
