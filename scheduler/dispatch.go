package scheduler

// dispatch sends a request to a node: it makes an attempt, and charges it to all that paces the request.
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
	s.timers.set(request, s.now+s.firstCheck(node, request))
}

// chargeFlow charges a request that is sent to its volume's reserve, or, beyond that, to the fair rate and virtual
// time; and to the budget of the turn, if it is its flow's.
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

// occupyCapacity counts a request that is sent as in flight.
func (s *Scheduler) occupyCapacity(node *Node, flow *Flow, request *Request) {
	s.advanceBusyTime(node)
	if node.AttemptsInFlight == 0 {
		node.LastAnswerAt = s.now // how long it has not answered counts from here
	}
	flow.InFlight++
	node.AttemptsInFlight++
	node.UnitsInFlight += request.Units
}

// releaseCapacity takes an attempt off what is in flight.
func (s *Scheduler) releaseCapacity(attempt *Attempt) {
	node := attempt.Node
	s.advanceBusyTime(node)
	s.flow(node, attempt.Request.Volume).InFlight--
	node.AttemptsInFlight--
	node.UnitsInFlight = max(node.UnitsInFlight-attempt.Request.Units, 0)
	node.dirty = true
}

// limitToDedupWindow has the attempt reach its node only while the key of each earlier attempt that may have run is
// still recognised.
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

// firstCheck is the time after which a request that is sent to a node is looked at first, by checkInFlight.
func (s *Scheduler) firstCheck(node *Node, request *Request) Time {
	overdue := overdueFactor * node.expectedLatency(request.Units)
	return max(min(overdue, s.tightestObjective), s.tightestObjective/roundsPerObjective)
}

// attempt returns a request's attempt by its number, or nil.
func (r *Request) attempt(number int) *Attempt {
	if number < 0 || number >= len(r.Attempts) {
		return nil
	}
	return r.Attempts[number]
}

// ResponseStarted records that an attempt's response has begun to flow to the client. The request is streaming from
// now on, and its other attempts are cancelled.
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

// cancelOtherAttempts cancels the pending attempts of a request except one, where the installation allows it.
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

// AttemptFinished records an attempt's outcome, and how long it took. Final means that the client has had its answer.
// Elsewhere is the units that the node's shard served the volume through other gateways since it last answered this
// one about it.
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

// blockKeyAfter keeps later requests of the key back for a while after an attempt that may still be running.
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

// concludeAttempt decides what follows for the request from an attempt that has ended.
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
		s.setRequestState(request, RequestFailed) // its client has seen the response break off
	case request.State == RequestInFlight && request.attemptsPending() == 0:
		s.retryOrGiveUp(request, attempt)
	}
}
