package audit

// checkDraining checks that a node gets no attempt later than the list delay plus the drain grace after an endpoint
// list named it as draining or removed.
func (t *trace) checkDraining() RuleResult {
	result := RuleResult{Name: RuleDraining}
	leavingSince := map[string]int64{} // by node
	for _, event := range t.events {
		since, leaving := leavingSince[event.Node]
		switch event.Type {
		case NodeListed:
			if event.State == StateReady {
				delete(leavingSince, event.Node)
			} else if !leaving {
				leavingSince[event.Node] = event.At
				result.Checked++
			}
		case AttemptReceived:
			if leaving && event.At > since+t.parameters.ListDelay+t.parameters.DrainGrace {
				result.addViolation("node %s was sent attempt %d of request %s %d ms after it was listed as draining or removed",
					event.Node, event.Attempt, event.RequestID, milliseconds(event.At-since))
			}
		}
	}
	return result
}
