package audit

// integrationStep is the step, in nanoseconds, in which the capacity of a node that warms up is summed.
const (
	integrationStep           = int64(1e7)
	integrationStepsPerSecond = 100
)

// SlowStartSummary is how nodes that warmed up were loaded.
type SlowStartSummary struct {
	Nodes         int     `json:"nodes"`  // that warmed up
	Overloaded    int     `json:"fallen"` // that stopped, as they were sent too much
	PeakRatio     float64 `json:"worst"`  // the most that one was sent in a window, relative to what it tolerates
	UnitsSent     float64 `json:"units"`  // sent to all while they warmed up
	UnitsPossible float64 `json:"could"`  // that they could execute in that time
}

// SummarizeSlowStart summarizes the load of nodes that warmed up.
func SummarizeSlowStart(events []Event, parameters Parameters) SlowStartSummary {
	t := &trace{parameters: parameters, events: sortedByTime(events)}
	summary := SlowStartSummary{}
	t.walkSlowStart(slowStartVisitor{
		started: func(start Event, until int64) {
			summary.Nodes++
			for at := start.At; at < until; at += integrationStep {
				summary.UnitsPossible += parameters.capacityAt(start, at) / integrationStepsPerSecond
			}
		},
		received: func(load windowLoad) {
			summary.PeakRatio = max(summary.PeakRatio, load.units/load.tolerated)
			summary.UnitsSent += load.attempt.Units
		},
		overloaded: func(Event) { summary.Overloaded++ },
	})
	return summary
}

// checkSlowStart: what all gateways send to a node that warms up stays, in any window, under the multiple of its
// capacity or under the free units, and no node was overloaded.
func (t *trace) checkSlowStart() RuleResult {
	result := RuleResult{Name: RuleSlowStart}
	t.walkSlowStart(slowStartVisitor{
		started: func(Event, int64) { result.Checked++ },
		received: func(load windowLoad) {
			result.Checked++
			if load.units > load.tolerated {
				result.violated("%s gets %.1f units in a window at age %d ms, %.1f are borne",
					load.attempt.Node, load.units, milliseconds(load.age), load.tolerated)
			}
		},
		overloaded: func(event Event) { result.violated("%s was pushed over", event.Node) },
	})
	return result
}

// capacityAt is the capacity, in units a second, of a node that warms up.
func (p Parameters) capacityAt(start Event, at int64) float64 {
	return start.Rate * (p.SlowStartFrom + (1-p.SlowStartFrom)*float64(at-start.At)/float64(p.SlowStartTime))
}

// windowLoad is the load of a node that warms up, in the window that ends with an attempt.
type windowLoad struct {
	attempt   Event
	age       int64   // of the node, nanoseconds
	units     float64 // received within the window
	tolerated float64 // units in a window at that age
}

// slowStartVisitor is called for what happens to nodes that warm up.
type slowStartVisitor struct {
	started    func(start Event, until int64) // until it is warmed up, or the record ends
	received   func(windowLoad)
	overloaded func(Event)
}

// receivedUnits is what a node received at a time.
type receivedUnits struct {
	at    int64
	units float64
}

// walkSlowStart calls the visitor for each event of nodes that warm up, in the order of time.
func (t *trace) walkSlowStart(visitor slowStartVisitor) {
	starts := map[string]Event{} // by node
	windows := map[string][]receivedUnits{}
	end := t.lastAttemptAt()
	for _, event := range t.events {
		switch event.Type {
		case NodeStarted:
			starts[event.Node] = event
			windows[event.Node] = nil
			if event.Rate > 0 && t.parameters.SlowStartTime > 0 {
				visitor.started(event, min(event.At+t.parameters.SlowStartTime, end))
			}
		case NodeOverloaded:
			visitor.overloaded(event)
		case AttemptReceived:
			start, known := starts[event.Node]
			if !known || !t.warmingUp(start, event.At) {
				continue
			}
			window := append(windows[event.Node], receivedUnits{event.At, event.Units})
			for window[0].at < event.At-t.parameters.SlowStartWindow {
				window = window[1:]
			}
			windows[event.Node] = window
			load := windowLoad{attempt: event, age: event.At - start.At, tolerated: t.toleratedAt(start, event.At)}
			for _, received := range window {
				load.units += received.units
			}
			visitor.received(load)
		}
	}
}

// warmingUp says whether a node that started so warms up at a time.
func (t *trace) warmingUp(start Event, at int64) bool {
	return start.Rate > 0 && t.parameters.SlowStartTime != 0 && at-start.At <= t.parameters.SlowStartTime
}

// toleratedAt is how many units a node that warms up tolerates in a window.
func (t *trace) toleratedAt(start Event, at int64) float64 {
	capacity := t.parameters.capacityAt(start, at)
	window := float64(t.parameters.SlowStartWindow)
	return max(t.parameters.SlowStartMultiple*capacity*window/nanosecondsPerSecond, t.parameters.SlowStartFreeUnits)
}

// lastAttemptAt is when the last attempt was received; 0 where there is none.
func (t *trace) lastAttemptAt() int64 {
	last := int64(0)
	for _, event := range t.events {
		if event.Type == AttemptReceived {
			last = event.At
		}
	}
	return last
}
