package audit

// checkRetryBudget checks that the retries of a gateway in any window stay within the free ones plus a share of the
// requests that it received in the window.
func (t *trace) checkRetryBudget() RuleResult {
	result := RuleResult{Name: RuleRetryBudget}
	if t.parameters.RetryWindow == 0 {
		return result
	}
	clientRequests := map[string][]int64{} // times by gateway
	firstAttempts := map[string][]int64{}  // likewise; these include requests that gateways make themselves
	retries := map[string][]int64{}
	for _, event := range t.events {
		switch event.Type {
		case RequestSent:
			gateway := gatewayOf(event.Session)
			clientRequests[gateway] = append(clientRequests[gateway], event.At)
		case AttemptReceived:
			gateway := event.Gateway
			if event.Attempt == 0 {
				firstAttempts[gateway] = append(firstAttempts[gateway], event.At)
				continue
			}
			retries[gateway] = append(retries[gateway], event.At)
			after := event.At - t.parameters.RetryWindow
			requests := max(countAfter(clientRequests[gateway], after), countAfter(firstAttempts[gateway], after))
			allowed := t.parameters.FreeRetries + t.parameters.RetryShare*requests
			count := countAfter(retries[gateway], after)
			result.Checked++
			if count > allowed+1 { // one more is tolerated, as clocks differ at the edge of the window
				result.addViolation("gateway %s sent %.0f retries in a window, at most %.1f are allowed", gateway, count, allowed)
			}
		}
	}
	return result
}

// countAfter returns how many of the times, which are in ascending order, are after a moment.
func countAfter(times []int64, moment int64) float64 {
	count := 0.0
	for i := len(times) - 1; i >= 0 && times[i] > moment; i-- {
		count++
	}
	return count
}
