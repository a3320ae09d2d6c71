package scheduler

import (
	"math"
	"slices"
)

// flow finds or makes a volume's flow at a node.
func (g *Scheduler) flow(n *Node, v *Volume) *Flow {
	f := n.flowIndex[v]
	if f == nil {
		full := TokenBucket{Level: math.Inf(1), Capacity: math.Inf(1)}
		f = &Flow{Volume: v, VirtualStart: n.VirtualTime, Budget: g.budget(), Excess: full}
		n.flowIndex[v] = f
		n.Flows = append(n.Flows, f)
	}
	return f
}

func (g *Scheduler) budget() float64 { return budgetJobs * g.mean }

// place queues a held job at a node, or gives it up where it cannot make its goal.
func (g *Scheduler) place(j *Request) bool {
	if j.barred() {
		g.giveUp(j)
		return true
	}
	if j.NotBefore > g.now || j.KeyQueue != nil && (j.KeyQueue.Requests[0] != j || j.KeyQueue.BlockedUntil > g.now) {
		return false
	}
	n := g.home(j)
	if n == nil {
		return false
	}
	f := g.flow(n, j.Volume)
	// What cannot make its goal earns little: it goes at once to a node with nothing of ours, or not at all; and
	// what is past its goal, as clients' retries are, only to one that is lightly used, whoever uses it.
	if g.now+n.takes(j.Units) > j.goal() && (n.AttemptsInFlight > 0 || g.backlog(n) > 0 ||
		g.now >= j.ObjectiveDeadline && n.Measured && !g.light(n)) {
		g.giveUp(j)
		return true
	}
	if len(f.Queue) == 0 && f.InFlight == 0 {
		f.VirtualStart = max(f.VirtualStart, n.VirtualTime) // an idle volume gathers no credit in virtual time
	}
	at, _ := slices.BinarySearchFunc(f.Queue, j, func(a, b *Request) int {
		if a.ObjectiveDeadline <= b.ObjectiveDeadline {
			return -1
		}
		return 1
	})
	f.Queue = slices.Insert(f.Queue, at, j)
	if j.Shard < 0 {
		n.PlacementCredits--
		j.CreditNode = n
	}
	g.move(j, RequestQueued)
	j.Node, n.touched = n, true
	g.due.set(j, g.lastChance(j))
	return true
}

// home names the node that is to serve a job: the one that holds its data, or for a new object the one with
// credit left that would be through with it first.
func (g *Scheduler) home(j *Request) (best *Node) {
	least := math.Inf(1)
	for _, n := range g.nodes {
		if !g.open(n) || !g.mayRun(j, n) {
			continue
		}
		if j.Shard >= 0 {
			if n.Shard == j.Shard && (best == nil || n.StartedAt > best.StartedAt) {
				best = n
			}
			continue
		}
		if n.PlacementCredits <= 0 || n.Suspected ||
			slices.ContainsFunc(j.Attempts, func(e *Attempt) bool { return e.Node == n && e.Outcome != OutcomeOverloaded }) {
			continue
		}
		wait := (n.UnitsInFlight + g.backlog(n) + j.Units) / g.rate(n) / max(1-n.FailureRate, 0.05) * (1 + g.chance.part()/8)
		if g.cold(n) {
			wait += 1e6 // what a cold node bears is for the jobs that no other can serve, unless all are cold
		}
		if wait < least {
			best, least = n, wait
		}
	}
	return best
}

// backlog is the units that wait at a node.
func (g *Scheduler) backlog(n *Node) (units float64) {
	for _, f := range n.Flows {
		for _, j := range f.Queue {
			units += j.Units
		}
	}
	return units
}

// mayGo tells whether a job can go to the node that it is queued at.
func (g *Scheduler) mayGo(n *Node, j *Request) bool {
	full := n.AttemptsInFlight > 0 && n.UnitsInFlight+j.Units > g.bound(n) && (n.AttemptsInFlight > 1 || !g.light(n))
	may := g.open(n) && g.now >= n.EjectedUntil && (n.Suspected || !full)
	return may && (g.reserved(j) || g.fair(n, j)) && g.bears(n, j)
}

// serve sends what a node may be sent.
func (g *Scheduler) serve(n *Node) {
	g.learn(n)
	for {
		f := g.choose(n)
		if f == nil {
			return
		}
		j := f.Queue[0]
		if !g.mayRun(j, n) { // while it waited, another took what was left of the budget, or its window closed
			g.giveUp(j)
			continue
		}
		if !g.mayGo(n, j) {
			if j.SlowStartDraw == DrawDenied && len(n.SlowStartAnswered) == 0 { // nothing opens the node before its last chance
				g.giveUp(j)
				continue
			}
			return
		}
		f.Queue = slices.Delete(f.Queue, 0, 1)
		g.send(j, n)
	}
}

// choose names the flow that goes next: one inside its reserve, else the turn's, else by virtual finish time.
func (g *Scheduler) choose(n *Node) *Flow {
	if t := n.InService; t != nil {
		switch {
		case t.Budget <= 0:
			active := 0.0
			for _, f := range n.Flows {
				if len(f.Queue) > 0 || f.InFlight > 0 {
					active++
				}
			}
			least := g.budget() / budgetFloor
			t.Budget = max(max(g.budget()/max(active, 1), least)+t.Budget, least) // overdraft counts against it
			n.InService = nil
		case g.now-n.InServiceSince >= turnExpiry,
			len(t.Queue) == 0 && t.InFlight == 0 && g.now-t.LastAnsweredAt >= t.AverageSendGap:
			if t.Budget <= g.budget()/budgetFloor {
				t.Budget = g.budget()
			}
			n.InService = nil
		}
	}
	var first, due *Flow
	var firstAt, dueAt float64
	for _, f := range n.Flows {
		if len(f.Queue) == 0 || !g.payable(f.Queue[0]) {
			continue
		}
		j := f.Queue[0]
		at := f.VirtualStart + j.Units/f.Volume.ServiceLevel.Weight
		if first == nil || at < firstAt {
			first, firstAt = f, at
		}
		if g.reserved(j) && (due == nil || at < dueAt) {
			due, dueAt = f, at
		}
	}
	if n.InService == nil && first != nil {
		n.InService, n.InServiceSince = first, g.now
	}
	if due != nil {
		return due
	}
	if t := n.InService; t != nil && len(t.Queue) > 0 && g.payable(t.Queue[0]) {
		return t
	}
	return first
}

// charge counts units beyond the reserve, sent by this gateway or served by others, on virtual time.
func (g *Scheduler) charge(n *Node, f *Flow, units float64) {
	weights, least := 0.0, math.Inf(1)
	f.VirtualStart += units / f.Volume.ServiceLevel.Weight
	for _, o := range n.Flows {
		if len(o.Queue) > 0 || o.InFlight > 0 || o == f {
			weights += o.Volume.ServiceLevel.Weight
		}
		if len(o.Queue) > 0 {
			least = min(least, o.VirtualStart)
		}
	}
	n.VirtualTime += units / weights
	if !math.IsInf(least, 1) {
		n.VirtualTime = max(n.VirtualTime, least)
	}
}
