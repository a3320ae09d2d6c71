package decide

import (
	"math"
	"slices"
)

// Take takes a job. The caller has filled its ID, Units, Shard, Key, Write and StopBy.
func (g *Gateway) Take(now Time, j *Job, volume int64, plan, product string, hosts float64, keyed bool) {
	g.now = now
	left := j.StopBy - now
	if j.Product = g.products[product]; j.Product == nil {
		j.Product = &Product{Name: product, Kind: SingleUse, Goal: left, Patience: left, Out: g.agreed}
		g.products[product] = j.Product
	}
	j.Volume, j.Taken = g.volume(volume, plan, hosts), now
	p := j.Product
	// Time counts from a client's first try. A try with less left than the longest yet seen is a later one.
	p.Share = max(p.Share, min(1, float64(left)/float64(max(p.Patience, 1))))
	j.GoalBy = now + p.Goal - max(0, Time(p.Share*float64(p.Patience))-left)
	g.jobs[j.ID] = j
	if g.terms["further.window"] != "" {
		g.takes = append(g.takes, now)
	}
	if p.InTurn && keyed {
		if j.Line = g.lines[j.Key]; j.Line == nil {
			j.Line = &Line{}
			g.lines[j.Key] = j.Line
		}
		j.Line.Jobs = append(j.Line.Jobs, j)
	}
	g.hold(j, 0)
}

// volume finds or makes a volume. Its part of a limit is even, and empty at the gateway's start: one that was
// killed does not know what it had sent.
func (g *Gateway) volume(id int64, plan string, hosts float64) *Volume {
	v := g.volumes[id]
	if v == nil {
		p := g.plans[plan]
		if p == nil {
			p = &Plan{Name: plan, Weight: 1, Out: g.agreed}
			g.plans[plan] = p
		}
		v = &Volume{Plan: p}
		v.Reserve = Store{At: g.now, Level: p.Reserve + g.terms.number("units.largest")}
		v.Limit.At = g.began
		g.volumes[id] = v
	}
	if hosts = max(hosts, 1); hosts > v.Hosts {
		v.Hosts = hosts
		v.Limit.Rate, v.Limit.Most = v.Plan.Limit/hosts, v.Plan.Burst/hosts
		v.Limit.Level = min(v.Limit.Level, v.Limit.Most)
		g.served(v, 0, 0)
	}
	return v
}

// served counts a volume's units served here and through others, and sets our part of its due: that of the
// service, at least the even one. Else each of many gives it the whole. It could hurt while reports are late.
func (g *Gateway) served(v *Volume, own, others float64) {
	fade := math.Exp(-float64(g.now-v.ServedAt) / float64(partMemory))
	v.Own, v.Others, v.ServedAt = v.Own*fade+own, v.Others*fade+others, g.now
	v.Part = 1 / v.Hosts
	if first := partFirst * g.mean; g.terms.flag("tells.others") {
		v.Part = max(v.Part, (v.Own+first*v.Part)/(v.Own+v.Others+first))
	}
	v.Reserve.resize(g.now, v.Part*v.Plan.Reserve, v.Part*(v.Plan.Reserve+g.terms.number("units.largest")))
}

// move is the one place where a job changes state.
func (g *Gateway) move(j *Job, s JobState) {
	if j.State == Queued && s.Over() {
		g.flow(j.Node, j.Volume).drop(j)
	}
	if j.State == Queued && s != Running && j.Credit != nil {
		g.repay(j.Credit)
		j.Credit = nil
	}
	j.State = s
	if s.Over() {
		g.due.set(j, 0)
		g.forget(j)
	}
}

// forget drops a job that is over, once each of its executions has its outcome, and lets its key go on.
func (g *Gateway) forget(j *Job) {
	if !j.State.Over() || j.out() > 0 {
		return
	}
	delete(g.jobs, j.ID)
	if l := j.Line; l != nil {
		for len(l.Jobs) > 0 && l.Jobs[0].State.Over() && l.Jobs[0].out() == 0 {
			l.Jobs = l.Jobs[1:]
		}
	}
}

// hold puts a job among those that wait for a node, a credit, their key or a rest.
func (g *Gateway) hold(j *Job, rest Time) {
	g.move(j, Held)
	j.Node, j.NotTill = nil, g.now+rest
	j.Spare, j.Cold, j.Borne = Undrawn, Undrawn, Undrawn // draws hold at one node
	g.held = append(g.held, j)
	g.due.set(j, g.lastChance(j))
}

// goal is when a job has to be answered: at its goal time, or when its client will usually have gone, where
// many of those that wait as long do. Some leave at any moment, which tells nothing of the others.
func (j *Job) goal() Time {
	if p := j.Volume.Plan; p.Leaving > leavingShare {
		return min(j.GoalBy, j.Taken+Time(p.Leaves*float64(j.Product.Goal)))
	}
	return j.GoalBy
}

// lastChance is when a waiting job has to be sent to make its goal, as far as can be told.
func (g *Gateway) lastChance(j *Job) Time {
	at := j.goal()
	if j.Node != nil {
		at -= j.Node.takes(j.Units)
	}
	return max(min(at, j.StopBy-Millisecond), g.now+1)
}

