package scheduler

// mayAttempt reports whether a request may be sent to a node: no effect is applied twice, and the limits on hedging,
// attempts and retries are respected.
func (s *Scheduler) mayAttempt(request *Request, node *Node) bool {
	if request.removedFromSettings() {
		return false
	}
	for _, earlier := range request.Attempts {
		if earlier.Outcome == OutcomePending && !s.settings.flag(settingHedging) {
			return false
		}
		if earlier.mayHaveExecuted() && !s.repeatIsSafe(earlier, node) {
			return false
		}
	}
	if len(request.Attempts) == 0 {
		return true
	}
	return len(request.Attempts) < int(s.settings.number(settingMaxAttempts)) && s.retryBudgetRemains()
}

// mayHaveExecuted reports whether the node may have started executing the attempt, judging by its outcome or lack of
// one.
func (a *Attempt) mayHaveExecuted() bool { return !a.Outcome.NeverExecuted() }

// repeatIsSafe reports whether a request can be sent to a node again after an attempt that may have executed.
func (s *Scheduler) repeatIsSafe(earlier *Attempt, node *Node) bool {
	class := earlier.Request.Class
	if class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NonIdempotent || s.now-earlier.SentAt >= class.DedupWindow {
		return false
	}
	switch class.DedupScope {
	case DedupSameZone:
		return earlier.Node.Zone == node.Zone
	case DedupSameShard:
		return earlier.Node.Shard == node.Shard
	}
	return true
}

// hasRetryBudget reports whether the settings define a budget for retries and hedged attempts.
func (s *Scheduler) hasRetryBudget() bool { return s.settings[settingRetryWindow] != "" }

// retryBudgetRemains reports whether the budget allows another attempt beyond a request's first.
func (s *Scheduler) retryBudgetRemains() bool {
	if !s.hasRetryBudget() {
		return true
	}
	s.trimRetryWindow()
	budget := s.settings.number(settingFreeRetries) +
		s.settings.number(settingRetryShare)*float64(len(s.recentArrivals))
	return float64(len(s.recentRetries)+1) <= budget
}

// trimRetryWindow drops the arrivals and retries that are no longer within the window of the retry budget.
func (s *Scheduler) trimRetryWindow() {
	windowStart := s.now - s.settings.duration(settingRetryWindow)
	for len(s.recentArrivals) > 0 && s.recentArrivals[0] <= windowStart {
		s.recentArrivals = s.recentArrivals[1:]
	}
	for len(s.recentRetries) > 0 && s.recentRetries[0] < windowStart { // a retry at the window's start still counts
		s.recentRetries = s.recentRetries[1:]
	}
}

// retryOrGiveUp retries a request after a failed attempt if it can still meet its objective, and gives it up
// otherwise. The retry is delayed if the node was overloaded or could not be reached.
func (s *Scheduler) retryOrGiveUp(request *Request, failed *Attempt) {
	delay := Time(0)
	if failed.Outcome == OutcomeOverloaded || failed.Outcome == OutcomeConnectFailed {
		delay = Time(float64(s.tightestObjective) * (retryDelayMin + retryDelayJitter*s.random.float64()))
	}
	if s.canRetry(request, failed, delay) {
		s.makeUnplaced(request, delay)
	} else {
		s.giveUp(request)
	}
}

// canRetry reports whether a retry after the given delay is allowed and can meet the request's objective.
func (s *Scheduler) canRetry(request *Request, failed *Attempt, delay Time) bool {
	node := failed.Node
	onlyNode := request.Shard >= 0 && node.Shard == request.Shard
	if onlyNode && !s.mayAttempt(request, node) {
		return false
	}
	if s.now+delay+node.expectedLatency(request.Units) >= request.effectiveObjectiveDeadline() {
		return false
	}
	return request.Deadline > s.now && failed.Outcome != OutcomeMisdirected
}

// hedge sends a second attempt of a request while one is pending, if a node can take it now and answer within the
// objective.
func (s *Scheduler) hedge(request *Request) {
	node := s.selectNode(request)
	if node == nil || !s.canDispatch(node, request) {
		return
	}
	if s.now+node.expectedLatency(request.Units) >= request.effectiveObjectiveDeadline() {
		return
	}
	if request.Shard < 0 {
		node.takeCredit(request)
	}
	s.dispatch(request, node)
}
