package scheduler

import (
	"math"
	"slices"
)

// Submit takes a job. The caller has filled its ID, Units, Shard, Key, Write and StopBy.
func (g *Scheduler) Submit(now Time, j *Request, volume int64, plan, product string, hosts float64, keyed bool) {
	g.now = now
	left := j.Deadline - now
	if j.Class = g.products[product]; j.Class == nil {
		j.Class = &RequestClass{Name: product, Idempotency: NonIdempotent, LatencyObjective: left, ClientTimeout: left, Removed: g.agreed}
		g.products[product] = j.Class
	}
	j.Volume, j.ReceivedAt = g.volume(volume, plan, hosts), now
	p := j.Class
	// Time counts from a client's first try. A try with less left than the longest yet seen is a later one.
	p.LongestTimeLeft = max(p.LongestTimeLeft, min(1, float64(left)/float64(max(p.ClientTimeout, 1))))
	j.ObjectiveDeadline = now + p.LatencyObjective - max(0, Time(p.LongestTimeLeft*float64(p.ClientTimeout))-left)
	g.jobs[j.ID] = j
	if g.terms["further.window"] != "" {
		g.takes = append(g.takes, now)
	}
	if p.Ordered && keyed {
		if j.KeyQueue = g.lines[j.Key]; j.KeyQueue == nil {
			j.KeyQueue = &KeyQueue{}
			g.lines[j.Key] = j.KeyQueue
		}
		j.KeyQueue.Requests = append(j.KeyQueue.Requests, j)
	}
	g.hold(j, 0)
}

// volume finds or makes a volume. Its part of a limit is even, and empty at the gateway's start: one that was
// killed does not know what it had sent.
func (g *Scheduler) volume(id int64, plan string, hosts float64) *Volume {
	v := g.volumes[id]
	if v == nil {
		p := g.plans[plan]
		if p == nil {
			p = &ServiceLevel{Name: plan, Weight: 1, Removed: g.agreed}
			g.plans[plan] = p
		}
		v = &Volume{ServiceLevel: p}
		v.Reserve = TokenBucket{UpdatedAt: g.now, Level: p.Reserve + g.terms.number("units.largest")}
		v.RateLimit.UpdatedAt = g.began
		g.volumes[id] = v
	}
	if hosts = max(hosts, 1); hosts > v.GatewayCount {
		v.GatewayCount = hosts
		v.RateLimit.Rate, v.RateLimit.Capacity = v.ServiceLevel.RateLimit/hosts, v.ServiceLevel.Burst/hosts
		v.RateLimit.Level = min(v.RateLimit.Level, v.RateLimit.Capacity)
		g.served(v, 0, 0)
	}
	return v
}

// served counts a volume's units served here and through others, and sets our part of its due: that of the
// service, at least the even one. Else each of many gives it the whole. It could hurt while reports are late.
func (g *Scheduler) served(v *Volume, own, others float64) {
	fade := math.Exp(-float64(g.now-v.ServedUpdatedAt) / float64(partMemory))
	v.ServedHere, v.ServedElsewhere, v.ServedUpdatedAt = v.ServedHere*fade+own, v.ServedElsewhere*fade+others, g.now
	v.Share = 1 / v.GatewayCount
	if first := partFirst * g.mean; g.terms.flag("tells.others") {
		v.Share = max(v.Share, (v.ServedHere+first*v.Share)/(v.ServedHere+v.ServedElsewhere+first))
	}
	v.Reserve.resize(g.now, v.Share*v.ServiceLevel.Reserve, v.Share*(v.ServiceLevel.Reserve+g.terms.number("units.largest")))
}

// move is the one place where a job changes state.
func (g *Scheduler) move(j *Request, s RequestState) {
	if j.State == RequestQueued && s.Terminal() {
		g.flow(j.Node, j.Volume).drop(j)
	}
	if j.State == RequestQueued && s != RequestInFlight && j.CreditNode != nil {
		g.repay(j.CreditNode)
		j.CreditNode = nil
	}
	j.State = s
	if s.Terminal() {
		g.due.set(j, 0)
		g.forget(j)
	}
}

