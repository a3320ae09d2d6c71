package scheduler

import "slices"

// Submit accepts a request for scheduling. The caller has set its ID, Units, Shard, Key, Write and Deadline and
// passes the names of its volume, service level and class. gatewayCount is the number of gateways through which the
// volume's requests arrive. keyed says whether Key is set; it is used only if the class is ordered.
func (s *Scheduler) Submit(
	now Time, request *Request, volume int64, level, class string, gatewayCount float64, keyed bool,
) {
	s.now = now
	remaining := request.Deadline - now
	request.Class = s.class(class, remaining)
	request.Volume = s.volume(volume, level, gatewayCount)
	request.ReceivedAt = now
	request.setObjectiveDeadline(remaining)
	s.requests[request.ID] = request
	if s.hasRetryBudget() {
		s.trimRetryWindow()
		s.recentArrivals = append(s.recentArrivals, now)
	}
	if request.Class.Ordered && keyed {
		s.joinKeyQueue(request)
	}
	s.makeUnplaced(request, 0)
}

// class returns the class with the given name. A class that the settings do not define is created as non-idempotent,
// with the remaining time of its first request as its objective.
func (s *Scheduler) class(name string, remaining Time) *RequestClass {
	class := s.classes[name]
	if class == nil {
		class = &RequestClass{
			Name:             name,
			Idempotency:      NonIdempotent,
			LatencyObjective: remaining,
			ClientTimeout:    remaining,
			Removed:          s.settingsReplaced,
		}
		s.classes[name] = class
	}
	return class
}

// setObjectiveDeadline sets the end of the latency objective, which starts with the client's first try. If the
// request has less time until its deadline than the longest seen in its class, it is assumed to be a client's retry,
// and the difference to be the time since the first try.
func (r *Request) setObjectiveDeadline(remaining Time) {
	class := r.Class
	share := float64(remaining) / float64(max(class.ClientTimeout, 1))
	class.LongestTimeRemaining = max(class.LongestTimeRemaining, min(1, share))
	elapsed := Time(class.LongestTimeRemaining*float64(class.ClientTimeout)) - remaining
	r.ObjectiveDeadline = r.ReceivedAt + class.LatencyObjective - max(0, elapsed)
}

// joinKeyQueue appends a request to the queue of its key.
func (s *Scheduler) joinKeyQueue(request *Request) {
	queue := s.keyQueues[request.Key]
	if queue == nil {
		queue = &KeyQueue{}
		s.keyQueues[request.Key] = queue
	}
	queue.Requests = append(queue.Requests, request)
	request.KeyQueue = queue
}

// newVolume creates a volume of a service level, and the level as well if the settings do not define it.
func (s *Scheduler) newVolume(levelName string) *Volume {
	level := s.serviceLevels[levelName]
	if level == nil {
		level = &ServiceLevel{Name: levelName, Weight: 1, Removed: s.settingsReplaced}
		s.serviceLevels[levelName] = level
	}
	return &Volume{
		ServiceLevel: level,
		Reserve:      TokenBucket{UpdatedAt: s.now, Level: level.Reserve + s.settings.number(settingLargestUnits)},
		RateLimit:    TokenBucket{UpdatedAt: s.startedAt},
	}
}

// setRequestState changes the state of a request. All state changes go through it.
func (s *Scheduler) setRequestState(request *Request, state RequestState) {
	wasQueued := request.State == RequestQueued
	if wasQueued && state.Terminal() {
		s.flow(request.Node, request.Volume).remove(request)
	}
	if wasQueued && state != RequestInFlight && request.CreditNode != nil {
		request.CreditNode.returnCredit()
		request.CreditNode = nil
	}
	request.State = state
	if state.Terminal() {
		s.timers.set(request, 0)
		s.forgetIfDone(request)
	}
}

// forgetIfDone drops a request that has its final answer and no pending attempt, and unblocks the next request of its
// key.
func (s *Scheduler) forgetIfDone(request *Request) {
	if !request.done() {
		return
	}
	delete(s.requests, request.ID)
	queue := request.KeyQueue
	if queue == nil {
		return
	}
	for len(queue.Requests) > 0 && queue.Requests[0].done() {
		queue.Requests = queue.Requests[1:]
	}
}

// done reports whether the request has its final answer and no pending attempt.
func (r *Request) done() bool { return r.State.Terminal() && r.attemptsPending() == 0 }

// makeUnplaced makes a request wait to be placed, for at least the given delay. Draws made at its previous node are
// reset.
func (s *Scheduler) makeUnplaced(request *Request, delay Time) {
	s.setRequestState(request, RequestUnplaced)
	request.Node = nil
	request.NotBefore = s.now + delay
	request.ExcessDraw = NotDrawn
	request.SlowStartDraw = NotDrawn
	request.SlowStartShareDraw = NotDrawn
	s.unplaced = append(s.unplaced, request)
	s.timers.set(request, s.latestDispatchTime(request))
}

