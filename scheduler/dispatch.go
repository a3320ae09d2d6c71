package scheduler

// dispatch sends a request to a node: it creates an attempt and charges the request to all budgets and limits that
// apply.
func (s *Scheduler) dispatch(request *Request, node *Node) {
	flow := s.flow(node, request.Volume)
	if len(request.Attempts) > 0 && s.hasRetryBudget() {
		s.recentRetries = append(s.recentRetries, s.now)
	}
	if !request.LimitCharged {
		request.LimitCharged = true
		request.Volume.RateLimit.Level -= request.Units
	}
	attempt := &Attempt{Request: request, Number: len(request.Attempts), Node: node, SentAt: s.now}
	request.Attempts = append(request.Attempts, attempt)
	request.Node = node
	s.setRequestState(request, RequestInFlight)
	s.chargeFlow(node, flow, request)
	s.occupyCapacity(node, flow, request)
	if s.warmingUp(node) {
		s.chargeSlowStart(attempt)
	}
	attempt.limitToDedupWindow()
	if node.Suspected {
		node.EjectedUntil = s.now + Time(float64(s.tightestObjective)*(suspectRetryMin+s.random.float64()))
	}
	s.pending.Dispatch = append(s.pending.Dispatch, attempt)
	s.timers.set(request, s.now+s.firstCheckDelay(node, request))
}

// chargeFlow charges a request being sent to its volume's reserve or, beyond that, to the fair rate and virtual time.
// If its flow is in service, the budget of the turn is charged too.
func (s *Scheduler) chargeFlow(node *Node, flow *Flow, request *Request) {
	if s.withinReserve(request) {
		request.Volume.Reserve.take(request.Units)
	} else {
		flow.Excess.take(request.Units)
		s.chargeVirtualTime(node, flow, request.Units)
	}
	if node.InService == flow {
		flow.Budget -= request.Units
	}
	if flow.LastSentAt > 0 {
		gap := s.now - flow.LastSentAt
		flow.AverageSendGap += Time(averagingWeight * float64(gap-flow.AverageSendGap))
	}
	flow.LastSentAt = s.now
}

// occupyCapacity counts a request being sent as in flight.
func (s *Scheduler) occupyCapacity(node *Node, flow *Flow, request *Request) {
	s.advanceBusyTime(node)
	if node.AttemptsInFlight == 0 {
		node.LastAnswerAt = s.now // the time without an answer counts from here
	}
	flow.InFlight++
	node.AttemptsInFlight++
	node.UnitsInFlight += request.Units
}

// releaseCapacity stops counting an attempt as in flight.
func (s *Scheduler) releaseCapacity(attempt *Attempt) {
	node := attempt.Node
	s.advanceBusyTime(node)
	s.flow(node, attempt.Request.Volume).InFlight--
	node.AttemptsInFlight--
	node.UnitsInFlight = max(node.UnitsInFlight-attempt.Request.Units, 0)
	node.dirty = true
}

// limitToDedupWindow sets SendBefore so that the attempt reaches its node only while the node still recognises the
// idempotency keys of all earlier attempts that may have executed.
func (a *Attempt) limitToDedupWindow() {
	class := a.Request.Class
	if class.Idempotency != IdempotencyKeyed {
		return
	}
	for _, earlier := range a.Request.Attempts[:a.Number] {
		end := earlier.SentAt + class.DedupWindow
		if !earlier.Outcome.NeverExecuted() && (a.SendBefore == 0 || end < a.SendBefore) {
			a.SendBefore = end
		}
	}
}

// firstCheckDelay returns the delay after which checkInFlight first examines a request that is sent to a node.
func (s *Scheduler) firstCheckDelay(node *Node, request *Request) Time {
	overdue := overdueFactor * node.expectedLatency(request.Units)
	return max(min(overdue, s.tightestObjective), s.tightestObjective/roundsPerObjective)
}

// attempt returns the attempt with the given number, or nil.
func (r *Request) attempt(number int) *Attempt {
	if number < 0 || number >= len(r.Attempts) {
		return nil
	}
	return r.Attempts[number]
}

// ResponseStarted records that the response to an attempt is being streamed to the client. The request is then
// streaming, and its other attempts are cancelled.
func (s *Scheduler) ResponseStarted(now Time, id string, number int) {
	s.now = now
	request := s.requests[id]
	if request == nil || request.State.Terminal() {
		return
	}
	attempt := request.attempt(number)
	if attempt == nil {
		return
	}
	s.setRequestState(request, RequestStreaming)
	s.timers.set(request, 0)
	attempt.Node.LastAnswerAt = now
	s.cancelOtherAttempts(request, attempt)
}

// cancelOtherAttempts cancels all pending attempts of a request except one, if the settings allow cancelling.
func (s *Scheduler) cancelOtherAttempts(request *Request, except *Attempt) {
	if !s.settings.flag(settingCancelling) {
		return
	}
	for _, attempt := range request.Attempts {
		if attempt != except && attempt.Outcome == OutcomePending && !attempt.Cancelled {
			attempt.Cancelled = true
			s.pending.Cancel = append(s.pending.Cancel, attempt)
		}
	}
}

// AttemptFinished records the outcome and duration of an attempt. final means that the client has received its
// answer. elsewhere is the number of units that the node's shard served the volume through other gateways since its
// previous answer to this gateway about that volume.
func (s *Scheduler) AttemptFinished(
	now Time, id string, number int, outcome Outcome, took Time, final bool, elsewhere float64,
) {
	s.now = now
	request := s.requests[id]
	if request == nil || outcome == OutcomePending {
		return
	}
	attempt := request.attempt(number)
	if attempt == nil || attempt.Outcome != OutcomePending {
		return
	}
	attempt.Outcome = outcome
	flow := s.flow(attempt.Node, request.Volume)
	if !attempt.PresumedLost {
		s.releaseCapacity(attempt)
	}
	flow.LastAnsweredAt = now
	s.recordOutcome(attempt.Node, attempt, took)
	if elsewhere > 0 {
		s.chargeVirtualTime(attempt.Node, flow, elsewhere)
	}
	if outcome == OutcomeServed {
		s.recordServedUnits(request.Volume, request.Units, max(elsewhere, 0))
	}
	s.blockKeyAfter(request, outcome)
	s.concludeAttempt(attempt, final)
}

// blockKeyAfter holds back later requests of the key for a while after an attempt that may still be running.
func (s *Scheduler) blockKeyAfter(request *Request, outcome Outcome) {
	if request.KeyQueue == nil {
		return
	}
	switch outcome {
	case OutcomeTimeout, OutcomeReset, OutcomeCancelled:
		until := s.now + s.settings.duration(settingKeyRest)
		request.KeyQueue.BlockedUntil = max(request.KeyQueue.BlockedUntil, until)
	}
}

// concludeAttempt decides what happens to the request after an attempt has ended.
func (s *Scheduler) concludeAttempt(attempt *Attempt, final bool) {
	request := attempt.Request
	switch {
	case request.State.Terminal():
		s.forgetIfDone(request)
	case final && attempt.Outcome == OutcomeServed:
		s.recordClientStayed(request)
		s.setRequestState(request, RequestSucceeded)
		s.cancelOtherAttempts(request, attempt)
	case final:
		s.setRequestState(request, RequestFailed) // the client has seen the response break off
	case request.State == RequestInFlight && request.attemptsPending() == 0:
		s.retryOrGiveUp(request, attempt)
	}
}
