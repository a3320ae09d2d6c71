package scheduler

import (
	"cmp"
	"slices"
)

// ApplySettings replaces the settings. Requests in flight continue, and each request keeps the strictest idempotency
// that its class has had since it was submitted. For a service level or class that the new settings lack, waiting
// requests are given up at once, nothing is sent again, and new requests are rejected, until the settings contain it
// again.
func (s *Scheduler) ApplySettings(now Time, settings Settings) {
	s.now = now
	s.settingsReplaced = true
	s.exhaustRetryBudget(settings)
	s.settings = settings
	s.loadSettings()
	for _, volume := range s.volumes { // the iteration order affects no decision
		s.resizeRateLimit(volume)
		s.recordServedUnits(volume, 0, 0)
	}
	for _, request := range s.requests { // the iteration order affects no decision
		s.reclassify(request)
	}
	for _, node := range s.nodes {
		for _, flow := range node.Flows {
			s.giveUpRemoved(flow)
		}
	}
	s.logf("other terms: %d plans and %d products are known, %d jobs",
		len(s.serviceLevels), len(s.classes), len(s.requests))
}

// exhaustRetryBudget uses up the whole retry budget if its window becomes longer, because retries sent before the
// shorter window are not known.
func (s *Scheduler) exhaustRetryBudget(settings Settings) {
	if settings.duration(settingRetryWindow) <= s.settings.duration(settingRetryWindow) {
		return
	}
	budget := settings.number(settingFreeRetries) + settings.number(settingRetryShare)*float64(len(s.recentArrivals))
	s.recentRetries = slices.Repeat([]Time{s.now}, 1+int(budget))
}

// resizeRateLimit sets a volume's rate limit to that of its service level. If there was no limit before, the bucket
// starts empty, because it is not known what has been sent.
func (s *Scheduler) resizeRateLimit(volume *Volume) {
	if volume.RateLimit.Rate <= 0 {
		volume.RateLimit = TokenBucket{UpdatedAt: s.now}
	}
	level := volume.ServiceLevel
	volume.RateLimit.resize(s.now, level.RateLimit/volume.GatewayCount, level.Burst/volume.GatewayCount)
}

// reclassify assigns a request the current class of the same name, with the stricter idempotency of the old and new
// class. If the class has become ordered, later requests with the same key wait until this one is certainly over.
func (s *Scheduler) reclassify(request *Request) {
	class := s.classes[request.Class.Name]
	if class == request.Class || request.State.Terminal() {
		return
	}
	if class.Ordered && !request.Class.Ordered {
		queue := cmp.Or(s.keyQueues[request.Key], &KeyQueue{})
		queue.BlockedUntil = max(queue.BlockedUntil, request.Deadline)
		s.keyQueues[request.Key] = queue
	}
	request.Class = stricterClass(request.Class, class)
}

// giveUpRemoved gives up the queued requests of a flow whose service level or class is no longer in the settings.
func (s *Scheduler) giveUpRemoved(flow *Flow) {
	for _, request := range slices.Clone(flow.Queue) {
		if request.removedFromSettings() {
			s.giveUp(request)
		}
	}
}

// loadSettings reads service levels, request classes and the mean request size from the settings.
func (s *Scheduler) loadSettings() {
	s.loadServiceLevels()
	s.loadClasses()
	s.meanUnits = max(s.settings.number(settingMeanUnits), minMeanUnits)
}

// loadServiceLevels reads the service levels from the settings. The object of a known level is updated in place
// because its volumes refer to it.
func (s *Scheduler) loadServiceLevels() {
	for _, level := range s.serviceLevels {
		level.Removed = true
	}
	anyReserve, rates, weights := false, 0.0, 0.0
	for i := range s.settings.count(listServiceLevels) {
		level := s.settings.serviceLevel(i)
		level.Weight = cmp.Or(max(level.Weight, 0), 1)
		anyReserve = anyReserve || level.Reserve > 0
		rates += level.NominalRate
		weights += level.Weight
		known := cmp.Or(s.serviceLevels[level.Name], &ServiceLevel{})
		level.EarlyCancelShare = known.EarlyCancelShare
		level.EarlyCancelAfter = known.EarlyCancelAfter
		level.ClientsCancelEarly = known.ClientsCancelEarly
		*known = *level
		s.serviceLevels[level.Name] = known
	}
	s.nominalFairRate = rates / max(weights, minTotalWeight)
	if anyReserve {
		return
	}
	for _, level := range s.serviceLevels { // if there is no reserve, use a multiple of the nominal rate
		level.Reserve = defaultReserveFactor * level.NominalRate
	}
}

// loadClasses reads the request classes from the settings.
func (s *Scheduler) loadClasses() {
	for _, class := range s.classes {
		class.Removed = true
	}
	s.tightestObjective = 0
	for i := range s.settings.count(listRequestClasses) {
		class := s.settings.requestClass(i)
		objective := class.LatencyObjective
		if objective > 0 && (s.tightestObjective == 0 || objective < s.tightestObjective) {
			s.tightestObjective = objective
		}
		class.LongestTimeRemaining = cmp.Or(s.classes[class.Name], class).LongestTimeRemaining
		s.classes[class.Name] = class
	}
	s.tightestObjective = max(s.tightestObjective, minObjective)
}

// stricterClass returns a class that allows a repeat only where both classes allow it. Everything else is taken from
// the later class.
func stricterClass(earlier, later *RequestClass) *RequestClass {
	class := *later
	class.DedupWindow = min(earlier.DedupWindow, later.DedupWindow)
	switch {
	case earlier.Idempotency == Idempotent:
		return later
	case later.Idempotency == Idempotent:
		class.Idempotency = earlier.Idempotency
		class.DedupScope = earlier.DedupScope
		class.DedupWindow = earlier.DedupWindow
	case earlier.Idempotency == NonIdempotent || earlier.DedupScope != later.DedupScope:
		class.Idempotency = NonIdempotent // no node is certain to recognise a repeat under both
	}
	return &class
}
