package scheduler

// canDispatch reports whether a request can be sent to a node now: the node may receive and has capacity, and the
// request is within its volume's reserve or within what the node takes beyond reserves, and within the slow-start
// budget of a node that warms up. The order of the conditions counts, since some of them draw random numbers.
func (s *Scheduler) canDispatch(node *Node, request *Request) bool {
	if !s.mayReceive(node) || s.now < node.EjectedUntil {
		return false
	}
	if !node.Suspected && s.full(node, request) {
		return false
	}
	if !s.withinReserve(request) && !s.withinFairRate(node, request) {
		return false
	}
	return s.withinSlowStart(node, request)
}

// full reports whether a request would pass the limit of units in flight at a node. With nothing in flight one
// request of any size may go, and at a lightly loaded node a second one.
func (s *Scheduler) full(node *Node, request *Request) bool {
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

// withinRateLimit reports whether this gateway's part of the volume's rate limit holds a request's units. They are
// charged once, with the first attempt.
func (s *Scheduler) withinRateLimit(request *Request) bool {
	volume := request.Volume
	if request.LimitCharged || volume.ServiceLevel.RateLimit <= 0 {
		return true
	}
	return volume.RateLimit.Refill(s.now) >= request.Units
}

// withinFairRate reports whether a request beyond its volume's reserve can go. It guards against many gateways that
// each send a little too much: what one of them saw of a node is soon untrue, but how much the node takes beyond
// reserves lasts. The node's fair rate follows the waits of its answers; below its nominal value each gateway's
// part of it is divided by weight. It holds requests back where answers are dear without being late.
func (s *Scheduler) withinFairRate(node *Node, request *Request) bool {
	if s.heavilyLoaded(node) {
		return false
	}
	return node.FairRate >= 1 || s.withinExcess(node, request, node.FairRate)
}

// withinExcess reports whether this gateway's part of so much of the nominal fair rate holds a request.
func (s *Scheduler) withinExcess(node *Node, request *Request, fairRate float64) bool {
	volume := request.Volume
	flow := s.flow(node, volume)
	rate := volume.Share * volume.ServiceLevel.Weight * fairRate * s.nominalFairRate
	flow.Excess.resize(s.now, rate, rate+volume.Share*s.settings.number(settingLargestUnits))
	return s.bucketAdmits(&flow.Excess, request, &request.ExcessDraw)
}

// bucketAdmits reports whether a token bucket holds a request's units. A bucket that is smaller than the request,
// as a gateway's part of something is where there are many, admits such requests by chance, with the probability of
// its level over their units, and is emptied by each draw: so the sum over all gateways is right in the mean. A
// request draws once.
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
