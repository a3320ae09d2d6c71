package scheduler

import (
	"cmp"
	"slices"
)

// ApplySettings has the scheduler work from other settings from now on. What is in flight goes on, and each request
// keeps the strictest idempotency that its class has had since it came. Of a service level or class that is not in
// the new settings, what waits is given up at once, nothing is sent again, and what comes is rejected, until it is
// back.
func (s *Scheduler) ApplySettings(now Time, settings Settings) {
	s.now = now
	s.settingsReplaced = true
	s.useUpRetryBudget(settings)
	s.settings = settings
	s.loadSettings()
	for _, volume := range s.volumes { // the order of the map reaches no decision
		s.resizeRateLimit(volume)
		s.recordServedUnits(volume, 0, 0)
	}
	for _, request := range s.requests { // the order of the map reaches no decision
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

// useUpRetryBudget takes the whole budget for retries where its window gets longer: what was sent before the
// shorter window is not known.
func (s *Scheduler) useUpRetryBudget(settings Settings) {
	if settings.duration(settingRetryWindow) <= s.settings.duration(settingRetryWindow) {
		return
	}
	budget := settings.number(settingFreeRetries) + settings.number(settingRetryShare)*float64(len(s.recentArrivals))
	s.recentRetries = slices.Repeat([]Time{s.now}, 1+int(budget))
}

// resizeRateLimit sets a volume's rate limit to its service level's. Where there was none, it is not known
// what was sent: its bucket begins empty.
func (s *Scheduler) resizeRateLimit(volume *Volume) {
	if volume.RateLimit.Rate <= 0 {
		volume.RateLimit = TokenBucket{UpdatedAt: s.now}
	}
	level := volume.ServiceLevel
	volume.RateLimit.resize(s.now, level.RateLimit/volume.GatewayCount, level.Burst/volume.GatewayCount)
}

// reclassify gives a request the class that its name means now, with the stricter idempotency of both. Where the
// class has become ordered, requests of its key that come later wait until this one is surely over.
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
	request.Class = stricter(request.Class, class)
}

// giveUpRemoved gives up what waits in a flow whose service level, or of classes which, are not in the settings any
// more.
func (s *Scheduler) giveUpRemoved(flow *Flow) {
	for _, request := range slices.Clone(flow.Queue) {
		if request.removedFromSettings() {
			s.giveUp(request)
		}
	}
}

// loadSettings takes service levels, classes and figures from the settings.
func (s *Scheduler) loadSettings() {
	s.loadServiceLevels()
	s.loadClasses()
	s.meanUnits = max(s.settings.number(settingMeanUnits), minMeanUnits)
}

// loadServiceLevels takes the service levels from the settings. A level stays the same object, so that its volumes
// stay its own.
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
	for _, level := range s.serviceLevels { // a multiple of what it is sized for stands in
		level.Reserve = defaultReserveFactor * level.NominalRate
	}
}

// loadClasses takes the request classes from the settings.
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

// stricter returns a class under which a repeat is allowed only where it is under both. All else is the later
// class's.
func stricter(earlier, later *RequestClass) *RequestClass {
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
		class.Idempotency = NonIdempotent // no node is sure to recognise a repeat under both
	}
	return &class
}
