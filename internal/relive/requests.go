package relive

import (
	"strconv"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/capture"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// onlyRequest is the request number within a session. Each request has its own session.
const onlyRequest = 1

// submit submits a captured request. The capture does not contain its data, so callOf makes up some.
func (p *play) submit(arrival *capture.Record) {
	p.requests++
	session := gateway.NewSession(p.script.Gateway + "/relive/" + strconv.Itoa(p.requests))
	p.lock.Lock()
	p.sessions[arrival.Job] = session
	p.lock.Unlock()
	class := p.classes[arrival.Product]
	now := p.loop.Now()
	objectiveBy := now + class.objective
	deadline := now + arrival.StopBy - arrival.At
	p.recorder.Add(audit.Event{
		At:            now,
		Type:          audit.RequestSent,
		Session:       session.Name,
		ClientRequest: onlyRequest,
		RequestClass:  arrival.Product,
		ObjectiveBy:   objectiveBy,
		Deadline:      deadline,
	})
	results := p.loop.Submit(session, &gateway.RequestSpec{
		Volume:        p.volume(arrival),
		Class:         arrival.Product,
		Units:         arrival.Units,
		Key:           arrival.Key,
		HasKey:        arrival.Keyed && class.ordered,
		Deadline:      deadline,
		ClientRequest: onlyRequest,
		Idempotency:   class.idempotency,
		Call:          callOf(arrival),
	})
	p.waiting.Go(func() {
		result := <-results
		p.finish(arrival, session, result, objectiveBy)
	})
}

// volume returns the volume of a captured request.
func (p *play) volume(arrival *capture.Record) *gateway.Volume {
	if p.volumes[arrival.Volume] == nil {
		p.volumes[arrival.Volume] = &gateway.Volume{
			ID:           arrival.Volume,
			ServiceLevel: arrival.Plan,
			GatewayCount: arrival.Hosts,
		}
	}
	return p.volumes[arrival.Volume]
}

// callOf returns the call to a node for a captured request.
func callOf(arrival *capture.Record) node.Call {
	if arrival.Write {
		return node.Call{Op: node.PutObject, Name: arrival.Job, Shard: arrival.Shard, Data: []byte("x")}
	}
	return node.Call{Op: node.GetObject, Name: "none", Shard: arrival.Shard}
}

// finish records the result of a request and counts it.
func (p *play) finish(arrival *capture.Record, session *gateway.Session, result gateway.Result, objectiveBy int64) {
	at := p.loop.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.sessions, arrival.Job)
	outcome := outcomeOf(p.replayed, arrival.Product)
	outcome.Requests++
	answer := audit.Event{At: at, Type: audit.ResponseReceived, Session: session.Name, ClientRequest: onlyRequest}
	switch result.State {
	case scheduler.RequestSucceeded:
		answer.Outcome = audit.Succeeded
		outcome.addSuccess(at <= objectiveBy)
	case scheduler.RequestRejected:
		answer.Outcome = audit.Rejected
		outcome.Rejected++
	case scheduler.RequestClientCancelled:
		outcome.ClientCancelled++
		return // a client that cancelled gets no answer
	default:
		answer.Outcome = audit.Failed
		outcome.Failed++
	}
	p.recorder.Add(answer)
}

// cancel closes the session of a request whose client cancelled it in the capture, unless it was already answered in
// this play.
func (p *play) cancel(requestID string) {
	p.lock.Lock()
	session := p.sessions[requestID]
	delete(p.sessions, requestID)
	p.lock.Unlock()
	if session == nil {
		return
	}
	p.recorder.Add(audit.Event{Type: audit.ClientDisconnected, Session: session.Name, State: audit.StateClosed})
	p.loop.CloseSession(session)
}