// effectiveObjectiveDeadline returns the time by which the request has to be answered: the end of its objective, or
// the time at which its client is likely to leave if many clients of the service level leave that early. It is not
// shortened where clients leave at arbitrary times while others that wait as long are served.
func (r *Request) effectiveObjectiveDeadline() Time {
	level := r.Volume.ServiceLevel
	if level.EarlyCancelShare <= earlyCancelThreshold {
		return r.ObjectiveDeadline
	}
	leavesAt := r.ReceivedAt + Time(level.EarlyCancelAfter*float64(r.Class.LatencyObjective))
	return min(r.ObjectiveDeadline, leavesAt)
}

// latestDispatchTime returns the latest time at which a waiting request can be sent and is still expected to meet its
// objective. The request is given up then.
func (s *Scheduler) latestDispatchTime(request *Request) Time {
	at := request.effectiveObjectiveDeadline()
	if request.Node != nil {
		at -= request.Node.expectedLatency(request.Units)
	}
	return max(min(at, request.Deadline-Millisecond), s.now+1)
}

// giveUp ends a request that will not be tried again. It is rejected if its client can safely retry, and fails if it
// may have been executed. A rejection carries a Retry-After if the settings ask for one.
func (s *Scheduler) giveUp(request *Request) {
	state := RequestFailed
	if request.mayReject() {
		state = RequestRejected
		if s.settings.flag(settingRetryAfter) {
			request.RetryAfter = s.retryAfter(request.Node)
		}
	}
	s.setRequestState(request, state)
	s.pending.Finished = append(s.pending.Finished, request)
}

// retryAfter returns how long a rejected client is asked to wait, up to the configured maximum: the objective, plus,
// if the request was queued at a node, the time the node needs for its queue.
func (s *Scheduler) retryAfter(node *Node) Time {
	wait := s.tightestObjective
	if node != nil {
		wait += Time(s.queuedUnits(node) / s.serviceRate(node) * float64(Second))
	}
	return min(wait, s.settings.duration(settingMaxRetryAfter))
}

// mayReject reports whether the request may be rejected, which tells its client that a retry is safe.
func (r *Request) mayReject() bool {
	class := r.Class
	if class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == IdempotencyKeyed && class.DedupScope == DedupAllNodes {
		return true
	}
	return !slices.ContainsFunc(r.Attempts, (*Attempt).mayHaveExecuted)
}

// ClientCancelled records that the client of a request has left. The request gets no answer, and its pending attempts
// are cancelled.
func (s *Scheduler) ClientCancelled(now Time, id string) {
	s.now = now
	request := s.requests[id]
	if request == nil || request.State.Terminal() {
		return
	}
	if now < request.ObjectiveDeadline {
		s.recordClientLeft(request)
	}
	s.setRequestState(request, RequestClientCancelled)
	s.cancelOtherAttempts(request, nil)
}

// recordClientLeft counts a client that left before the end of the objective and records how long it waited. One that
// left at once did not wait for an answer, and tells nothing about those that do.
func (s *Scheduler) recordClientLeft(request *Request) {
	level := request.Volume.ServiceLevel
	after := float64(s.now-request.ReceivedAt) / float64(max(request.Class.LatencyObjective, 1))
	if after < earlyCancelMin {
		return
	}
	s.recordEarlyCancel(level, 1)
	if level.EarlyCancelAfter == 0 {
		level.EarlyCancelAfter = after
	}
	level.EarlyCancelAfter += earlyCancelWeight * (after - level.EarlyCancelAfter)
}

// recordClientStayed counts a client that was served, provided that it waited at least as long as those that leave
// early.
func (s *Scheduler) recordClientStayed(request *Request) {
	level := request.Volume.ServiceLevel
	usual := Time(level.EarlyCancelAfter * float64(request.Class.LatencyObjective))
	if s.now-request.ReceivedAt >= usual {
		s.recordEarlyCancel(level, 0)
	}
}

// recordEarlyCancel updates the share of clients that leave early with one client: 1 if it left, 0 if it stayed.
func (s *Scheduler) recordEarlyCancel(level *ServiceLevel, cancelled float64) {
	level.EarlyCancelShare += earlyCancelWeight * (cancelled - level.EarlyCancelShare)
	s.logTransition(&level.ClientsCancelEarly, level.EarlyCancelShare > earlyCancelThreshold,
		"clients of %s leave early: %%t, %.0f%%%%, at %.2f of the goal",
		level.Name, 100*level.EarlyCancelShare, level.EarlyCancelAfter)
}
