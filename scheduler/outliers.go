package scheduler

import "math"

// recordOutcome updates the node's failure rate and outlier detection with an attempt's outcome and, if the attempt
// was served, the capacity estimate.
func (s *Scheduler) recordOutcome(node *Node, attempt *Attempt, took Time) {
	outcome := attempt.Outcome
	if outcome == OutcomeCancelled || outcome == OutcomeMisdirected {
		return // says nothing about the node's health
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

// outcomeWeight returns the weight of a new outcome of a node in the moving averages. It grows with the time since
// the previous outcome; otherwise a gateway that is one of many and uses a node rarely would never adapt.
func (s *Scheduler) outcomeWeight(node *Node) float64 {
	age := float64(s.now - node.LastOutcomeAt)
	memory := outcomeMemoryObjectives * float64(s.tightestObjective)
	node.LastOutcomeAt = s.now
	return max(averagingWeight, 1-math.Exp(-age/memory))
}

// recordOverdueOutcome records whether an overdue attempt was answered after all.
func (s *Scheduler) recordOverdueOutcome(attempt *Attempt, failed float64) {
	if !attempt.Overdue {
		return
	}
	switch attempt.Outcome {
	case OutcomeServed, OutcomeTimeout, OutcomeReset:
	default:
		return // other failures do not mean that the attempt was lost
	}
	s.overdueLostShare += averagingWeight * (failed - s.overdueLostShare)
	s.logTransition(&s.overdueCountsAsLost, s.overdueLostShare > highOverdueLostShare,
		"overdue counts as lost: %%t, %.0f%%%% had no answer", 100*s.overdueLostShare)
}

// detectOutlier marks a node as suspected if it could not be reached or rejected a request as overload, and clears
// the mark when it answers. A node that answered nothing for the whole timeout of an attempt is stuck or overloaded.
// It is ejected for one to two such timeouts, because with hundreds of gateways one attempt from each would keep it
// in that state.
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

// recordServed updates the estimates after a served attempt: latency, rate, and the units answered during slow start.
// A placement credit is returned.
func (s *Scheduler) recordServed(node *Node, attempt *Attempt, took Time, weight float64) {
	request := attempt.Request
	if s.ownStall() == 0 {
		s.recordLatency(node, attempt, took, weight)
	}
	node.AnsweredUnits += request.Units
	if s.warmingUp(node) && !request.Write { // a node may defer part of a write until after its answer
		node.SlowStartAnswered = append(node.SlowStartAnswered, UnitSample{At: s.now, Units: request.Units})
	}
	if request.CreditNode == node {
		request.CreditNode = nil
		node.returnCredit()
	}
}

// markSuspected marks a node as unresponsive. Until it answers, requests are sent to it one at a time and at
// intervals, and new objects are placed elsewhere.
func (s *Scheduler) markSuspected(node *Node, cause string) {
	if node.Suspected {
		return
	}
	node.Suspected = true
	node.EjectedUntil = s.now + Time(float64(s.tightestObjective)*(suspectDelayMin+s.random.float64()))
	s.logf("%s is suspect: %s, %d out, last heard %d ms ago",
		node.Addr, cause, node.AttemptsInFlight, (s.now-node.LastAnswerAt)/Millisecond)
}

// ejectIfSlow ejects a node that takes longer than the objective for a mean request; the slower the node, the
// longer the ejection. One request from each of many gateways is enough to overload such a node, and it would not
// recover.
func (s *Scheduler) ejectIfSlow(node *Node, took Time) {
	excess := float64(node.expectedLatency(s.meanUnits))/float64(s.tightestObjective) - 1
	if excess <= 0 {
		return
	}
	longest := Time(maxEjectionObjectives * float64(s.tightestObjective))
	node.EjectedUntil = max(node.EjectedUntil, s.now+min(Time(excess*float64(took)), longest))
}

// adjustFairRate adjusts the rate that a node takes beyond reserves, given how long an answer waited there, in
// objectives.
func (s *Scheduler) adjustFairRate(node *Node, wait, weight float64) {
	difference := fairRateTargetWait - min(max(wait, 0), fairRateMaxWait)
	rate := node.FairRate * math.Exp(fairRateGain*weight*difference)
	node.FairRate = min(max(rate, fairRateMin), fairRateMax)
}

// checkInFlight examines an in-flight request when its timer fires. An attempt pending for longer than the objective,
// while the node has answered nothing sent later, counts once as a slow answer. An attempt presumed lost no longer
// occupies capacity. Its request is sent again if it can still meet its objective, and so is a new object whose node
// is suspected.
func (s *Scheduler) checkInFlight(request *Request) {
	attempt := request.Attempts[len(request.Attempts)-1]
	if attempt.Outcome != OutcomePending {
		return // the latest attempt has ended; an earlier one is pending
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

// countSilence counts an attempt pending for longer than the objective as a slow answer if the node has answered
// nothing sent later. This gives the same information as a late answer, but earlier.
func (s *Scheduler) countSilence(attempt *Attempt) {
	node := attempt.Node
	unanswered := node.LatestAnsweredSend <= attempt.SentAt && s.now-attempt.SentAt > s.tightestObjective
	if attempt.SilenceCounted || !unanswered || s.ownStall() > 0 {
		return
	}
	attempt.SilenceCounted = true
	s.adjustFairRate(node, 1, s.outcomeWeight(node))
}

// detectLoss presumes an overdue attempt lost if its node has a high failure rate or if most overdue attempts were
// never answered. An attempt is overdue if it has been pending for several times its expected latency while later
// ones were answered. This covers nodes and links that lose some requests, and connections that break without notice.
// The cost is a second attempt where a failing node is merely slow.
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
