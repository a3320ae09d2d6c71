package decide

import (
	"cmp"
	"math"
)

// Listing opens what the list says: whole means that a node it leaves out is gone, stale that it may be old.
func (g *Gateway) Listing(now Time, whole, stale bool) {
	g.now, g.whole, g.stale = now, whole, stale
	g.epoch++
}

// Listed tells of one node.
func (g *Gateway) Listed(addr, zone string, shard int, born Time, standing Standing) {
	n := g.byAddr[addr]
	if n == nil {
		n = &Node{Addr: addr, Born: -1, Standing: Gone, flowIndex: map[*Volume]*Flow{}}
		g.byAddr[addr] = n
		g.nodes = append(g.nodes, n)
	}
	if born > n.Born { // new, or started anew: what was learned is void, what is out still gets its outcome
		n.Born, n.Known, n.Suspect, n.Units, n.Busy, n.Latency, n.Failing = born, false, false, 0, 0, 0, 0
		n.Credits, n.Answers, n.Fair, n.Part, n.TryAt = creditsEach, n.Answers[:0], 1, boundAims, 0
		n.Warm, n.LentTill = Store{At: g.now}, 0
	}
	n.Zone, n.Shard, n.seen = zone, shard, g.epoch
	g.stand(n, standing)
}

// ListDone closes what the list says.
func (g *Gateway) ListDone() {
	for _, n := range g.nodes {
		if g.whole && n.seen != g.epoch {
			g.stand(n, Gone)
		}
	}
	if !g.stale {
		g.listAt, g.listWait, g.heardAt = 0, listWait, g.now
		g.mode(&g.silent, false, "the list is silent: %%t")
	}
}

