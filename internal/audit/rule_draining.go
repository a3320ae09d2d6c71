package audit

// checkDraining: a node gets no attempt later than the grace after the endpoint list said that it drains or is gone.
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
				result.violated("%s gets execution %d of %s %d ms after it was listed as leaving",
					event.Node, event.Attempt, event.RequestID, milliseconds(event.At-since))
			}
		}
	}
	return result
}
