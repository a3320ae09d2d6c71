package scheduler

import "math"

// recordOutcome learns from an attempt's outcome: the node's failure rate, whether it is an outlier, and, if it
// served the attempt, its capacity.
func (s *Scheduler) recordOutcome(node *Node, attempt *Attempt, took Time) {
	outcome := attempt.Outcome
	if outcome == OutcomeCancelled || outcome == OutcomeMisdirected {
		return // independent of the node's health
	}
	weight := s.outcomeWeight(node)
	failed := 1.0
	if outcome == OutcomeServed || outcome == OutcomeOverloaded {
		failed = 0
	}
	s.recordOverdueOutcome(attempt, failed)
	node.FailureRate += weight * (failed - node.FailureRate)
	s.detectOutlier(node, attempt, took)
	if outcome == OutcomeServed {
		s.recordServed(node, attempt, took, weight)
	}
}

// outcomeWeight is the weight of one more outcome of a node in its averages. The longer ago the last one was, the
// more it weighs: a gateway of many meets a node seldom and would never learn otherwise.
func (s *Scheduler) outcomeWeight(node *Node) float64 {
	age := float64(s.now - node.LastOutcomeAt)
	memory := outcomeMemoryObjectives * float64(s.tightestObjective)
	node.LastOutcomeAt = s.now
	return max(averagingWeight, 1-math.Exp(-age/memory))
}

// recordOverdueOutcome counts whether an attempt that was overdue had an answer after all.
func (s *Scheduler) recordOverdueOutcome(attempt *Attempt, failed float64) {
	if !attempt.Overdue {
		return
	}
	switch attempt.Outcome {
	case OutcomeServed, OutcomeTimeout, OutcomeReset:
	default:
		return // another failure is no loss
	}
	s.overdueLostShare += averagingWeight * (failed - s.overdueLostShare)
	s.logTransition(&s.overdueCountsAsLost, s.overdueLostShare > highOverdueLostShare,
		"overdue counts as lost: %%t, %.0f%%%% had no answer", 100*s.overdueLostShare)
}

// detectOutlier suspects a node that could not be reached or turned a request away, and clears one that has
// answered. A node that did not answer at all through a time-out hangs or is jammed: it is ejected for one to two
// such times, since with hundreds of gateways one attempt of each would keep it so.
func (s *Scheduler) detectOutlier(node *Node, attempt *Attempt, took Time) {
	switch attempt.Outcome {
	case OutcomeServed, OutcomeError:
		node.LastAnswerAt = s.now
		node.LatestAnsweredSend = max(node.LatestAnsweredSend, attempt.SentAt)
		if node.Suspected {
			node.Suspected = false
			node.EjectedUntil = 0
			s.logf("%s answers again after %d ms", node.Addr, (s.now-attempt.SentAt)/Millisecond)
		}
	case OutcomeConnectFailed:
		s.markSuspected(node, "cannot be reached")
	case OutcomeOverloaded:
		s.markSuspected(node, "turns jobs away")
	case OutcomeTimeout:
		if node.LastAnswerAt <= attempt.SentAt && s.ownStall() == 0 {
			node.EjectedUntil = s.now + Time(float64(took)*(1+s.random.float64()))
		}
	}
}

// recordServed learns from an attempt that was served: latency, rate, and what it answered while it warmed up. A
// placement credit is returned.
func (s *Scheduler) recordServed(node *Node, attempt *Attempt, took Time, weight float64) {
	request := attempt.Request
	if s.ownStall() == 0 {
		s.recordLatency(node, attempt, took, weight)
	}
	node.AnsweredUnits += request.Units
	if s.warmingUp(node) && !request.Write { // a node may put off part of a write's work until after its answer
		node.SlowStartAnswered = append(node.SlowStartAnswered, UnitSample{At: s.now, Units: request.Units})
	}
	if request.CreditNode == node {
		request.CreditNode = nil
		node.returnCredit()
	}
}

