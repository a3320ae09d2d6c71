package scheduler

// send starts an execution.
func (g *Scheduler) send(j *Request, n *Node) {
	f := g.flow(n, j.Volume)
	if len(j.Attempts) > 0 && g.terms["further.window"] != "" {
		g.further = append(g.further, g.now)
	}
	if !j.LimitCharged {
		j.LimitCharged = true
		j.Volume.RateLimit.Level -= j.Units
	}
	e := &Attempt{Request: j, Number: len(j.Attempts), Node: n, SentAt: g.now}
	j.Attempts = append(j.Attempts, e)
	j.Node = n
	g.move(j, RequestInFlight)
	if g.reserved(j) {
		j.Volume.Reserve.take(j.Units)
	} else {
		f.Excess.take(j.Units)
		g.charge(n, f, j.Units)
	}
	if n.InService == f {
		f.Budget -= j.Units
	}
	if f.LastSentAt > 0 {
		f.AverageSendGap += Time(gapMemory * float64(g.now-f.LastSentAt-f.AverageSendGap))
	}
	f.LastSentAt = g.now
	g.learn(n)
	if n.AttemptsInFlight == 0 {
		n.LastAnswerAt = g.now
	}
	f.InFlight++
	n.AttemptsInFlight++
	n.UnitsInFlight += j.Units
	if g.cold(n) {
		if g.now < n.AllocationExpiresAt {
			n.AllocatedUnits, e.SendBefore = n.AllocatedUnits-j.Units, n.AllocationExpiresAt
		} else if !j.CoveredByAnswers && j.SlowStartShareDraw != DrawAdmitted {
			n.SlowStart.take(j.Units)
		}
		j.SlowStartDraw, j.SlowStartShareDraw = NotDrawn, NotDrawn
		n.SlowStartSent = append(n.SlowStartSent, UnitSample{g.now, j.Units})
	}
	for _, o := range j.Attempts { // it begins while all that may have run are remembered
		if till := o.SentAt + j.Class.DedupWindow; j.Class.Idempotency == IdempotencyKeyed && !o.Outcome.NeverExecuted() &&
			o != e && (e.SendBefore == 0 || till < e.SendBefore) {
			e.SendBefore = till
		}
	}
	if n.Suspected {
		n.EjectedUntil = g.now + Time(float64(g.aim)*(1+g.chance.part()))
	}
	g.next.Dispatch = append(g.next.Dispatch, e)
	g.due.set(j, g.now+max(min(overdueTimes*n.takes(j.Units), g.aim), g.aim/roundsPerAim))
}

// repay gives a node a credit back.
func (g *Scheduler) repay(n *Node) { n.PlacementCredits = min(n.PlacementCredits+1, creditsEach) }

// ResponseStarted tells that an execution's answer flows: it is the client's now, and others are called off.
func (g *Scheduler) ResponseStarted(now Time, id string, number int) {
	g.now = now
	j := g.jobs[id]
	if j == nil || number < 0 || number >= len(j.Attempts) || j.State.Terminal() {
		return
	}
	g.move(j, RequestStreaming)
	g.due.set(j, 0)
	j.Attempts[number].Node.LastAnswerAt = now
	g.callOff(j, j.Attempts[number])
}

// callOff calls off the executions of a job but one, where that is allowed.
func (g *Scheduler) callOff(j *Request, but *Attempt) {
	for _, e := range j.Attempts {
		if e != but && e.Outcome == OutcomePending && !e.Cancelled && g.terms.flag("calling_off") {
			e.Cancelled = true
			g.next.Cancel = append(g.next.Cancel, e)
		}
	}
}

// AttemptFinished tells how an execution ended. Final means that the job has had its answer; others is what this shard
// served the volume through other gateways since it last answered this one about it.
func (g *Scheduler) AttemptFinished(now Time, id string, number int, o Outcome, took Time, final bool, others float64) {
	g.now = now
	j := g.jobs[id]
	if j == nil || number < 0 || number >= len(j.Attempts) || j.Attempts[number].Outcome != OutcomePending || o == OutcomePending {
		return
	}
	e := j.Attempts[number]
	n, f := e.Node, g.flow(e.Node, j.Volume)
	if e.Outcome = o; !e.PresumedLost {
		g.release(e)
	}
	f.LastAnsweredAt = now
	g.hear(n, e, took)
	if others > 0 {
		g.charge(n, f, others)
	}
	if o == OutcomeServed {
		g.served(j.Volume, j.Units, max(others, 0))
	}
	if j.KeyQueue != nil && (o == OutcomeTimeout || o == OutcomeReset || o == OutcomeCancelled) {
		j.KeyQueue.BlockedUntil = max(j.KeyQueue.BlockedUntil, now+g.terms.span("key.rest"))
	}
	switch {
	case j.State.Terminal():
		g.forget(j)
	case final && o == OutcomeServed:
		if p := j.Volume.ServiceLevel; now-j.ReceivedAt >= Time(p.EarlyLeaveAfter*float64(j.Class.LatencyObjective)) { // it waited as long as those
			g.leaving(p, 0)
		}
		g.move(j, RequestSucceeded)
		g.callOff(j, e)
	case final:
		g.move(j, RequestFailed) // a stream that broke has told its client so
	case j.State == RequestInFlight && j.out() == 0:
		g.again(j, n, o)
	}
}
