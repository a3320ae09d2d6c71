package scheduler

import (
	"cmp"
	"math"
)

// BeginEndpointList opens what the list says: whole means that a node it leaves out is gone, stale that it may be old.
func (g *Scheduler) BeginEndpointList(now Time, whole, stale bool) {
	g.now, g.whole, g.stale = now, whole, stale
	g.epoch++
}

// UpdateEndpoint tells of one node.
func (g *Scheduler) UpdateEndpoint(addr, zone string, shard int, born Time, standing EndpointState) {
	n := g.byAddr[addr]
	if n == nil {
		n = &Node{Addr: addr, StartedAt: -1, State: EndpointRemoved, flowIndex: map[*Volume]*Flow{}}
		g.byAddr[addr] = n
		g.nodes = append(g.nodes, n)
	}
	if born > n.StartedAt { // new, or started anew: what was learned is void, what is out still gets its outcome
		n.StartedAt, n.Measured, n.Suspected, n.AnsweredUnits, n.BusySeconds, n.MeanLatency, n.FailureRate = born, false, false, 0, 0, 0, 0
		n.PlacementCredits, n.SlowStartAnswered, n.FairRate, n.InFlightShare, n.EjectedUntil = creditsEach, n.SlowStartAnswered[:0], 1, boundAims, 0
		n.SlowStart, n.AllocationExpiresAt = TokenBucket{UpdatedAt: g.now}, 0
	}
	n.Zone, n.Shard, n.seen = zone, shard, g.epoch
	g.stand(n, standing)
}

// FinishEndpointList closes what the list says.
func (g *Scheduler) FinishEndpointList() {
	for _, n := range g.nodes {
		if g.whole && n.seen != g.epoch {
			g.stand(n, EndpointRemoved)
		}
	}
	if !g.stale {
		g.listAt, g.listWait, g.heardAt = 0, listWait, g.now
		g.mode(&g.silent, false, "the list is silent: %%t")
	}
}

// EndpointListFailed tells that a list call failed, silent that it did without a word. It is asked anew after a wait
// that doubles, so short that what it has is heard in time, and spread so that not all come back at once.
func (g *Scheduler) EndpointListFailed(now Time, silent bool) {
	g.now = now
	g.mode(&g.silent, g.silent || silent, "the list is silent: %%t, %d ms by now", (now-g.heardAt)/Millisecond)
	if g.terms["discovery"] == "ask" {
		if g.silent {
			g.listWait = min(g.listWait, 2*listWait)
		}
		g.listAt = now + Time(float64(g.listWait)*(0.5+g.chance.part()))
		g.listWait = min(2*g.listWait, listWaitMost, cmp.Or(g.terms.span("list.every"), listWaitMost))
	}
}

// unheard tells that the list has been silent for so long that what it missed counts as told.
func (g *Scheduler) unheard(grace Time) bool { return g.silent && g.now-g.heardAt >= silenceMost+grace }

// born is when a node may have started last: any may have since the last word. It hurts where none has.
func (g *Scheduler) born(n *Node) Time {
	if !g.unheard(0) {
		return n.StartedAt
	}
	return max(n.StartedAt, g.heardAt)
}

// open tells whether a node may be sent to: any may have drained since the last word, but for those that took
// something within the grace of a drain.
func (g *Scheduler) open(n *Node) bool {
	if n.State != EndpointReady || !g.silent {
		return n.State == EndpointReady
	}
	grace := g.terms.span("drain.grace")
	return !g.unheard(grace) || g.now-n.LatestAnsweredSend < grace
}

// stand notes a node's standing. What was queued at a node that goes is placed anew.
func (g *Scheduler) stand(n *Node, s EndpointState) {
	n.touched = n.touched || n.State != s
	if n.State = s; s == EndpointReady {
		return
	}
	for _, f := range n.Flows {
		for _, j := range f.Queue {
			g.hold(j, 0)
		}
		f.Queue = f.Queue[:0]
	}
}

// rate is what a node answers to this gateway, in units a second of busy time. One not yet heard from counts
// as the average of the others; while none is known the bound stands at its first value.
func (g *Scheduler) rate(n *Node) float64 {
	if n.Measured {
		return max(n.AnsweredUnits/n.BusySeconds, 1e-3)
	}
	if r := g.meanRate(); r > 0 {
		return r
	}
	return boundFirst * g.mean / (boundAims * float64(g.aim) / float64(Second))
}