// forget drops a job that is over, once each of its executions has its outcome, and lets its key go on.
func (g *Scheduler) forget(j *Request) {
	if !j.State.Terminal() || j.out() > 0 {
		return
	}
	delete(g.jobs, j.ID)
	if l := j.KeyQueue; l != nil {
		for len(l.Requests) > 0 && l.Requests[0].State.Terminal() && l.Requests[0].out() == 0 {
			l.Requests = l.Requests[1:]
		}
	}
}

// hold puts a job among those that wait for a node, a credit, their key or a rest.
func (g *Scheduler) hold(j *Request, rest Time) {
	g.move(j, RequestUnplaced)
	j.Node, j.NotBefore = nil, g.now+rest
	j.ExcessDraw, j.SlowStartDraw, j.SlowStartShareDraw = NotDrawn, NotDrawn, NotDrawn // draws hold at one node
	g.held = append(g.held, j)
	g.due.set(j, g.lastChance(j))
}

// goal is when a job has to be answered: at its goal time, or when its client will usually have gone, where
// many of those that wait as long do. Some leave at any moment, which tells nothing of the others.
func (j *Request) goal() Time {
	if p := j.Volume.ServiceLevel; p.EarlyLeaveShare > leavingShare {
		return min(j.ObjectiveDeadline, j.ReceivedAt+Time(p.EarlyLeaveAfter*float64(j.Class.LatencyObjective)))
	}
	return j.ObjectiveDeadline
}

// lastChance is when a waiting job has to be sent to make its goal, as far as can be told.
func (g *Scheduler) lastChance(j *Request) Time {
	at := j.goal()
	if j.Node != nil {
		at -= j.Node.takes(j.Units)
	}
	return max(min(at, j.Deadline-Millisecond), g.now+1)
}

// giveUp answers at once what is given up. A dismissal says when to come back, where clients are told.
func (g *Scheduler) giveUp(j *Request) {
	s := RequestFailed
	if g.mayDismiss(j) {
		s = RequestRejected
		if g.terms.flag("retry_after") {
			wait := g.aim
			if n := j.Node; n != nil {
				wait += Time(g.backlog(n) / g.rate(n) * float64(Second))
			}
			j.RetryAfter = min(wait, g.terms.span("retry_after.most"))
		}
	}
	g.move(j, s)
	g.next.Finished = append(g.next.Finished, j)
}

// mayDismiss: a dismissal promises that trying again is harmless.
func (g *Scheduler) mayDismiss(j *Request) bool {
	return j.Class.Idempotency == Idempotent || j.Class.Idempotency == IdempotencyKeyed && j.Class.DedupScope == DedupAllNodes ||
		!slices.ContainsFunc(j.Attempts, func(e *Attempt) bool { return !e.Outcome.NeverExecuted() })
}

// mayRun tells whether an execution at n can be added without a second effect, a copy or a try too many.
func (g *Scheduler) mayRun(j *Request, n *Node) bool {
	if j.barred() {
		return false
	}
	for _, e := range j.Attempts {
		if e.Outcome == OutcomePending && !g.terms.flag("second_copies") {
			return false
		}
		if e.Outcome.NeverExecuted() || j.Class.Idempotency == Idempotent {
			continue
		}
		if j.Class.Idempotency == NonIdempotent || g.now-e.SentAt >= j.Class.DedupWindow ||
			j.Class.DedupScope == DedupSameZone && e.Node.Zone != n.Zone ||
			j.Class.DedupScope == DedupSameShard && e.Node.Shard != n.Shard {
			return false
		}
	}
	return len(j.Attempts) == 0 || len(j.Attempts) < int(g.terms.number("executions.most")) && g.mayAdd()
}

