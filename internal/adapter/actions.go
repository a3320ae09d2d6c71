package adapter

import "irispost/scheduler"

// decide writes an instance's decision as actions, or the reason why the instance has failed.
func (a *adapter) decide(i *instance, now scheduler.Time) {
	decision := i.decide(now)
	if i.failure != "" {
		a.out.Start(actionInternalError, i.number).Text(i.failure).End()
		return
	}
	a.writeDecision(i.number, decision)
	a.setTimer(i, now, decision.NextWake)
}

// writeDecision writes a decision as actions, those for finished requests first.
func (a *adapter) writeDecision(number int64, decision *scheduler.Decision) {
	for _, r := range decision.Finished {
		if r.State == scheduler.RequestRejected {
			a.out.Start(actionReject, number).Text(r.ID).Time(r.RetryAfter).End()
		} else {
			a.out.Start(actionFail, number).Text(r.ID).End()
		}
	}
	for _, attempt := range decision.Cancel {
		a.out.Start(actionCancel, number).Text(attempt.Request.ID).Int(int64(attempt.Number)).End()
	}
	for _, attempt := range decision.Dispatch {
		a.out.Start(actionDispatch, number).Text(attempt.Request.ID).Time(attempt.Timeout).Text(attempt.Node.Addr).End()
	}
	for _, n := range decision.HealthChecks {
		a.out.Start(actionHealthCheck, number).Text(n.Addr).End()
	}
	if decision.WatchEndpoints {
		a.out.Start(actionWatch, number).Int(1).End()
	}
	for _, line := range decision.Log {
		a.out.Start(actionLog, number).Text(line).End()
	}
}

// setTimer sets a timer for the next decision if it is due before the timer that is already set. A timer cannot be
// cancelled; one that fires too early only leads to a decision that changes nothing.
func (a *adapter) setTimer(i *instance, now, nextWake scheduler.Time) {
	if nextWake <= 0 || i.wakeAt != 0 && nextWake >= i.wakeAt {
		return
	}
	i.wakeAt = max(nextWake, now+scheduler.Microsecond)
	a.out.Start(actionSetTimer, i.number).Int(wakeTimerID).Time(i.wakeAt - now).End()
}
