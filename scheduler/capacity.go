package scheduler

import "math"

// serviceRate returns the rate at which a node answers this gateway, in units per second of busy time. For a node
// that is not measured yet it is the average of the measured ones; if there are none, it is the rate at which the
// limit of units in flight has its initial value.
func (s *Scheduler) serviceRate(node *Node) float64 {
	if node.Measured {
		return max(node.AnsweredUnits/node.BusySeconds, minServiceRate)
	}
	if rate := s.meanServiceRate(); rate > 0 {
		return rate
	}
	return initialLimitRequests * s.meanUnits / (inFlightShareInitial * float64(s.tightestObjective) / float64(Second))
}

// meanServiceRate returns the average rate of the measured nodes, in units per second of busy time, or 0 if there are
// none.
func (s *Scheduler) meanServiceRate() float64 {
	return s.averageOverMeasured(func(node *Node) float64 { return node.AnsweredUnits / node.BusySeconds })
}

// averageOverMeasured averages a value over the nodes that are measured, ready and not warming up. It returns 0 if
// there are none.
func (s *Scheduler) averageOverMeasured(value func(*Node) float64) float64 {
	sum, count := 0.0, 0.0
	for _, node := range s.nodes {
		if node.Measured && node.State == EndpointReady && !s.warmingUp(node) {
			sum += value(node)
			count++
		}
	}
	return sum / max(count, 1)
}

// inFlightLimit returns the limit of units in flight at a node: what the node answers in its share of the objective.
func (s *Scheduler) inFlightLimit(node *Node) float64 {
	limit := s.serviceRate(node) * node.InFlightShare * float64(s.tightestObjective) / float64(Second)
	return min(limit, maxLimitRequests*s.meanUnits)
}

// expectedLatency returns the expected latency of a request of the given units, by linear regression over the node's
// latest answers.
func (n *Node) expectedLatency(units float64) Time {
	if n.UnitsVariance < minUnitsVariance {
		return Time(n.MeanLatency)
	}
	perUnit := max(n.UnitsLatencyCovariance, 0) / n.UnitsVariance
	return Time(max(n.MeanLatency+perUnit*(units-n.MeanUnits), n.MeanLatency/minLatencyDivisor))
}

// lightlyLoaded reports whether a node serves a mean request so quickly that a second attempt may exceed the
// limit of units in flight, which one large request can fill. The estimate is wrong where many gateways share a node
// and each of them finds it lightly loaded.
func (s *Scheduler) lightlyLoaded(node *Node) bool {
	threshold := Time(lightLoadThreshold * float64(s.tightestObjective))
	return node.Measured && node.expectedLatency(s.meanUnits) < threshold
}

// heavilyLoaded reports whether a node's recent answers show that it is slow for a mean request. Such a node is
// left to requests within reserves; otherwise one gateway would send requests beyond reserves while another gives up
// reserved ones.
func (s *Scheduler) heavilyLoaded(node *Node) bool {
	threshold := Time(heavyLoadThreshold * float64(s.tightestObjective))
	recent := s.now-node.LastAnswerAt < s.tightestObjective
	return node.Measured && recent && node.expectedLatency(s.meanUnits) > threshold
}

// ownStall returns for how long this gateway itself has stalled until now: the delay of its periodic round if that
// exceeds one interval, else 0. Latencies observed after a stall say nothing about the nodes. A gateway whose every
// step is late learns no latencies at all.
func (s *Scheduler) ownStall() Time {
	late := s.now - s.nextRoundAt
	if s.nextRoundAt > 0 && late > s.tightestObjective/roundsPerObjective {
		return late
	}
	return 0
}

// advanceBusyTime accounts a node's busy time up to now. Answered units and busy time decay together, so their
// quotient is the rate over recent busy time.
func (s *Scheduler) advanceBusyTime(node *Node) {
	if node.AttemptsInFlight > 0 && node.Measured {
		seconds := float64(max(s.now-node.BusyUpdatedAt-s.ownStall(), 0)) / float64(Second)
		decay := math.Exp(-seconds / (rateMemoryObjectives * float64(s.tightestObjective) / float64(Second)))
		node.AnsweredUnits *= decay
		node.BusySeconds = node.BusySeconds*decay + seconds
	}
	node.BusyUpdatedAt = s.now
}

// recordLatency updates the node's estimates with the latency of a served attempt, using the given weight in moving
// averages.
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

// recordFirstLatency initialises the estimates of a node from its first answer. The service rate starts at the
// average of the other nodes, which was used in its place until now. The base latency is that of the answer or, if
// lower, the average base latency of the measured nodes.
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

// recordBaseLatency moves the base latency towards an answer's latency, scaled to a mean request. It falls
// quickly and rises slowly, because most slower answers include time spent waiting.
func (n *Node) recordBaseLatency(meanRequestLatency, weight float64) {
	if meanRequestLatency < n.BaseLatency {
		n.BaseLatency += weight * (meanRequestLatency - n.BaseLatency)
	} else {
		n.BaseLatency += baseLatencyRiseWeight * (meanRequestLatency - n.BaseLatency)
	}
}

// recordLatencyByUnits updates the moving averages that expectedLatency uses for its regression.
func (n *Node) recordLatencyByUnits(latency, units, weight float64) {
	n.MeanLatency += weight * (latency - n.MeanLatency)
	n.MeanUnits += weight * (units - n.MeanUnits)
	deviation := units - n.MeanUnits
	n.UnitsVariance += weight * (deviation*deviation - n.UnitsVariance)
	n.UnitsLatencyCovariance += weight * (deviation*(latency-n.MeanLatency) - n.UnitsLatencyCovariance)
}

// adjustInFlightShare adjusts the share of the objective that limits the units in flight. An answer within its
// objective increases the share. A late answer to an attempt that was sent in time decreases it: the node has fallen
// behind its measured rate.
func (n *Node) adjustInFlightShare(attempt *Attempt, now Time) {
	deadline := attempt.Request.ObjectiveDeadline
	switch {
	case now <= deadline:
		n.InFlightShare = min(n.InFlightShare*inFlightShareIncrease, inFlightShareMax)
	case attempt.SentAt < deadline:
		n.InFlightShare = max(n.InFlightShare*inFlightShareDecrease, inFlightShareMin)
	}
}

// recordServedUnits counts units of a volume served through this gateway and through others, and updates this
// gateway's share of the volume's entitlement. The share is this gateway's part of the units served, but at least an
// even split; without it, each of many gateways would grant the volume its full entitlement. The share is wrong while
// the nodes' reports are late.
func (s *Scheduler) recordServedUnits(volume *Volume, here, elsewhere float64) {
	decay := math.Exp(-float64(s.now-volume.ServedUpdatedAt) / float64(shareMemory))
	volume.ServedHere = volume.ServedHere*decay + here
	volume.ServedElsewhere = volume.ServedElsewhere*decay + elsewhere
	volume.ServedUpdatedAt = s.now
	volume.Share = 1 / volume.GatewayCount
	if s.settings.flag(settingReportsUsage) {
		initial := shareInitialRequests * s.meanUnits
		served := volume.ServedHere + volume.ServedElsewhere + initial
		volume.Share = max(volume.Share, (volume.ServedHere+initial*volume.Share)/served)
	}
	reserve := volume.ServiceLevel.Reserve
	volume.Reserve.resize(s.now, volume.Share*reserve, volume.Share*(reserve+s.settings.number(settingLargestUnits)))
}