// meanRate is the average rate of the nodes heard from.
func (g *Scheduler) meanRate() float64 {
	return g.over(func(n *Node) float64 { return n.AnsweredUnits / n.BusySeconds })
}

// over averages a figure over the nodes heard from.
func (g *Scheduler) over(figure func(*Node) float64) float64 {
	sum, count := 0.0, 0.0
	for _, o := range g.nodes {
		if o.Measured && o.State == EndpointReady && !g.cold(o) {
			sum, count = sum+figure(o), count+1
		}
	}
	return sum / max(count, 1)
}

// bound is the most units out at a node: what it answers in its part of the aim, under the ceiling.
func (g *Scheduler) bound(n *Node) float64 {
	return min(g.rate(n)*n.InFlightShare*float64(g.aim)/float64(Second), boundCeiling*g.mean)
}

// takes is the time that a node needs for a job of so many units, by a line through its latest answers.
func (n *Node) takes(units float64) Time {
	if n.UnitsVariance < 1e-6 {
		return Time(n.MeanLatency)
	}
	return Time(max(n.MeanLatency+max(n.UnitsLatencyCovariance, 0)/n.UnitsVariance*(units-n.MeanUnits), n.MeanLatency/4))
}

// learn lets a node's busy time go on to now.
func (g *Scheduler) learn(n *Node) {
	if n.AttemptsInFlight > 0 && n.Measured {
		span := float64(max(g.now-n.BusyUpdatedAt-g.stall(), 0)) / float64(Second)
		fade := math.Exp(-span / (rateMemory * float64(g.aim) / float64(Second)))
		n.AnsweredUnits, n.BusySeconds = n.AnsweredUnits*fade, n.BusySeconds*fade+span
	}
	n.BusyUpdatedAt = g.now
}

// light: a second job may pass the bound, as one big one fills it. It would hurt where many share a node.
func (g *Scheduler) light(n *Node) bool {
	return n.Measured && n.takes(g.mean) < Time(lightAims*float64(g.aim))
}

// heavy: just heard of as slow for a mean job, a node is left to reserves, lest others' spare jobs go first.
func (g *Scheduler) heavy(n *Node) bool {
	return n.Measured && g.now-n.LastAnswerAt < g.aim && n.takes(g.mean) > Time(heavyAims*float64(g.aim))
}

// stall is how long this gateway itself stood still before now: its periodic round is overdue. What it finds
// then does not tell how long nodes took. It could hurt where every step comes late.
func (g *Scheduler) stall() Time {
	if late := g.now - g.roundAt; g.roundAt > 0 && late > g.aim/roundsPerAim {
		return late
	}
	return 0
}

// suspect marks a node that gives no sign of life. Jobs for it are tried singly, apart from each other.
func (g *Scheduler) suspect(n *Node, why string) {
	if !n.Suspected {
		n.Suspected = true
		n.EjectedUntil = g.now + Time(float64(g.aim)*(0.5+g.chance.part()))
		g.log("%s is suspect: %s, %d out, last heard %d ms ago", n.Addr, why, n.AttemptsInFlight, (g.now-n.LastAnswerAt)/Millisecond)
	}
}

// steer moves a node's fair rate by how long an answer waited, in aims.
func (g *Scheduler) steer(n *Node, wait, w float64) {
	n.FairRate = min(max(n.FairRate*math.Exp(fairGain*w*(fairWait-min(max(wait, 0), 2))), fairLeast), fairMost)
}

// weight is that of one more outcome: the longer since the last, the more; else one of many never learns.
func (g *Scheduler) weight(n *Node) float64 {
	w := max(gapMemory, 1-math.Exp(-float64(g.now-n.LastOutcomeAt)/(judgeAims*float64(g.aim))))
	n.LastOutcomeAt = g.now
	return w
}

