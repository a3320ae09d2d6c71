package audit

// The capacity of a node that warms up is integrated numerically, in steps of integrationStep nanoseconds.
const (
	integrationStep           = int64(1e7)
	integrationStepsPerSecond = 100
)

// SlowStartSummary summarizes the load of nodes that warmed up.
type SlowStartSummary struct {
	Nodes         int     `json:"nodes"`  // nodes that warmed up
	Overloaded    int     `json:"fallen"` // nodes that stopped because they were sent too much
	PeakRatio     float64 `json:"worst"`  // highest load of a node in a window, relative to what it tolerates
	UnitsSent     float64 `json:"units"`  // units sent to all nodes while they warmed up
	UnitsPossible float64 `json:"could"`  // units that the nodes could have executed in that time
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

// checkSlowStart checks that the units that all gateways send to a node that warms up stay, in any window, within the
// tolerated multiple of its capacity or within the free units, and that no node was overloaded.
func (t *trace) checkSlowStart() RuleResult {
	result := RuleResult{Name: RuleSlowStart}
	t.walkSlowStart(slowStartVisitor{
		started: func(Event, int64) { result.Checked++ },
		received: func(load windowLoad) {
			result.Checked++
			if load.units > load.tolerated {
				result.addViolation("node %s was sent %.1f units in a window at age %d ms, it tolerates %.1f",
					load.attempt.Node, load.units, milliseconds(load.age), load.tolerated)
			}
		},
		overloaded: func(event Event) { result.addViolation("node %s was overloaded", event.Node) },
	})
	return result
}

// capacityAt returns the capacity, in units per second, of a node that warms up.
func (p Parameters) capacityAt(start Event, at int64) float64 {
	return start.Rate * (p.SlowStartFrom + (1-p.SlowStartFrom)*float64(at-start.At)/float64(p.SlowStartTime))
}

// windowLoad is the load of a node that warms up, over the window that ends with an attempt.
type windowLoad struct {
	attempt   Event
	age       int64   // of the node, in nanoseconds
	units     float64 // received within the window
	tolerated float64 // units that the node tolerates in a window at that age
}

// slowStartVisitor has the functions that are called for events of nodes that warm up.
type slowStartVisitor struct {
	started    func(start Event, until int64) // until: when it is warm, or the last attempt if that is earlier
	received   func(windowLoad)
	overloaded func(Event)
}

// receivedUnits are the units of an attempt that a node received at a time.
type receivedUnits struct {
	at    int64
	units float64
}

// walkSlowStart calls the visitor for each event of nodes that warm up, ordered by time.
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

// warmingUp reports whether a node with the given start is still warming up at a time.
func (t *trace) warmingUp(start Event, at int64) bool {
	return start.Rate > 0 && t.parameters.SlowStartTime != 0 && at-start.At <= t.parameters.SlowStartTime
}

// toleratedAt returns how many units a node that warms up tolerates in a window.
func (t *trace) toleratedAt(start Event, at int64) float64 {
	capacity := t.parameters.capacityAt(start, at)
	window := float64(t.parameters.SlowStartWindow)
	return max(t.parameters.SlowStartMultiple*capacity*window/nanosecondsPerSecond, t.parameters.SlowStartFreeUnits)
}

// lastAttemptAt returns the time at which the last attempt was received, or 0 if there is none.
func (t *trace) lastAttemptAt() int64 {
	last := int64(0)
	for _, event := range t.events {
		if event.Type == AttemptReceived {
			last = event.At
		}
	}
	return last
}
