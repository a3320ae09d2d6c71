package scheduler

import "math"

// serviceRate is what a node answers to this gateway, in units a second of busy time. A node that is not measured yet
// counts as the average of the others; while none is, the limit of units in flight stands at its initial value.
func (s *Scheduler) serviceRate(node *Node) float64 {
	if node.Measured {
		return max(node.AnsweredUnits/node.BusySeconds, minServiceRate)
	}
	if rate := s.meanServiceRate(); rate > 0 {
		return rate
	}
	return initialLimitRequests * s.meanUnits / (inFlightShareInitial * float64(s.tightestObjective) / float64(Second))
}

// meanServiceRate is the average rate of the measured nodes, in units a second of busy time, or 0 if there is none.
func (s *Scheduler) meanServiceRate() float64 {
	return s.averageOverMeasured(func(node *Node) float64 { return node.AnsweredUnits / node.BusySeconds })
}

// averageOverMeasured averages a figure over the nodes that are measured, ready and warm. It is 0 if there are none.
func (s *Scheduler) averageOverMeasured(figure func(*Node) float64) float64 {
	sum, count := 0.0, 0.0
	for _, node := range s.nodes {
		if node.Measured && node.State == EndpointReady && !s.warmingUp(node) {
			sum += figure(node)
			count++
		}
	}
	return sum / max(count, 1)
}

// inFlightLimit is the most units that may be in flight at a node: what it answers in its share of the objective.
func (s *Scheduler) inFlightLimit(node *Node) float64 {
	limit := s.serviceRate(node) * node.InFlightShare * float64(s.tightestObjective) / float64(Second)
	return min(limit, maxLimitRequests*s.meanUnits)
}

// expectedLatency is the time that the node is expected to take for a request of so many units, by a line through its
// latest answers.
func (n *Node) expectedLatency(units float64) Time {
	if n.UnitsVariance < minUnitsVariance {
		return Time(n.MeanLatency)
	}
	perUnit := max(n.UnitsLatencyCovariance, 0) / n.UnitsVariance
	return Time(max(n.MeanLatency+perUnit*(units-n.MeanUnits), n.MeanLatency/minLatencyDivisor))
}

// lightlyLoaded reports whether a node takes so little for a mean request that a second attempt may pass the limit of
// units in flight, as one large request fills it. This is wrong where many gateways share a node and each sees it so.
func (s *Scheduler) lightlyLoaded(node *Node) bool {
	threshold := Time(lightLoadThreshold * float64(s.tightestObjective))
	return node.Measured && node.expectedLatency(s.meanUnits) < threshold
}

// heavilyLoaded reports whether a node has lately shown that it is slow for a mean request. It is left to requests
// within reserves then, since otherwise one gateway would send requests beyond them while another gives up reserved
// ones.
func (s *Scheduler) heavilyLoaded(node *Node) bool {
	threshold := Time(heavyLoadThreshold * float64(s.tightestObjective))
	lately := s.now-node.LastAnswerAt < s.tightestObjective
	return node.Measured && lately && node.expectedLatency(s.meanUnits) > threshold
}

// ownStall is how long this gateway itself stood still before now: by how much its periodic round is overdue, if
// that is more than an interval. Latencies found then do not tell how long nodes took. Where every step of a gateway
// comes late it learns no latencies at all.
func (s *Scheduler) ownStall() Time {
	late := s.now - s.nextRoundAt
	if s.nextRoundAt > 0 && late > s.tightestObjective/roundsPerObjective {
		return late
	}
	return 0
}

// advanceBusyTime counts a node's busy time up to now. Units and busy time decay together, so that their quotient
// is the rate over the latest busy time.
func (s *Scheduler) advanceBusyTime(node *Node) {
	if node.AttemptsInFlight > 0 && node.Measured {
		seconds := float64(max(s.now-node.BusyUpdatedAt-s.ownStall(), 0)) / float64(Second)
		decay := math.Exp(-seconds / (rateMemoryObjectives * float64(s.tightestObjective) / float64(Second)))
		node.AnsweredUnits *= decay
		node.BusySeconds = node.BusySeconds*decay + seconds
	}
	node.BusyUpdatedAt = s.now
}

