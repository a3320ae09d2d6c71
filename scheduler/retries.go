package scheduler

// mayAttempt reports whether a request may have an attempt at a node: without a second effect, and within the
// limits on hedging, attempts and retries.
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

// mayHaveExecuted reports whether the attempt's outcome, or its lack, leaves open that the work was begun.
func (a *Attempt) mayHaveExecuted() bool { return !a.Outcome.NeverExecuted() }

// repeatIsSafe reports whether a node can be sent a repeat of an attempt that may have executed.
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

// hasRetryBudget reports whether the settings state a budget for retries and hedged attempts.
func (s *Scheduler) hasRetryBudget() bool { return s.settings[settingRetryWindow] != "" }

// retryBudgetRemains reports whether the budget allows one more attempt after a request's first.
func (s *Scheduler) retryBudgetRemains() bool {
	if !s.hasRetryBudget() {
		return true
	}
	windowStart := s.now - s.settings.duration(settingRetryWindow)
	for len(s.recentArrivals) > 0 && s.recentArrivals[0] <= windowStart {
		s.recentArrivals = s.recentArrivals[1:]
	}
	for len(s.recentRetries) > 0 && s.recentRetries[0] < windowStart { // one on the edge still counts
		s.recentRetries = s.recentRetries[1:]
	}
	budget := s.settings.number(settingFreeRetries) +
		s.settings.number(settingRetryShare)*float64(len(s.recentArrivals))
	return float64(len(s.recentRetries)+1) <= budget
}

// retryOrGiveUp has a request tried once more after a failed attempt, where that can still meet its objective, and
// gives it up at once where not. After an attempt that never executed for want of capacity or connection, the retry
// is delayed.
func (s *Scheduler) retryOrGiveUp(request *Request, failed *Attempt) {
	delay := Time(0)
	if failed.Outcome == OutcomeOverloaded || failed.Outcome == OutcomeConnectFailed {
		delay = Time(float64(s.tightestObjective) * (retryDelayMin + retryDelayJitter*s.random.float64()))
	}
	if s.canRetry(request, failed, delay) {
		s.holdUnplaced(request, delay)
	} else {
		s.giveUp(request)
	}
}

// canRetry reports whether a retry after a delay is allowed and can meet the request's objective.
func (s *Scheduler) canRetry(request *Request, failed *Attempt, delay Time) bool {
	node := failed.Node
	onlyNode := request.Shard >= 0 && node.Shard == request.Shard
	if onlyNode && !s.mayAttempt(request, node) {
		return false
	}
	if s.now+delay+node.expectedLatency(request.Units) >= request.effectiveObjective() {
		return false
	}
	return request.Deadline > s.now && failed.Outcome != OutcomeMisdirected
}

// hedge sends a request once more, though an attempt is pending, if a node can take it now and meet its objective.
func (s *Scheduler) hedge(request *Request) {
	node := s.selectNode(request)
	if node == nil || !s.canDispatch(node, request) {
		return
	}
	if s.now+node.expectedLatency(request.Units) >= request.effectiveObjective() {
		return
	}
	if request.Shard < 0 {
		node.takeCredit(request)
	}
	s.dispatch(request, node)
}