// giveUp answers at once what is given up. A dismissal says when to come back, where clients are told.
func (g *Gateway) giveUp(j *Job) {
	s := WrittenOff
	if g.mayDismiss(j) {
		s = Dismissed
		if g.terms.flag("retry_after") {
			wait := g.aim
			if n := j.Node; n != nil {
				wait += Time(g.backlog(n) / g.rate(n) * float64(Second))
			}
			j.Wait = min(wait, g.terms.span("retry_after.most"))
		}
	}
	g.move(j, s)
	g.next.Ended = append(g.next.Ended, j)
}

// mayDismiss: a dismissal promises that trying again is harmless.
func (g *Gateway) mayDismiss(j *Job) bool {
	return j.Product.Kind == Replayable || j.Product.Kind == Referenced && j.Product.Group == AllNodes ||
		!slices.ContainsFunc(j.Execs, func(e *Execution) bool { return !e.Outcome.NeverRan() })
}

// mayRun tells whether an execution at n can be added without a second effect, a copy or a try too many.
func (g *Gateway) mayRun(j *Job, n *Node) bool {
	if j.barred() {
		return false
	}
	for _, e := range j.Execs {
		if e.Outcome == Out && !g.terms.flag("second_copies") {
			return false
		}
		if e.Outcome.NeverRan() || j.Product.Kind == Replayable {
			continue
		}
		if j.Product.Kind == SingleUse || g.now-e.Sent >= j.Product.Window ||
			j.Product.Group == SameZone && e.Node.Zone != n.Zone ||
			j.Product.Group == SameShard && e.Node.Shard != n.Shard {
			return false
		}
	}
	return len(j.Execs) == 0 || len(j.Execs) < int(g.terms.number("executions.most")) && g.mayAdd()
}

// mayAdd keeps the budget for further executions, where one is stated.
func (g *Gateway) mayAdd() bool {
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
func (g *Gateway) again(j *Job, n *Node, o Outcome) {
	rest := Time(0)
	if o == Full || o == Unconnected {
		rest = Time(float64(g.aim) * (0.25 + 0.25*g.chance.part()))
	}
	if j.Shard >= 0 && n.Shard == j.Shard && !g.mayRun(j, n) || g.now+rest+n.takes(j.Units) >= j.goal() ||
		j.StopBy <= g.now || o == Moot {
		g.giveUp(j)
		return
	}
	g.hold(j, rest)
}

// Left tells that a client has gone; nothing is owed to it.
func (g *Gateway) Left(now Time, id string) {
	g.now = now
	j := g.jobs[id]
	if j == nil || j.State.Over() {
		return
	}
	if p := j.Volume.Plan; now < j.GoalBy {
		g.leaving(p, 1)
		after := float64(now-j.Taken) / float64(max(j.Product.Goal, 1))
		if p.Leaves == 0 {
			p.Leaves = after
		}
		p.Leaves += leaveMemory * (after - p.Leaves)
	}
	g.move(j, Withdrawn)
	g.callOff(j, nil)
}

// leaving counts a client that left before the goal, or one that was served and had waited as long.
func (g *Gateway) leaving(p *Plan, left float64) {
	p.Leaving += leaveMemory * (left - p.Leaving)
	g.mode(&p.Hurried, p.Leaving > leavingShare, "clients of %s leave early: %%t, %.0f%%%%, at %.2f of the goal",
		p.Name, 100*p.Leaving, p.Leaves)
}

// overlook looks at a job that has an execution out. At a node that fails some, or where most that were
// overdue had no answer, one that is out for several times what it should take, while later ones have been
// answered, counts as lost: it holds no room any more, and the job is sent once more while it can make its
// goal; so is a new object at a suspect node. It guards against nodes that lose some of what they take and
// connections that fall silent; it could hurt where a failing node is also slow.
func (g *Gateway) overlook(j *Job) {
	e := j.Execs[len(j.Execs)-1]
	if e.Outcome != Out {
		return // an earlier one is out still
	}
	n := e.Node
	if !e.Late && n.HeardOf <= e.Sent && g.now-e.Sent > g.aim && g.stall() == 0 {
		e.Late = true // silence tells as much as a late answer, and sooner
		g.steer(n, 1, g.weight(n))
	}
	overdue := n.HeardOf > e.Sent && g.now-e.Sent > overdueTimes*n.takes(j.Units)
	e.Overdue = e.Overdue || overdue
	if overdue && !e.Lost && (n.Failing > failingShare || g.vain > vainShare) {
		e.Lost = true
		g.release(e)
	}
	if g.now < j.GoalBy || !e.Lost {
		g.due.set(j, g.now+max(g.aim/roundsPerAim, Millisecond))
	}
	if !e.Lost && !(j.Shard < 0 && n.Suspect) {
		return
	}
	if n := g.home(j); n != nil && g.mayGo(n, j) && g.now+n.takes(j.Units) < j.goal() {
		if j.Shard < 0 {
			n.Credits--
			j.Credit = n
		}
		g.send(j, n)
	}
}