// timed learns from how long an execution took.
func (g *Scheduler) timed(n *Node, e *Attempt, took Time, w float64) {
	u := e.Request.Units
	if !n.Measured { // until now it counted as the average of the others
		r := g.rate(n)
		n.Measured, n.BusySeconds = true, float64(g.aim)/float64(Second)
		n.AnsweredUnits = r * n.BusySeconds
		n.MeanLatency, n.MeanUnits, n.UnitsVariance, n.UnitsLatencyCovariance = float64(took), u, 0, 0
		n.BaseLatency = float64(took) * g.mean / u // or less, if others do better at their best
		n.BaseLatency = min(n.BaseLatency, g.over(func(n *Node) float64 { return n.BaseLatency }))
	}
	g.steer(n, (float64(took)-n.BaseLatency*max(u/g.mean, 1))/float64(g.aim), w)
	if at := float64(took) * g.mean / u; at < n.BaseLatency {
		n.BaseLatency += w * (at - n.BaseLatency)
	} else {
		n.BaseLatency += baseRise * (at - n.BaseLatency)
	}
	n.MeanLatency += w * (float64(took) - n.MeanLatency)
	n.MeanUnits += w * (u - n.MeanUnits)
	n.UnitsVariance += w * ((u-n.MeanUnits)*(u-n.MeanUnits) - n.UnitsVariance)
	n.UnitsLatencyCovariance += w * ((u-n.MeanUnits)*(float64(took)-n.MeanLatency) - n.UnitsLatencyCovariance)
	if g.now <= e.Request.ObjectiveDeadline {
		n.InFlightShare = min(n.InFlightShare*boundMade, boundMost)
	} else if e.SentAt < e.Request.ObjectiveDeadline {
		n.InFlightShare = max(n.InFlightShare*boundMissed, boundLeast)
	}
	if over := float64(n.takes(g.mean))/float64(g.aim) - 1; over > 0 { // one job of each of many floods it
		n.EjectedUntil = max(n.EjectedUntil, g.now+min(Time(over*float64(took)), Time(restMost*float64(g.aim))))
	}
}

// hear learns from an execution's outcome.
func (g *Scheduler) hear(n *Node, e *Attempt, took Time) {
	if e.Outcome == OutcomeCancelled || e.Outcome == OutcomeMisdirected {
		return
	}
	w, fail := g.weight(n), 1.0
	if e.Outcome == OutcomeServed || e.Outcome == OutcomeOverloaded {
		fail = 0
	}
	if e.Overdue && (e.Outcome == OutcomeServed || e.Outcome == OutcomeTimeout || e.Outcome == OutcomeReset) {
		g.vain += gapMemory * (fail - g.vain)
		g.mode(&g.loses, g.vain > vainShare, "overdue counts as lost: %%t, %.0f%%%% had no answer", 100*g.vain)
	}
	n.FailureRate += w * (fail - n.FailureRate)
	switch e.Outcome {
	case OutcomeServed, OutcomeError:
		n.LastAnswerAt, n.LatestAnsweredSend = g.now, max(n.LatestAnsweredSend, e.SentAt)
		if n.Suspected {
			n.Suspected, n.EjectedUntil = false, 0
			g.log("%s answers again after %d ms", n.Addr, (g.now-e.SentAt)/Millisecond)
		}
	case OutcomeConnectFailed:
		g.suspect(n, "cannot be reached")
	case OutcomeOverloaded:
		g.suspect(n, "turns jobs away")
	case OutcomeTimeout:
		if n.LastAnswerAt <= e.SentAt && g.stall() == 0 { // silent all the while, it hangs or is jammed: it rests
			n.EjectedUntil = g.now + Time(float64(took)*(1+g.chance.part()))
		}
	}
	if e.Outcome != OutcomeServed {
		return
	}
	if g.stall() == 0 {
		g.timed(n, e, took, w)
	}
	n.AnsweredUnits += e.Request.Units
	if g.cold(n) && !e.Request.Write { // part of a write's work may be put off until after its answer
		n.SlowStartAnswered = append(n.SlowStartAnswered, UnitSample{g.now, e.Request.Units})
	}
	if e.Request.CreditNode == n {
		e.Request.CreditNode = nil
		g.repay(n)
	}
}

// release takes an execution off what is out.
func (g *Scheduler) release(e *Attempt) {
	g.learn(e.Node)
	g.flow(e.Node, e.Request.Volume).InFlight--
	e.Node.AttemptsInFlight--
	e.Node.UnitsInFlight = max(e.Node.UnitsInFlight-e.Request.Units, 0)
	e.Node.touched = true
}
