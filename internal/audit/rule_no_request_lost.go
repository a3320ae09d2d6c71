package audit

import "slices"

// killNoticePeriod is how long after the kill of a gateway its clients may notice that their connections broke.
const killNoticePeriod = int64(5e9)

// checkNoRequestLost checks that each request that a running gateway has accepted gets one answer in time, and that no
// attempt is sent after the answer.
func (t *trace) checkNoRequestLost() RuleResult {
	result := RuleResult{Name: RuleNoRequestLost}
	sent := map[clientRequestKey]Event{}
	answers := map[clientRequestKey]int{}
	disconnected := map[string]Event{} // by session
	var order []clientRequestKey
	end := int64(0)
	for _, event := range t.events {
		end = max(end, event.At)
		key := clientRequestKey{event.Session, event.ClientRequest}
		switch event.Type {
		case RequestSent:
			sent[key] = event
			order = append(order, key)
		case ClientDisconnected:
			disconnected[event.Session] = event
		case ResponseReceived:
			answers[key]++
			request, known := sent[key]
			t.checkAnswer(&result, event, request, known, answers[key])
		}
	}
	for _, key := range order {
		result.Checked++
		request := sent[key]
		disconnect, closed := disconnected[key.session]
		cancelledInTime := closed && !t.brokenByGateway(disconnect) && disconnect.At <= t.answerLimit(request)
		if answers[key] == 0 && !cancelledInTime && end > t.answerLimit(request) {
			result.addViolation("request %d of session %s (class %s) got no answer",
				key.number, key.session, request.RequestClass)
		}
	}
	return result
}

// checkAnswer checks an answer. count is the number of answers that its request has got so far.
func (t *trace) checkAnswer(result *RuleResult, answer, request Event, known bool, count int) {
	if count > 1 {
		result.addViolation("request %d of session %s got %d answers", answer.ClientRequest, answer.Session, count)
	}
	for _, attempt := range t.byClientRequest[clientRequestKey{answer.Session, answer.ClientRequest}] {
		if attempt.At > answer.At+t.parameters.Slack {
			result.addViolation("attempt %d of request %s was sent %d ms after the final answer",
				attempt.Attempt, attempt.RequestID, milliseconds(attempt.At-answer.At))
		}
	}
	if count > 1 {
		return
	}
	if !known {
		result.addViolation("got an answer to request %d of session %s, which was never sent",
			answer.ClientRequest, answer.Session)
		return
	}
	if answer.At > t.answerLimit(request) {
		result.addViolation("request %d of session %s (class %s) was answered %d ms after its deadline",
			answer.ClientRequest, answer.Session, request.RequestClass, milliseconds(answer.At-request.Deadline))
	}
}

// brokenByGateway reports whether a connection broke although its gateway had not been killed.
func (t *trace) brokenByGateway(disconnect Event) bool {
	if disconnect.State != StateBroken {
		return false
	}
	return !slices.ContainsFunc(t.killed[gatewayOf(disconnect.Session)], func(killed int64) bool {
		return killed <= disconnect.At+t.parameters.Slack && disconnect.At <= killed+killNoticePeriod
	})
}

// answerLimit returns the latest time at which an answer to a request counts. A gateway cannot answer while it is
// paused, so a pause extends the time.
func (t *trace) answerLimit(request Event) int64 {
	last := request.Deadline
	for _, pause := range t.pauses[gatewayOf(request.Session)] {
		switch {
		case pause.from > request.Deadline || request.At > pause.until:
			// The pause does not overlap the time of the request.
		case request.At+t.parameters.Transit >= pause.from: // the gateway read it after the pause
			last = max(last, pause.until+request.Deadline-request.At)
		default:
			last = max(last, pause.until)
		}
	}
	return last + t.parameters.Slack
}
