package scheduler

import "slices"

// Submit accepts a request for scheduling. The caller has filled in its ID, Units, Shard, Key, Write and Deadline,
// and names its volume, service level and class. GatewayCount is how many gateways the volume's requests come
// through, and keyed says whether Key counts, for a class that is ordered.
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
		s.recentArrivals = append(s.recentArrivals, now)
	}
	if request.Class.Ordered && keyed {
		s.joinKeyQueue(request)
	}
	s.holdUnplaced(request, 0)
}

// class returns a class by its name. One that the settings do not name is made: it is not idempotent, and its
// objective is the time that its first request has left.
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

// setObjectiveDeadline sets the end of the request's objective, which counts from the client's first try. A request
// with less time left than the most yet seen of its class is taken to be a later try, and the difference to have
// gone by.
func (r *Request) setObjectiveDeadline(remaining Time) {
	class := r.Class
	share := float64(remaining) / float64(max(class.ClientTimeout, 1))
	class.LongestTimeRemaining = max(class.LongestTimeRemaining, min(1, share))
	elapsed := Time(class.LongestTimeRemaining*float64(class.ClientTimeout)) - remaining
	r.ObjectiveDeadline = r.ReceivedAt + class.LatencyObjective - max(0, elapsed)
}

// joinKeyQueue puts a request behind the earlier ones of its key.
func (s *Scheduler) joinKeyQueue(request *Request) {
	queue := s.keyQueues[request.Key]
	if queue == nil {
		queue = &KeyQueue{}
		s.keyQueues[request.Key] = queue
	}
	queue.Requests = append(queue.Requests, request)
	request.KeyQueue = queue
}

// volume returns a volume by its ID, and makes it on first use. This gateway's part of its rate limit is even, by
// the most gateways that its requests came through, and its bucket counts as empty at the gateway's
// start: one that was killed does not know what it had sent.
func (s *Scheduler) volume(id int64, level string, gatewayCount float64) *Volume {
	volume := s.volumes[id]
	if volume == nil {
		volume = s.newVolume(level)
		s.volumes[id] = volume
	}
	gatewayCount = max(gatewayCount, 1)
	if gatewayCount > volume.GatewayCount {
		volume.GatewayCount = gatewayCount
		limit := &volume.RateLimit
		limit.Rate = volume.ServiceLevel.RateLimit / gatewayCount
		limit.Capacity = volume.ServiceLevel.Burst / gatewayCount
		limit.Level = min(limit.Level, limit.Capacity)
		s.recordServedUnits(volume, 0, 0)
	}
	return volume
}

// newVolume makes a volume of a service level, which is made too if the settings do not name it.
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

// setRequestState is the one place where a request changes state.
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

// forgetIfDone forgets a request that has its final answer, once each of its attempts has its outcome, and lets the
// next of its key go on.
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

// done reports whether the request has its final answer and no attempt pending.
func (r *Request) done() bool { return r.State.Terminal() && r.attemptsPending() == 0 }

// holdUnplaced puts a request among those that wait to be placed, for a delay at least. Its draws at the last node
// are void.
func (s *Scheduler) holdUnplaced(request *Request, delay Time) {
	s.setRequestState(request, RequestUnplaced)
	request.Node = nil
	request.NotBefore = s.now + delay
	request.ExcessDraw = NotDrawn
	request.SlowStartDraw = NotDrawn
	request.SlowStartShareDraw = NotDrawn
	s.unplaced = append(s.unplaced, request)
	s.timers.set(request, s.latestDispatch(request))
}

// effectiveObjective is when the request has to be answered: when its objective ends, or when its client will
// usually have left, where many clients of its service level that wait as long do. Clients that leave at any
// moment, while others that wait as long are served, change nothing.
func (r *Request) effectiveObjective() Time {
	level := r.Volume.ServiceLevel
	if level.EarlyCancelShare <= earlyCancelThreshold {
		return r.ObjectiveDeadline
	}
	leavesAt := r.ReceivedAt + Time(level.EarlyCancelAfter*float64(r.Class.LatencyObjective))
	return min(r.ObjectiveDeadline, leavesAt)
}

// latestDispatch is when a request that waits has to be sent to meet its objective, as far as is known. It is
// given up then.
func (s *Scheduler) latestDispatch(request *Request) Time {
	at := request.effectiveObjective()
	if request.Node != nil {
		at -= request.Node.expectedLatency(request.Units)
	}
	return max(min(at, request.Deadline-Millisecond), s.now+1)
}

// giveUp answers a request at once that is not tried any more: it is rejected where trying again is harmless, and
// fails where it may have run. A rejection carries a Retry-After, where the installation wants one.
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

// retryAfter is how long a rejected client is asked to wait: for the objective, and until the node, if it was
// queued at one, would be through with what waits there.
func (s *Scheduler) retryAfter(node *Node) Time {
	wait := s.tightestObjective
	if node != nil {
		wait += Time(s.queuedUnits(node) / s.serviceRate(node) * float64(Second))
	}
	return min(wait, s.settings.duration(settingMaxRetryAfter))
}

// mayReject reports whether the request may be rejected, which promises its client that trying again is harmless.
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

// ClientCancelled records that a request's client has gone. It gets no answer, and its pending attempts are cancelled.
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

// recordClientLeft counts a client that left before its objective, and when it did.
func (s *Scheduler) recordClientLeft(request *Request) {
	level := request.Volume.ServiceLevel
	s.recordEarlyCancel(level, 1)
	after := float64(s.now-request.ReceivedAt) / float64(max(request.Class.LatencyObjective, 1))
	if level.EarlyCancelAfter == 0 {
		level.EarlyCancelAfter = after
	}
	level.EarlyCancelAfter += earlyCancelWeight * (after - level.EarlyCancelAfter)
}

// recordClientStayed counts a client that was served, if it had waited for as long as those that leave early.
func (s *Scheduler) recordClientStayed(request *Request) {
	level := request.Volume.ServiceLevel
	usual := Time(level.EarlyCancelAfter * float64(request.Class.LatencyObjective))
	if s.now-request.ReceivedAt >= usual {
		s.recordEarlyCancel(level, 0)
	}
}

// recordEarlyCancel counts one client that left early, as 1, or stayed, as 0.
func (s *Scheduler) recordEarlyCancel(level *ServiceLevel, cancelled float64) {
	level.EarlyCancelShare += earlyCancelWeight * (cancelled - level.EarlyCancelShare)
	s.logTransition(&level.ClientsCancelEarly, level.EarlyCancelShare > earlyCancelThreshold,
		"clients of %s leave early: %%t, %.0f%%%%, at %.2f of the goal",
		level.Name, 100*level.EarlyCancelShare, level.EarlyCancelAfter)
}
