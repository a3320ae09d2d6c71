package audit

// checkNoDuplicateEffect: an idempotency key has its effect once, and requests are retried or rejected only where that
// is safe.
func (t *trace) checkNoDuplicateEffect() RuleResult {
	result := RuleResult{Name: RuleNoDuplicateEffect}
	t.checkEffects(&result)
	for _, attempts := range t.byRequest {
		t.checkRetries(&result, attempts)
	}
	t.checkRejections(&result)
	return result
}

// checkEffects finds effects that a node executed more than once.
func (t *trace) checkEffects(result *RuleResult) {
	executed := map[string]int{} // by idempotency key
	for _, event := range t.events {
		if event.Type != AttemptExecuted || !event.Writes || event.Idempotency == Idempotent {
			continue
		}
		result.Checked++
		executed[event.IdempotencyKey]++
		if count := executed[event.IdempotencyKey]; count > 1 {
			result.violated("the effect of %s is there %d times", event.IdempotencyKey, count)
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
				result.violated("single-use job %s is sent again while execution %d may have run",
					retry.RequestID, earlier.Attempt)
			case earlier.Shard != retry.Shard:
				result.violated("referenced job %s is sent to shard %d after %d",
					retry.RequestID, retry.Shard, earlier.Shard)
			case retry.At-earlier.At > t.parameters.DedupWindow:
				result.violated("referenced job %s is sent again after %d ms",
					retry.RequestID, milliseconds(retry.At-earlier.At))
			}
		}
	}
}

// checkRejections finds rejections of requests that may have been executed: a rejection promises that a retry is
// harmless.
func (t *trace) checkRejections(result *RuleResult) {
	for _, event := range t.events {
		if event.Type != ResponseReceived || event.Outcome != Rejected {
			continue
		}
		result.Checked++
		for _, attempt := range t.byClientRequest[clientRequestKey{event.Session, event.ClientRequest}] {
			harmless := attempt.Idempotency == Idempotent || !attempt.Writes
			if !harmless && !attempt.provenNotExecuted(event.At) {
				result.violated("request %d of %s is dismissed while execution %d of %s may have run",
					event.ClientRequest, event.Session, attempt.Attempt, attempt.RequestID)
			}
		}
	}
}