// ListFailed tells that a list call failed, silent that it did without a word. It is asked anew after a wait
// that doubles, so short that what it has is heard in time, and spread so that not all come back at once.
func (g *Gateway) ListFailed(now Time, silent bool) {
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
func (g *Gateway) unheard(grace Time) bool { return g.silent && g.now-g.heardAt >= silenceMost+grace }

// born is when a node may have started last: any may have since the last word. It hurts where none has.
func (g *Gateway) born(n *Node) Time {
	if !g.unheard(0) {
		return n.Born
	}
	return max(n.Born, g.heardAt)
}

// open tells whether a node may be sent to: any may have drained since the last word, but for those that took
// something within the grace of a drain.
func (g *Gateway) open(n *Node) bool {
	if n.Standing != Ready || !g.silent {
		return n.Standing == Ready
	}
	grace := g.terms.span("drain.grace")
	return !g.unheard(grace) || g.now-n.HeardOf < grace
}

// stand notes a node's standing. What was queued at a node that goes is placed anew.
func (g *Gateway) stand(n *Node, s Standing) {
	n.touched = n.touched || n.Standing != s
	if n.Standing = s; s == Ready {
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
func (g *Gateway) rate(n *Node) float64 {
	if n.Known {
		return max(n.Units/n.Busy, 1e-3)
	}
	if r := g.meanRate(); r > 0 {
		return r
	}
	return boundFirst * g.mean / (boundAims * float64(g.aim) / float64(Second))
}

// meanRate is the average rate of the nodes heard from.
func (g *Gateway) meanRate() float64 {
	return g.over(func(n *Node) float64 { return n.Units / n.Busy })
}

// over averages a figure over the nodes heard from.
func (g *Gateway) over(figure func(*Node) float64) float64 {
	sum, count := 0.0, 0.0
	for _, o := range g.nodes {
		if o.Known && o.Standing == Ready && !g.cold(o) {
			sum, count = sum+figure(o), count+1
		}
	}
	return sum / max(count, 1)
}

// bound is the most units out at a node: what it answers in its part of the aim, under the ceiling.
func (g *Gateway) bound(n *Node) float64 {
	return min(g.rate(n)*n.Part*float64(g.aim)/float64(Second), boundCeiling*g.mean)
}

// takes is the time that a node needs for a job of so many units, by a line through its latest answers.
func (n *Node) takes(units float64) Time {
	if n.Spread < 1e-6 {
		return Time(n.Latency)
	}
	return Time(max(n.Latency+max(n.Slope, 0)/n.Spread*(units-n.Size), n.Latency/4))
}

// learn lets a node's busy time go on to now.
func (g *Gateway) learn(n *Node) {
	if n.Execs > 0 && n.Known {
		span := float64(max(g.now-n.BusyAt-g.stall(), 0)) / float64(Second)
		fade := math.Exp(-span / (rateMemory * float64(g.aim) / float64(Second)))
		n.Units, n.Busy = n.Units*fade, n.Busy*fade+span
	}
	n.BusyAt = g.now
}

// light: a second job may pass the bound, as one big one fills it. It would hurt where many share a node.
func (g *Gateway) light(n *Node) bool {
	return n.Known && n.takes(g.mean) < Time(lightAims*float64(g.aim))
}

// heavy: just heard of as slow for a mean job, a node is left to reserves, lest others' spare jobs go first.
func (g *Gateway) heavy(n *Node) bool {
	return n.Known && g.now-n.Heard < g.aim && n.takes(g.mean) > Time(heavyAims*float64(g.aim))
}

// stall is how long this gateway itself stood still before now: its periodic round is overdue. What it finds
// then does not tell how long nodes took. It could hurt where every step comes late.
func (g *Gateway) stall() Time {
	if late := g.now - g.roundAt; g.roundAt > 0 && late > g.aim/roundsPerAim {
		return late
	}
	return 0
}

// suspect marks a node that gives no sign of life. Jobs for it are tried singly, apart from each other.
func (g *Gateway) suspect(n *Node, why string) {
	if !n.Suspect {
		n.Suspect = true
		n.TryAt = g.now + Time(float64(g.aim)*(0.5+g.chance.part()))
		g.log("%s is suspect: %s, %d out, last heard %d ms ago", n.Addr, why, n.Execs, (g.now-n.Heard)/Millisecond)
	}
}

// steer moves a node's fair rate by how long an answer waited, in aims.
func (g *Gateway) steer(n *Node, wait, w float64) {
	n.Fair = min(max(n.Fair*math.Exp(fairGain*w*(fairWait-min(max(wait, 0), 2))), fairLeast), fairMost)
}

// weight is that of one more outcome: the longer since the last, the more; else one of many never learns.
func (g *Gateway) weight(n *Node) float64 {
	w := max(gapMemory, 1-math.Exp(-float64(g.now-n.Judged)/(judgeAims*float64(g.aim))))
	n.Judged = g.now
	return w
}

// timed learns from how long an execution took.
func (g *Gateway) timed(n *Node, e *Execution, took Time, w float64) {
	u := e.Job.Units
	if !n.Known { // until now it counted as the average of the others
		r := g.rate(n)
		n.Known, n.Busy = true, float64(g.aim)/float64(Second)
		n.Units = r * n.Busy
		n.Latency, n.Size, n.Spread, n.Slope = float64(took), u, 0, 0
		n.Base = float64(took) * g.mean / u // or less, if others do better at their best
		n.Base = min(n.Base, g.over(func(n *Node) float64 { return n.Base }))
	}
	g.steer(n, (float64(took)-n.Base*max(u/g.mean, 1))/float64(g.aim), w)
	if at := float64(took) * g.mean / u; at < n.Base {
		n.Base += w * (at - n.Base)
	} else {
		n.Base += baseRise * (at - n.Base)
	}
	n.Latency += w * (float64(took) - n.Latency)
	n.Size += w * (u - n.Size)
	n.Spread += w * ((u-n.Size)*(u-n.Size) - n.Spread)
	n.Slope += w * ((u-n.Size)*(float64(took)-n.Latency) - n.Slope)
	if g.now <= e.Job.GoalBy {
		n.Part = min(n.Part*boundMade, boundMost)
	} else if e.Sent < e.Job.GoalBy {
		n.Part = max(n.Part*boundMissed, boundLeast)
	}
	if over := float64(n.takes(g.mean))/float64(g.aim) - 1; over > 0 { // one job of each of many floods it
		n.TryAt = max(n.TryAt, g.now+min(Time(over*float64(took)), Time(restMost*float64(g.aim))))
	}
}

// hear learns from an execution's outcome.
func (g *Gateway) hear(n *Node, e *Execution, took Time) {
	if e.Outcome == CalledOff || e.Outcome == Moot {
		return
	}
	w, fail := g.weight(n), 1.0
	if e.Outcome == Served || e.Outcome == Full {
		fail = 0
	}
	if e.Overdue && (e.Outcome == Served || e.Outcome == TimedOut || e.Outcome == Reset) {
		g.vain += gapMemory * (fail - g.vain)
		g.mode(&g.loses, g.vain > vainShare, "overdue counts as lost: %%t, %.0f%%%% had no answer", 100*g.vain)
	}
	n.Failing += w * (fail - n.Failing)
	switch e.Outcome {
	case Served, Erred:
		n.Heard, n.HeardOf = g.now, max(n.HeardOf, e.Sent)
		if n.Suspect {
			n.Suspect, n.TryAt = false, 0
			g.log("%s answers again after %d ms", n.Addr, (g.now-e.Sent)/Millisecond)
		}
	case Unconnected:
		g.suspect(n, "cannot be reached")
	case Full:
		g.suspect(n, "turns jobs away")
	case TimedOut:
		if n.Heard <= e.Sent && g.stall() == 0 { // silent all the while, it hangs or is jammed: it rests
			n.TryAt = g.now + Time(float64(took)*(1+g.chance.part()))
		}
	}
	if e.Outcome != Served {
		return
	}
	if g.stall() == 0 {
		g.timed(n, e, took, w)
	}
	n.Units += e.Job.Units
	if g.cold(n) && !e.Job.Write { // part of a write's work may be put off until after its answer
		n.Answers = append(n.Answers, Spent{g.now, e.Job.Units})
	}
	if e.Job.Credit == n {
		e.Job.Credit = nil
		g.repay(n)
	}
}

// release takes an execution off what is out.
func (g *Gateway) release(e *Execution) {
	g.learn(e.Node)
	g.flow(e.Node, e.Job.Volume).Out--
	e.Node.Execs--
	e.Node.Out = max(e.Node.Out-e.Job.Units, 0)
	e.Node.touched = true
}
