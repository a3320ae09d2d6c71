package scheduler

import "fmt"

// Scheduler decides for one gateway. It knows the time of the latest call, the events so far, and its seed.
//
// A capture stores this object with all that it reaches (see StoredNames): fields keep their order and kinds.
type Scheduler struct {
	now                 Time
	startedAt           Time
	settings            Settings
	settingsReplaced    bool // the settings are not those of the start
	random              pcg32
	serviceLevels       map[string]*ServiceLevel
	classes             map[string]*RequestClass
	volumes             map[int64]*Volume
	requests            map[string]*Request // those with no final answer, or with an attempt pending
	keyQueues           map[int64]*KeyQueue
	nodesByAddress      map[string]*Node
	nodes               []*Node // in the order in which the list first named them
	unplaced            []*Request
	timers              timerHeap
	recentArrivals      []Time  // when requests came, within the window of the retry budget
	recentRetries       []Time  // when retries were sent, within that window
	tightestObjective   Time    // least latency objective of all classes
	meanUnits           float64 // units of a mean request
	nominalFairRate     float64 // units a second, per weight, that a node is open to beyond reserves
	listComplete        bool    // the list that is being received names all nodes
	listStale           bool    // the list that is being received may be out of date
	listGeneration      int     // counts lists
	overdueLostShare    float64 // share of overdue attempts that had no answer, averaged over the latest
	overdueCountsAsLost bool    // as last logged: overdueLostShare is over its threshold
	listReceivedAt      Time    // when the list was last received, or the start
	listUnresponsive    bool    // a call for the list has ended with no response since
	nextListCallAt      Time    // when to call for the list again; 0 for no need
	listBackoff         Time
	nextRoundAt         Time
	pending             *Decision // what is decided until the next call of Decide
	returned            *Decision // what the latest call of Decide returned
}

// New makes a scheduler from a seed for its draws and its settings.
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

// Decide returns what is to be done now, after all events of the moment.
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

// fireTimers looks at the requests whose timer is due.
func (s *Scheduler) fireTimers() {
	for request := s.timers.popDue(s.now); request != nil; request = s.timers.popDue(s.now) {
		if request.State == RequestInFlight {
			s.checkInFlight(request)
		} else {
			s.giveUp(request) // it can no longer be sent in time for its objective
		}
	}
}

// placeUnplaced tries to place what waits for a node, in the order in which it began to wait.
func (s *Scheduler) placeUnplaced() {
	waiting := s.unplaced
	s.unplaced = s.unplaced[len(s.unplaced):]
	for _, request := range waiting {
		if request.State == RequestUnplaced && !s.place(request) {
			s.unplaced = append(s.unplaced, request)
		}
	}
}

// takeDecision hands over what is decided and makes room for the next decision. The two objects take turns, so that
// their lists are used again.
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

// periodicRound does the periodic work: it calls for the endpoint list when that is due, forgets keys that are not
// in use, and looks at each node.
func (s *Scheduler) periodicRound() {
	if s.nextListCallAt > 0 && s.now >= s.nextListCallAt {
		s.nextListCallAt = 0
		s.pending.WatchEndpoints = true
	}
	for key, queue := range s.keyQueues { // the order of the map reaches no decision
		if len(queue.Requests) == 0 && queue.BlockedUntil <= s.now {
			delete(s.keyQueues, key)
		}
	}
	for _, node := range s.nodes {
		s.inspectNode(node)
	}
	interval := max(s.tightestObjective/roundsPerObjective, Millisecond)
	s.nextRoundAt = s.now + min(interval, listBackoffInitial) // calls for the list wait for a round too
}

// inspectNode does the periodic work for one node.
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

// HealthChecked records the outcome of a health check. The scheduler asks for none, and learns only the time.
func (s *Scheduler) HealthChecked(now Time, _ string, _ Outcome, _ Time) { s.now = now }

// logTransition logs when a condition becomes true or false, with its cause. The format is applied twice: once to
// args, and once to the condition, whose verb is written %%t.
func (s *Scheduler) logTransition(logged *bool, isTrue bool, format string, args ...any) {
	if *logged != isTrue {
		*logged = isTrue
		s.logf(fmt.Sprintf(format, args...), isTrue)
	}
}

// logf adds a line to the decision's log. A replay compares these lines with those of the capture: their text is
// part of what is decided.
func (s *Scheduler) logf(format string, args ...any) {
	s.pending.Log = append(s.pending.Log, fmt.Sprintf(format, args...))
}