// recordLatency learns from how long a served attempt took. The weight is that of its outcome.
func (s *Scheduler) recordLatency(node *Node, attempt *Attempt, took Time, weight float64) {
	latency := float64(took)
	units := attempt.Request.Units
	if !node.Measured {
		s.recordFirstLatency(node, latency, units)
	}
	wait := latency - node.BaseLatency*max(units/s.meanUnits, 1)
	s.adjustFairRate(node, wait/float64(s.tightestObjective), weight)
	node.recordBaseLatency(latency*s.meanUnits/units, weight)
	node.recordLatencyByUnits(latency, units, weight)
	node.adjustInFlightShare(attempt, s.now)
	s.ejectIfSlow(node, took)
}

// recordFirstLatency begins the estimates of a node with its first answer. Its rate, until now the average of the
// others, is taken over; its base latency is that of the others where they do better at their best.
func (s *Scheduler) recordFirstLatency(node *Node, latency, units float64) {
	rate := s.serviceRate(node)
	node.Measured = true
	node.BusySeconds = float64(s.tightestObjective) / float64(Second)
	node.AnsweredUnits = rate * node.BusySeconds
	node.MeanLatency = latency
	node.MeanUnits = units
	node.UnitsVariance = 0
	node.UnitsLatencyCovariance = 0
	node.BaseLatency = latency * s.meanUnits / units
	others := s.averageOverMeasured(func(node *Node) float64 { return node.BaseLatency })
	node.BaseLatency = min(node.BaseLatency, others)
}

// recordBaseLatency moves the base latency towards an answer's latency, scaled to a mean request: quickly down, and
// slowly up, since most answers that are slower have waited.
func (n *Node) recordBaseLatency(meanRequestLatency, weight float64) {
	if meanRequestLatency < n.BaseLatency {
		n.BaseLatency += weight * (meanRequestLatency - n.BaseLatency)
	} else {
		n.BaseLatency += baseLatencyRiseWeight * (meanRequestLatency - n.BaseLatency)
	}
}

// recordLatencyByUnits moves the averages from which expectedLatency has its line.
func (n *Node) recordLatencyByUnits(latency, units, weight float64) {
	n.MeanLatency += weight * (latency - n.MeanLatency)
	n.MeanUnits += weight * (units - n.MeanUnits)
	deviation := units - n.MeanUnits
	n.UnitsVariance += weight * (deviation*deviation - n.UnitsVariance)
	n.UnitsLatencyCovariance += weight * (deviation*(latency-n.MeanLatency) - n.UnitsLatencyCovariance)
}

// adjustInFlightShare widens the share of the objective whose answers may be in flight for an answer within its
// objective, and narrows it for one that was sent in time and came late: the node has fallen behind the rate that
// was measured.
func (n *Node) adjustInFlightShare(attempt *Attempt, now Time) {
	deadline := attempt.Request.ObjectiveDeadline
	switch {
	case now <= deadline:
		n.InFlightShare = min(n.InFlightShare*inFlightShareIncrease, inFlightShareMax)
	case attempt.SentAt < deadline:
		n.InFlightShare = max(n.InFlightShare*inFlightShareDecrease, inFlightShareMin)
	}
}

// recordServedUnits counts units of a volume served here and through other gateways, and sets this gateway's share
// of what the volume is due: its share of the service, but at least the even one. Otherwise each of many gateways
// would give the volume all of it. The share is wrong while nodes' reports are late.
func (s *Scheduler) recordServedUnits(volume *Volume, here, elsewhere float64) {
	decay := math.Exp(-float64(s.now-volume.ServedUpdatedAt) / float64(shareMemory))
	volume.ServedHere = volume.ServedHere*decay + here
	volume.ServedElsewhere = volume.ServedElsewhere*decay + elsewhere
	volume.ServedUpdatedAt = s.now
	volume.Share = 1 / volume.GatewayCount
	if s.settings.flag(settingSharesUsage) {
		initial := shareInitialRequests * s.meanUnits
		served := volume.ServedHere + volume.ServedElsewhere + initial
		volume.Share = max(volume.Share, (volume.ServedHere+initial*volume.Share)/served)
	}
	reserve := volume.ServiceLevel.Reserve
	volume.Reserve.resize(s.now, volume.Share*reserve, volume.Share*(reserve+s.settings.number(settingLargestUnits)))
}
