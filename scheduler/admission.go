package scheduler

// canDispatch reports whether a request can be sent to a node now: the node accepts requests and has capacity, the
// request is within its volume's reserve or within what the node takes beyond reserves, and it is within the
// slow-start budget if the node is warming up. The order of the conditions matters because some of them draw random
// numbers.
func (s *Scheduler) canDispatch(node *Node, request *Request) bool {
	if !s.mayReceive(node) || s.now < node.EjectedUntil {
		return false
	}
	if !node.Suspected && s.exceedsInFlightLimit(node, request) {
		return false
	}
	if !s.withinReserve(request) && !s.withinFairRate(node, request) {
		return false
	}
	return s.withinSlowStart(node, request)
}

// exceedsInFlightLimit reports whether a request would exceed the limit of units in flight at a node. If nothing is
// in flight, one request of any size is allowed; at a lightly loaded node, a second one is too.
func (s *Scheduler) exceedsInFlightLimit(node *Node, request *Request) bool {
	if node.AttemptsInFlight == 0 {
		return false
	}
	over := node.UnitsInFlight+request.Units > s.inFlightLimit(node)
	return over && (node.AttemptsInFlight > 1 || !s.lightlyLoaded(node))
}

// withinReserve reports whether a request is within its volume's reserve.
func (s *Scheduler) withinReserve(request *Request) bool {
	return s.bucketAdmits(&request.Volume.Reserve, request, &request.ReserveDraw)
}

// withinRateLimit reports whether this gateway's part of the volume's rate limit covers the request. The units are
// charged only once, with the first attempt.
func (s *Scheduler) withinRateLimit(request *Request) bool {
	volume := request.Volume
	if request.LimitCharged || volume.ServiceLevel.RateLimit <= 0 {
		return true
	}
	return volume.RateLimit.Refill(s.now) >= request.Units
}

// withinFairRate reports whether a request beyond its volume's reserve can be sent. It prevents many gateways from
// overloading a node by each sending slightly too much: a gateway's view of the current load is soon outdated, but
// the rate that a node takes beyond reserves changes slowly. That rate, the fair rate, is adjusted by how long
// answers have waited at the node. While it is below its nominal value, each gateway's part of it is divided by
// weight. The drawback is that requests are held back where answers are slow but still within the objective.
func (s *Scheduler) withinFairRate(node *Node, request *Request) bool {
	if s.heavilyLoaded(node) {
		return false
	}
	return node.FairRate >= 1 || s.withinExcess(node, request, node.FairRate)
}

// withinExcess reports whether this gateway's part of the given fraction of the nominal fair rate covers a request.
func (s *Scheduler) withinExcess(node *Node, request *Request, fairRate float64) bool {
	volume := request.Volume
	flow := s.flow(node, volume)
	rate := volume.Share * volume.ServiceLevel.Weight * fairRate * s.nominalFairRate
	flow.Excess.resize(s.now, rate, rate+volume.Share*s.settings.number(settingLargestUnits))
	return s.bucketAdmits(&flow.Excess, request, &request.ExcessDraw)
}

// bucketAdmits reports whether a token bucket covers a request. A bucket with less capacity than the request's units,
// which is common when a budget is split over many gateways, admits it at random with probability level/units. Each
// draw empties the bucket, so that the expected total over all gateways is correct. A request draws only once per
// bucket.
func (s *Scheduler) bucketAdmits(bucket *TokenBucket, request *Request, draw *AdmissionDraw) bool {
	level := bucket.Refill(s.now)
	if bucket.Capacity >= request.Units || bucket.Rate <= 0 {
		return bucket.Rate > 0 && level >= request.Units
	}
	if *draw == NotDrawn {
		*draw = DrawDenied
		if s.random.float64()*request.Units < level {
			*draw = DrawAdmitted
		}
		bucket.Level = min(level, 0)
	}
	return *draw == DrawAdmitted
}
