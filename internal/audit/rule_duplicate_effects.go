package audit

// checkNoDuplicateEffect checks that an idempotency key has its effect only once, and that requests are retried or
// rejected only if that is safe.
func (t *trace) checkNoDuplicateEffect() RuleResult {
	result := RuleResult{Name: RuleNoDuplicateEffect}
	t.checkEffects(&result)
	for _, attempts := range t.byRequest {
		t.checkRetries(&result, attempts)
	}
	t.checkRejections(&result)
	return result
}

// checkEffects finds idempotency keys whose effect was executed more than once.
func (t *trace) checkEffects(result *RuleResult) {
	executed := map[string]int{} // by idempotency key
	for _, event := range t.events {
		if event.Type != AttemptExecuted || !event.Writes || event.Idempotency == Idempotent {
			continue
		}
		result.Checked++
		executed[event.IdempotencyKey]++
		if count := executed[event.IdempotencyKey]; count > 1 {
			result.addViolation("the effect of idempotency key %s was executed %d times", event.IdempotencyKey, count)
		}
	}
}

// checkRetries checks each retry of a request against the attempts before it.
func (t *trace) checkRetries(result *RuleResult, attempts []*attempt) {
	for i, retry := range attempts[1:] {
		result.Checked++
		for _, earlier := range attempts[:i+1] {
			switch {
			case earlier.provenNotExecuted(retry.At) || retry.Idempotency == Idempotent:
			case retry.Idempotency == NonIdempotent:
				result.addViolation("non-idempotent request %s was retried although attempt %d may have been executed",
					retry.RequestID, earlier.Attempt)
			case earlier.Shard != retry.Shard:
				result.addViolation("keyed request %s was sent to shard %d after shard %d",
					retry.RequestID, retry.Shard, earlier.Shard)
			case retry.At-earlier.At > t.parameters.DedupWindow:
				result.addViolation("keyed request %s was retried after %d ms, which is outside the deduplication window",
					retry.RequestID, milliseconds(retry.At-earlier.At))
			}
		}
	}
}

// checkRejections finds rejections of requests that may have been executed. A rejection promises that a retry is safe.
func (t *trace) checkRejections(result *RuleResult) {
	for _, event := range t.events {
		if event.Type != ResponseReceived || event.Outcome != Rejected {
			continue
		}
		result.Checked++
		for _, attempt := range t.byClientRequest[clientRequestKey{event.Session, event.ClientRequest}] {
			harmless := attempt.Idempotency == Idempotent || !attempt.Writes
			if !harmless && !attempt.provenNotExecuted(event.At) {
				result.addViolation("request %d of session %s was rejected although attempt %d of %s may have been executed",
					event.ClientRequest, event.Session, attempt.Attempt, attempt.RequestID)
			}
		}
	}
}