// markSuspected notes that a node gives no sign of life. Requests are then sent to it one at a time, apart from
// each other, until it answers; new objects go elsewhere.
func (s *Scheduler) markSuspected(node *Node, cause string) {
	if node.Suspected {
		return
	}
	node.Suspected = true
	node.EjectedUntil = s.now + Time(float64(s.tightestObjective)*(suspectDelayMin+s.random.float64()))
	s.logf("%s is suspect: %s, %d out, last heard %d ms ago",
		node.Addr, cause, node.AttemptsInFlight, (s.now-node.LastAnswerAt)/Millisecond)
}

// ejectIfSlow ejects a node that takes more than the objective for a mean request, for the longer the slower it is:
// one request of each of many gateways floods it, and a flooded node stays so.
func (s *Scheduler) ejectIfSlow(node *Node, took Time) {
	excess := float64(node.expectedLatency(s.meanUnits))/float64(s.tightestObjective) - 1
	if excess <= 0 {
		return
	}
	longest := Time(maxEjectionObjectives * float64(s.tightestObjective))
	node.EjectedUntil = max(node.EjectedUntil, s.now+min(Time(excess*float64(took)), longest))
}

// adjustFairRate steers what a node takes beyond reserves by how long an answer waited, in objectives.
func (s *Scheduler) adjustFairRate(node *Node, wait, weight float64) {
	difference := fairRateTargetWait - min(max(wait, 0), fairRateMaxWait)
	rate := node.FairRate * math.Exp(fairRateGain*weight*difference)
	node.FairRate = min(max(rate, fairRateMin), fairRateMax)
}

// checkInFlight looks at a request that is in flight, when its timer fires. An attempt that has been pending for
// longer than the objective, with no answer of the node to anything later, counts once as a slow answer. One that
// is presumed lost takes no capacity any more, and the request is sent once more while it can meet its objective;
// so is a new object that is at a suspected node.
func (s *Scheduler) checkInFlight(request *Request) {
	attempt := request.Attempts[len(request.Attempts)-1]
	if attempt.Outcome != OutcomePending {
		return // an earlier one is pending
	}
	node := attempt.Node
	s.countSilence(attempt)
	s.detectLoss(attempt)
	if s.now < request.ObjectiveDeadline || !attempt.PresumedLost {
		s.timers.set(request, s.now+max(s.tightestObjective/roundsPerObjective, Millisecond))
	}
	if attempt.PresumedLost || request.Shard < 0 && node.Suspected {
		s.hedge(request)
	}
}

// countSilence counts an attempt that is pending for longer than the objective as a slow answer, when the node has
// answered nothing sent as late: that tells as much, and sooner.
func (s *Scheduler) countSilence(attempt *Attempt) {
	node := attempt.Node
	unanswered := node.LatestAnsweredSend <= attempt.SentAt && s.now-attempt.SentAt > s.tightestObjective
	if attempt.SilenceCounted || !unanswered || s.ownStall() > 0 {
		return
	}
	attempt.SilenceCounted = true
	s.adjustFairRate(node, 1, s.outcomeWeight(node))
}

// detectLoss presumes an attempt lost that is overdue, that is, pending for several times its expected latency
// while later ones were answered, at a node that fails some or where most of the overdue attempts had no answer. It
// is meant for nodes and links that lose part of what they take, and for connections that die unnoticed. It costs a
// second attempt where a failing node is only slow.
func (s *Scheduler) detectLoss(attempt *Attempt) {
	node := attempt.Node
	expected := node.expectedLatency(attempt.Request.Units)
	overdue := node.LatestAnsweredSend > attempt.SentAt && s.now-attempt.SentAt > overdueFactor*expected
	if overdue {
		attempt.Overdue = true
	}
	lossy := node.FailureRate > highFailureRate || s.overdueLostShare > highOverdueLostShare
	if overdue && lossy && !attempt.PresumedLost {
		attempt.PresumedLost = true
		s.releaseCapacity(attempt)
	}
}
