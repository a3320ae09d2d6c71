package audit

import "slices"

// killNotice is how long after a gateway was killed its clients may still notice that their connections broke.
const killNotice = int64(5e9)

// checkNoRequestLost: each request that a running gateway has accepted gets one answer in time, and no attempt is
// sent after its answer.
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
		cancelledInTime := closed && !t.brokenByGateway(disconnect) && disconnect.At <= t.lastAnswer(request)
		if answers[key] == 0 && !cancelledInTime && end > t.lastAnswer(request) {
			result.violated("request %d of %s (%s) has no answer", key.number, key.session, request.RequestClass)
		}
	}
	return result
}

// checkAnswer checks one answer; count is how many its request has by now.
func (t *trace) checkAnswer(result *RuleResult, answer, request Event, known bool, count int) {
	if count > 1 {
		result.violated("request %d of %s has %d answers", answer.ClientRequest, answer.Session, count)
	}
	for _, attempt := range t.byClientRequest[clientRequestKey{answer.Session, answer.ClientRequest}] {
		if attempt.At > answer.At+t.parameters.Slack {
			result.violated("execution %d of %s is sent %d ms after its final answer",
				attempt.Attempt, attempt.RequestID, milliseconds(attempt.At-answer.At))
		}
	}
	if count > 1 {
		return
	}
	if !known {
		result.violated("an answer to request %d of %s, which was never asked", answer.ClientRequest, answer.Session)
		return
	}
	if answer.At > t.lastAnswer(request) {
		result.violated("request %d of %s (%s) is answered %d ms after its client's limit",
			answer.ClientRequest, answer.Session, request.RequestClass, milliseconds(answer.At-request.Deadline))
	}
}

// brokenByGateway says whether a connection broke while its gateway ran.
func (t *trace) brokenByGateway(disconnect Event) bool {
	if disconnect.State != StateBroken {
		return false
	}
	return !slices.ContainsFunc(t.killed[gatewayOf(disconnect.Session)], func(killed int64) bool {
		return killed <= disconnect.At+t.parameters.Slack && disconnect.At <= killed+killNotice
	})
}

// lastAnswer is until when an answer to a request counts: a gateway that was paused could not give it before it went
// on.
func (t *trace) lastAnswer(request Event) int64 {
	last := request.Deadline
	for _, pause := range t.pauses[gatewayOf(request.Session)] {
		switch {
		case pause.from > request.Deadline || request.At > pause.until:
			// The pause does not touch the request's time.
		case request.At+t.parameters.Transit >= pause.from: // it was read once the gateway went on
			last = max(last, pause.until+request.Deadline-request.At)
		default:
			last = max(last, pause.until)
		}
	}
	return last + t.parameters.Slack
}