// mayAdd keeps the budget for further executions, where one is stated.
func (g *Scheduler) mayAdd() bool {
	if g.terms["further.window"] == "" {
		return true
	}
	since := g.now - g.terms.span("further.window")
	for len(g.takes) > 0 && g.takes[0] <= since {
		g.takes = g.takes[1:]
	}
	for len(g.further) > 0 && g.further[0] < since { // what stands on the edge counts against us
		g.further = g.further[1:]
	}
	return float64(len(g.further)+1) <= g.terms.number("further.free")+
		g.terms.number("further.share")*float64(len(g.takes))
}

// again tries a job once more where that can still make its goal, and gives it up at once where not.
func (g *Scheduler) again(j *Request, n *Node, o Outcome) {
	rest := Time(0)
	if o == OutcomeOverloaded || o == OutcomeConnectFailed {
		rest = Time(float64(g.aim) * (0.25 + 0.25*g.chance.part()))
	}
	if j.Shard >= 0 && n.Shard == j.Shard && !g.mayRun(j, n) || g.now+rest+n.takes(j.Units) >= j.goal() ||
		j.Deadline <= g.now || o == OutcomeMisdirected {
		g.giveUp(j)
		return
	}
	g.hold(j, rest)
}

// ClientLeft tells that a client has gone; nothing is owed to it.
func (g *Scheduler) ClientLeft(now Time, id string) {
	g.now = now
	j := g.jobs[id]
	if j == nil || j.State.Terminal() {
		return
	}
	if p := j.Volume.ServiceLevel; now < j.ObjectiveDeadline {
		g.leaving(p, 1)
		after := float64(now-j.ReceivedAt) / float64(max(j.Class.LatencyObjective, 1))
		if p.EarlyLeaveAfter == 0 {
			p.EarlyLeaveAfter = after
		}
		p.EarlyLeaveAfter += leaveMemory * (after - p.EarlyLeaveAfter)
	}
	g.move(j, RequestClientCancelled)
	g.callOff(j, nil)
}

// leaving counts a client that left before the goal, or one that was served and had waited as long.
func (g *Scheduler) leaving(p *ServiceLevel, left float64) {
	p.EarlyLeaveShare += leaveMemory * (left - p.EarlyLeaveShare)
	g.mode(&p.ClientsLeaveEarly, p.EarlyLeaveShare > leavingShare, "clients of %s leave early: %%t, %.0f%%%%, at %.2f of the goal",
		p.Name, 100*p.EarlyLeaveShare, p.EarlyLeaveAfter)
}

// overlook looks at a job that has an execution out. At a node that fails some, or where most that were
// overdue had no answer, one that is out for several times what it should take, while later ones have been
// answered, counts as lost: it holds no room any more, and the job is sent once more while it can make its
// goal; so is a new object at a suspect node. It guards against nodes that lose some of what they take and
// connections that fall silent; it could hurt where a failing node is also slow.
func (g *Scheduler) overlook(j *Request) {
	e := j.Attempts[len(j.Attempts)-1]
	if e.Outcome != OutcomePending {
		return // an earlier one is out still
	}
	n := e.Node
	if !e.SilenceCounted && n.LatestAnsweredSend <= e.SentAt && g.now-e.SentAt > g.aim && g.stall() == 0 {
		e.SilenceCounted = true // silence tells as much as a late answer, and sooner
		g.steer(n, 1, g.weight(n))
	}
	overdue := n.LatestAnsweredSend > e.SentAt && g.now-e.SentAt > overdueTimes*n.takes(j.Units)
	e.Overdue = e.Overdue || overdue
	if overdue && !e.PresumedLost && (n.FailureRate > failingShare || g.vain > vainShare) {
		e.PresumedLost = true
		g.release(e)
	}
	if g.now < j.ObjectiveDeadline || !e.PresumedLost {
		g.due.set(j, g.now+max(g.aim/roundsPerAim, Millisecond))
	}
	if !e.PresumedLost && !(j.Shard < 0 && n.Suspected) {
		return
	}
	if n := g.home(j); n != nil && g.mayGo(n, j) && g.now+n.takes(j.Units) < j.goal() {
		if j.Shard < 0 {
			n.PlacementCredits--
			j.CreditNode = n
		}
		g.send(j, n)
	}
}
