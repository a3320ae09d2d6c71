package scheduler

import "fmt"

// Scheduler makes the scheduling decisions of one gateway. Its state depends only on the seed and on the calls made
// so far.
//
// Captures store this object and everything that it reaches (see StoredNames), so fields keep their order and kinds.
type Scheduler struct {
	now                 Time
	startedAt           Time
	settings            Settings
	settingsReplaced    bool // ApplySettings has been called
	random              pcg32
	serviceLevels       map[string]*ServiceLevel
	classes             map[string]*RequestClass
	volumes             map[int64]*Volume
	requests            map[string]*Request // those without a final answer or with a pending attempt, by ID
	keyQueues           map[int64]*KeyQueue
	nodesByAddress      map[string]*Node
	nodes               []*Node // in the order in which endpoint lists first named them
	unplaced            []*Request
	timers              timerHeap
	recentArrivals      []Time  // arrival times of requests, within the window of the retry budget
	recentRetries       []Time  // times at which retries were sent, within that window
	tightestObjective   Time    // the shortest latency objective of all classes
	meanUnits           float64 // units of a mean request
	nominalFairRate     float64 // rate beyond reserves that a node takes, in units per second and weight
	listComplete        bool    // the list being received names all nodes
	listStale           bool    // the list being received may be out of date
	listGeneration      int     // number of lists received so far
	overdueLostShare    float64 // moving average of the share of overdue attempts that were never answered
	overdueCountsAsLost bool    // as last logged: overdueLostShare is above its threshold
	listReceivedAt      Time    // when an up-to-date list was last received, initially the start time
	listUnresponsive    bool    // a call for the list has since ended without any response
	nextListCallAt      Time    // when to call for the list again; 0 if no call is due
	listBackoff         Time
	nextRoundAt         Time
	pending             *Decision // collects the next result of Decide
	returned            *Decision // the latest result of Decide
}

// New creates a scheduler with the given settings. The seed determines its random draws.
func New(now Time, seed uint64, settings Settings) *Scheduler {
	s := &Scheduler{
		now:            now,
		startedAt:      now,
		settings:       settings,
		random:         newPCG32(seed),
		serviceLevels:  map[string]*ServiceLevel{},
		classes:        map[string]*RequestClass{},
		volumes:        map[int64]*Volume{},
		requests:       map[string]*Request{},
		keyQueues:      map[int64]*KeyQueue{},
		nodesByAddress: map[string]*Node{},
		pending:        &Decision{},
		returned:       &Decision{},
		listBackoff:    listBackoffInitial,
		listReceivedAt: now,
	}
	s.loadSettings()
	s.pending.WatchEndpoints = settings[settingDiscovery] == discoveryPull
	return s
}

// Decide returns the actions to take now. It is called after all events of the same instant.
func (s *Scheduler) Decide(now Time) *Decision {
	s.now = now
	s.fireTimers()
	if now >= s.nextRoundAt {
		s.periodicRound()
	}
	s.placeUnplaced()
	for _, node := range s.nodes {
		if node.dirty {
			node.dirty = false
			s.dispatchQueued(node)
		}
	}
	return s.takeDecision()
}

// fireTimers handles the requests whose timers are due.
func (s *Scheduler) fireTimers() {
	for request := s.timers.popDue(s.now); request != nil; request = s.timers.popDue(s.now) {
		if request.State == RequestInFlight {
			s.checkInFlight(request)
		} else {
			s.giveUp(request) // too late to be sent and still meet the objective
		}
	}
}

// placeUnplaced tries to place the unplaced requests, those that have waited longest first.
func (s *Scheduler) placeUnplaced() {
	waiting := s.unplaced
	s.unplaced = s.unplaced[len(s.unplaced):]
	for _, request := range waiting {
		if request.State == RequestUnplaced && !s.place(request) {
			s.unplaced = append(s.unplaced, request)
		}
	}
}

// takeDecision returns the pending decision and starts a new one. Two Decision objects alternate so that their slices
// are reused.
func (s *Scheduler) takeDecision() *Decision {
	decision := s.pending
	decision.NextWake = s.nextRoundAt
	if at := s.timers.earliest(); at > 0 {
		decision.NextWake = min(decision.NextWake, at)
	}
	s.pending, s.returned = s.returned, decision
	*s.pending = Decision{
		Finished: s.pending.Finished[:0],
		Cancel:   s.pending.Cancel[:0],
		Dispatch: s.pending.Dispatch[:0],
		Log:      s.pending.Log[:0],
	}
	return decision
}

// periodicRound does the periodic work: it requests the endpoint list when that is due, drops unused key queues and
// inspects each node.
func (s *Scheduler) periodicRound() {
	if s.nextListCallAt > 0 && s.now >= s.nextListCallAt {
		s.nextListCallAt = 0
		s.pending.WatchEndpoints = true
	}
	for key, queue := range s.keyQueues { // the iteration order affects no decision
		if len(queue.Requests) == 0 && queue.BlockedUntil <= s.now {
			delete(s.keyQueues, key)
		}
	}
	for _, node := range s.nodes {
		s.inspectNode(node)
	}
	interval := max(s.tightestObjective/roundsPerObjective, Millisecond)
	s.nextRoundAt = s.now + min(interval, listBackoffInitial) // calls for the list are made in rounds too
}

// inspectNode does the periodic work for one node: it detects an unresponsive node, logs state changes and returns
// placement credits.
func (s *Scheduler) inspectNode(node *Node) {
	node.dirty = true
	silence := s.now - node.LastAnswerAt - s.ownStall()
	if node.AttemptsInFlight > 0 && silence > s.tightestObjective+Time(suspectAfterLatencies*node.MeanLatency) {
		s.markSuspected(node, "answers nothing")
	}
	s.logTransition(&node.FairRateReduced, node.FairRate < 1,
		"%s is strained: %%t, fair rate %.0f%%%% of its start", node.Addr, 100*node.FairRate)
	s.logTransition(&node.FailureRateHigh, node.FailureRate > highFailureRate,
		"%s fails some: %%t, %.0f%%%%", node.Addr, 100*node.FailureRate)
	creditInterval := Time(creditReturnObjectives * float64(s.tightestObjective))
	if node.PlacementCredits < maxPlacementCredits && s.now-node.CreditReturnedAt >= creditInterval {
		node.CreditReturnedAt = s.now
		node.returnCredit()
	}
}

// HealthChecked records the result of a health check. The scheduler requests none at present and uses only the time.
func (s *Scheduler) HealthChecked(now Time, _ string, _ Outcome, _ Time) { s.now = now }

// logTransition logs a condition when it becomes true or false. The format is applied twice: first to args, then to
// the condition, whose verb is therefore written %%t.
func (s *Scheduler) logTransition(logged *bool, isTrue bool, format string, args ...any) {
	if *logged != isTrue {
		*logged = isTrue
		s.logf(fmt.Sprintf(format, args...), isTrue)
	}
}

// logf adds a line to the decision's log. A replay compares these lines with those of the capture, so their text is
// part of the decision.
func (s *Scheduler) logf(format string, args ...any) {
	s.pending.Log = append(s.pending.Log, fmt.Sprintf(format, args...))
}
