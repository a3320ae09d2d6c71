// Package decide orders and paces the jobs of many volumes over storage nodes, for one gateway.
//
// How it is called: New makes a Gateway from its start values. Each thing that happens is one call: Listing,
// Listed, ListDone, ListFailed, Take, Begun, Ended, Left, Probed. After the last call of a moment,
// Decide(now) says what to do: executions to start and call off, jobs ended, list calls, log lines, and when
// to call again. The interface is in types.go (what is handed in and out); chance.go, due.go and start.go
// hold mechanics only. docs/design.md tells of the mechanism and its exceptions, by the names used here.
package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Open values of the design. "Aim" is the tightest goal time of all products.
const (
	budgetJobs   = 8.0               // default budget of a turn, in mean jobs
	budgetFloor  = 32.0              // the minimum budget is the default divided by this
	turnExpiry   = 300 * Millisecond // a turn lasts no longer
	boundAims    = 0.5               // the bound is what a node answers in this part of the aim, at first
	boundLeast   = 0.15              // the narrowest part
	boundMost    = 1.0               // the widest part
	boundMissed  = 0.6               // an answer past its goal narrows the part so
	boundMade    = 1.005             // and one within it widens it so
	boundFirst   = 4.0               // mean jobs out at a node while nothing is known of any
	boundCeiling = 32.0              // mean jobs; the bound never passes it
	standIn      = 2.0               // rates of a plan that stand in for its reserve where no plan has one
	lightAims    = 0.25              // a node that needs less of the aim for a mean job may have two out
	heavyAims    = 0.5               // one that needs more is left to what is reserved
	rateMemory   = 4.0               // busy time over which a rate is learned, in aims
	creditsEach  = 4                 // credits of a node for new objects
	creditDrip   = 4.0               // a credit lost without a good answer comes back after so many aims
	gapMemory    = 0.125             // weight of the newest send gap, latency or failure in its average
	quietTimes   = 4.0               // a node that answers nothing for an aim and so many usual times is suspect
	overdueTimes = 4                 // an execution is overdue after so many times what it should take
	failingShare = 0.05              // and counts as lost at a node that fails more than this share
	vainShare    = 0.5               // or where more than this share of those that were overdue had no answer
	restMost     = 32.0              // the longest rest of a node that needs over the aim, in aims
	partMemory   = 5 * Second        // over which a gateway's part of a volume's service is counted
	partFirst    = 2.0               // mean jobs for which the even part counts in it
	baseRise     = 0.02              // weight of an answer slower than a node's best in that best
	fairWait     = 0.25              // the wait, in aims, that a node's fair rate is steered to
	fairGain     = 3.0               // and how fast, as a power, for an aim of difference
	fairLeast    = 1.0 / 32          // the least fair rate, as a part of its start
	fairMost     = 4.0               // and the most; from its start on the node is open to all
	judgeAims    = 10.0              // aims after which an earlier judgement of a node counts a third
	leaveMemory  = 1.0 / 64          // weight of the newest client in the average of those that leave
	leavingShare = 0.25              // where more of those that wait as long leave, jobs count by when they do
	coldShare    = 0.5               // part of the multiple of what a cold node can do that is used
	roundsPerAim = 8                 // periodic rounds in one aim
	listWait     = 250 * Millisecond // first wait after a failed list call; it doubles up to the most
	listWaitMost = 16 * Second
)

// New starts a gateway from its seed and what it is told at start.
func New(now Time, seed uint64, terms Terms) *Gateway {
	g := &Gateway{now: now, began: now, terms: terms, chance: newChance(seed), plans: map[string]*Plan{},
		products: map[string]*Product{}, volumes: map[int64]*Volume{}, jobs: map[string]*Job{},
		lines: map[int64]*Line{}, byAddr: map[string]*Node{}, next: &Decision{},
		last: &Decision{}, listWait: listWait}
	reserves, rates, weights := false, 0.0, 0.0
	for i := range terms.count("plans") {
		p := terms.plan(i)
		p.Weight = cmp.Or(max(p.Weight, 0), 1)
		g.plans[p.Name] = p
		reserves = reserves || p.Reserve > 0
		rates, weights = rates+p.Rate, weights+p.Weight
	}
	g.fairRate = rates / max(weights, 1e-3)
	for _, p := range g.plans { // where no plan reserves, a multiple of what it is sized for stands in
		if !reserves {
			p.Reserve = standIn * p.Rate
		}
	}
	for i := range terms.count("products") {
		p := terms.product(i)
		if p.Goal > 0 && (g.aim == 0 || p.Goal < g.aim) {
			g.aim = p.Goal
		}
		g.products[p.Name] = p
	}
	g.aim, g.mean = max(g.aim, Millisecond), max(terms.number("units.mean"), 1e-3)
	g.next.Watch = terms["discovery"] == "ask"
	return g
}

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
		n.Warm = Store{At: g.now}
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
		g.listAt, g.listWait = 0, listWait
	}
}

// ListFailed tells that a list call failed, which does not say whether a watch still stands. It is asked anew
// after a wait that doubles, spread so that the gateways do not come back at one moment.
func (g *Gateway) ListFailed(now Time) {
	g.now = now
	if g.terms["discovery"] == "ask" {
		g.listAt = now + Time(float64(g.listWait)*(0.5+g.chance.part()))
		g.log("the list does not answer, asked again in %d ms", (g.listAt-now)/Millisecond)
		g.listWait = min(2*g.listWait, listWaitMost)
	}
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

// Take takes a job. The caller has filled its ID, Units, Shard, Key, Write and StopBy.
func (g *Gateway) Take(now Time, j *Job, volume int64, plan, product string, hosts float64, keyed bool) {
	g.now = now
	if j.Product = g.products[product]; j.Product == nil {
		j.Product = &Product{Name: product, Kind: SingleUse, Goal: j.StopBy - now, Patience: j.StopBy - now}
		g.products[product] = j.Product
	}
	j.Volume, j.Taken = g.volume(volume, plan, hosts), now
	p := j.Product
	// Time counts from a client's first try. A try with less left than the longest yet seen is a later one.
	left := j.StopBy - now
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
			p = &Plan{Name: plan, Weight: 1}
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

// flow finds or makes a volume's flow at a node.
func (g *Gateway) flow(n *Node, v *Volume) *Flow {
	f := n.flowIndex[v]
	if f == nil {
		full := Store{Level: math.Inf(1), Most: math.Inf(1)}
		f = &Flow{Volume: v, Start: n.Virtual, Budget: g.budget(), Due: full}
		n.flowIndex[v] = f
		n.Flows = append(n.Flows, f)
	}
	return f
}

func (g *Gateway) budget() float64 { return budgetJobs * g.mean }

// place queues a held job at a node, or gives it up where it cannot make its goal.
func (g *Gateway) place(j *Job) bool {
	if j.NotTill > g.now || j.Line != nil && (j.Line.Jobs[0] != j || j.Line.RestUntil > g.now) {
		return false
	}
	n := g.home(j)
	if n == nil {
		return false
	}
	f := g.flow(n, j.Volume)
	// What cannot make its goal earns little: it goes at once to a node with nothing of ours, or not at all; and
	// what is past its goal, as clients' retries are, only to one that is lightly used, whoever uses it.
	if g.now+n.takes(j.Units) > j.goal() && (n.Execs > 0 || g.backlog(n) > 0 ||
		g.now >= j.GoalBy && n.Known && !g.light(n)) {
		g.giveUp(j)
		return true
	}
	if len(f.Queue) == 0 && f.Out == 0 {
		f.Start = max(f.Start, n.Virtual) // an idle volume gathers no credit in virtual time
	}
	at, _ := slices.BinarySearchFunc(f.Queue, j, func(a, b *Job) int {
		if a.GoalBy <= b.GoalBy {
			return -1
		}
		return 1
	})
	f.Queue = slices.Insert(f.Queue, at, j)
	if j.Shard < 0 {
		n.Credits--
		j.Credit = n
	}
	g.move(j, Queued)
	j.Node, n.touched = n, true
	g.due.set(j, g.lastChance(j))
	return true
}

// home names the node that is to serve a job: the one that holds its data, or for a new object the one with
// credit left that would be through with it first.
func (g *Gateway) home(j *Job) (best *Node) {
	least := math.Inf(1)
	for _, n := range g.nodes {
		if n.Standing != Ready || !g.mayRun(j, n) {
			continue
		}
		if j.Shard >= 0 {
			if n.Shard == j.Shard && (best == nil || n.Born > best.Born) {
				best = n
			}
			continue
		}
		if n.Credits <= 0 || n.Suspect ||
			slices.ContainsFunc(j.Execs, func(e *Execution) bool { return e.Node == n && e.Outcome != Full }) {
			continue
		}
		wait := (n.Out + g.backlog(n) + j.Units) / g.rate(n) / max(1-n.Failing, 0.05) * (1 + g.chance.part()/8)
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
func (g *Gateway) backlog(n *Node) (units float64) {
	for _, f := range n.Flows {
		for _, j := range f.Queue {
			units += j.Units
		}
	}
	return units
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

// cold tells whether a node started so lately that it can do only part of its work.
func (g *Gateway) cold(n *Node) bool {
	return n.Born > 0 && g.now-n.Born < g.terms.span("cold.time")
}

// bears keeps cold nodes from being pushed over. All gateways push, and each sees only itself. Each sends its
// even part, saved up and passed by chance, of what is always borne or of what the stated cold share allows
// of the rate it knows; or more than it was answered there in as long, under the stated multiple. But few of
// many gateways meet a node, and the even parts of the others go unused. Where a part is under one job, the
// cold share of jobs inside their reserves, or inside as much of the fair rate, passes by chance too: a warm
// node can do what plans are sized for. It could hurt where it can't, and answers are quick all the same.
func (g *Gateway) bears(n *Node, j *Job) bool {
	if !g.cold(n) {
		n.Sends, n.Answers = n.Sends[:0], n.Answers[:0]
		return true
	}
	window, multiple := g.terms.span("cold.window"), coldShare*g.terms.number("cold.multiple")
	if j.Answered = n.Sends.since(g.now-window)+j.Units <= multiple*n.Answers.since(g.now-window); j.Answered {
		return true
	}
	part := g.terms.number("cold.from")
	part += (1 - part) * float64(g.now-n.Born) / float64(g.terms.span("cold.time"))
	most := multiple * part * g.meanRate() * float64(window) / float64(Second)
	most = max(most, g.terms.number("cold.units")) / max(g.terms.number("gateways"), 1)
	n.Warm.resize(g.now, most/2/float64(window)*float64(Second), most/2)
	if j.Borne == Undrawn && n.Warm.Most < j.Units { // less half the first share: no answer has shown it
		j.Borne = Missed
		odds := multiple * (part - g.terms.number("cold.from")/2)
		if g.chance.part() < odds && (g.reserved(j) || g.spare(n, j, min(n.Fair, part))) {
			j.Borne = Passed
		}
	}
	return j.Borne == Passed || g.within(&n.Warm, j, &j.Cold)
}

// light: a second job may pass the bound, as one big one fills it. It would hurt where many share a node.
func (g *Gateway) light(n *Node) bool {
	return n.Known && n.takes(g.mean) < Time(lightAims*float64(g.aim))
}

// fair tells whether a job beyond the reserve can go. It guards against many gateways that each send a little
// too much: what one saw of a node is soon untrue, but how much it takes beyond reserves lasts. Its fair rate
// follows waits; under its start, our part of it goes by weight. It hurts where answers are dear, not late.
func (g *Gateway) fair(n *Node, j *Job) bool {
	return !g.heavy(n) && (n.Fair >= 1 || g.spare(n, j, n.Fair))
}

// spare tells whether so much of the fair rate's start holds a job of our part.
func (g *Gateway) spare(n *Node, j *Job, much float64) bool {
	f, v := g.flow(n, j.Volume), j.Volume
	rate := v.Part * v.Plan.Weight * much * g.fairRate
	f.Due.resize(g.now, rate, rate+v.Part*g.terms.number("units.largest"))
	return g.within(&f.Due, j, &j.Spare)
}

// within tells whether a store holds a job's units. One that is too small for it, as the part of a gateway of
// many is, passes a part of such jobs by chance, and is emptied by each: right in the sum over all gateways.
func (g *Gateway) within(s *Store, j *Job, drawn *Draw) bool {
	level := s.Fill(g.now)
	if s.Most >= j.Units || s.Rate <= 0 {
		return s.Rate > 0 && level >= j.Units
	}
	if *drawn == Undrawn {
		*drawn = Missed
		if g.chance.part()*j.Units < level {
			*drawn = Passed
		}
		s.Level = min(level, 0)
	}
	return *drawn == Passed
}

// heavy: just heard of as slow for a mean job, a node is left to reserves, lest others' spare jobs go first.
func (g *Gateway) heavy(n *Node) bool {
	return n.Known && g.now-n.Heard < g.aim && n.takes(g.mean) > Time(heavyAims*float64(g.aim))
}

// mayGo tells whether a job can go to the node that it is queued at.
func (g *Gateway) mayGo(n *Node, j *Job) bool {
	full := n.Execs > 0 && n.Out+j.Units > g.bound(n) && (n.Execs > 1 || !g.light(n))
	return g.now >= n.TryAt && (n.Suspect || !full) && (g.reserved(j) || g.fair(n, j)) && g.bears(n, j)
}

// payable tells whether this gateway's part of the volume's limit holds a job's units.
func (g *Gateway) payable(j *Job) bool {
	return j.Paid || j.Volume.Plan.Limit <= 0 || j.Volume.Limit.Fill(g.now) >= j.Units
}

// serve sends what a node may be sent.
func (g *Gateway) serve(n *Node) {
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
			if j.Cold == Missed && len(n.Answers) == 0 { // nothing opens the node before its last chance
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
func (g *Gateway) choose(n *Node) *Flow {
	if t := n.Turn; t != nil {
		switch {
		case t.Budget <= 0:
			active := 0.0
			for _, f := range n.Flows {
				if len(f.Queue) > 0 || f.Out > 0 {
					active++
				}
			}
			least := g.budget() / budgetFloor
			t.Budget = max(max(g.budget()/max(active, 1), least)+t.Budget, least) // overdraft counts against it
			n.Turn = nil
		case g.now-n.TurnSince >= turnExpiry,
			len(t.Queue) == 0 && t.Out == 0 && g.now-t.Answered >= t.Gap:
			if t.Budget <= g.budget()/budgetFloor {
				t.Budget = g.budget()
			}
			n.Turn = nil
		}
	}
	var first, due *Flow
	var firstAt, dueAt float64
	for _, f := range n.Flows {
		if len(f.Queue) == 0 || !g.payable(f.Queue[0]) {
			continue
		}
		j := f.Queue[0]
		at := f.Start + j.Units/f.Volume.Plan.Weight
		if first == nil || at < firstAt {
			first, firstAt = f, at
		}
		if g.reserved(j) && (due == nil || at < dueAt) {
			due, dueAt = f, at
		}
	}
	if n.Turn == nil && first != nil {
		n.Turn, n.TurnSince = first, g.now
	}
	if due != nil {
		return due
	}
	if t := n.Turn; t != nil && len(t.Queue) > 0 && g.payable(t.Queue[0]) {
		return t
	}
	return first
}

// reserved tells whether a job lies inside its volume's reserve.
func (g *Gateway) reserved(j *Job) bool { return g.within(&j.Volume.Reserve, j, &j.Reserved) }

// charge counts units beyond the reserve, sent by this gateway or served by others, on virtual time.
func (g *Gateway) charge(n *Node, f *Flow, units float64) {
	weights, least := 0.0, math.Inf(1)
	f.Start += units / f.Volume.Plan.Weight
	for _, o := range n.Flows {
		if len(o.Queue) > 0 || o.Out > 0 || o == f {
			weights += o.Volume.Plan.Weight
		}
		if len(o.Queue) > 0 {
			least = min(least, o.Start)
		}
	}
	n.Virtual += units / weights
	if !math.IsInf(least, 1) {
		n.Virtual = max(n.Virtual, least)
	}
}

// send starts an execution.
func (g *Gateway) send(j *Job, n *Node) {
	f := g.flow(n, j.Volume)
	if len(j.Execs) > 0 && g.terms["further.window"] != "" {
		g.further = append(g.further, g.now)
	}
	if !j.Paid {
		j.Paid = true
		j.Volume.Limit.Level -= j.Units
	}
	e := &Execution{Job: j, Number: len(j.Execs), Node: n, Sent: g.now}
	j.Execs = append(j.Execs, e)
	j.Node = n
	g.move(j, Running)
	if g.reserved(j) {
		j.Volume.Reserve.take(j.Units)
	} else {
		f.Due.take(j.Units)
		g.charge(n, f, j.Units)
	}
	if n.Turn == f {
		f.Budget -= j.Units
	}
	if f.Sent > 0 {
		f.Gap += Time(gapMemory * float64(g.now-f.Sent-f.Gap))
	}
	f.Sent = g.now
	g.learn(n)
	if n.Execs == 0 {
		n.Heard = g.now
	}
	f.Out++
	n.Execs++
	n.Out += j.Units
	if g.cold(n) {
		if !j.Answered && j.Borne != Passed {
			n.Warm.take(j.Units)
		}
		j.Cold, j.Borne = Undrawn, Undrawn
		n.Sends = append(n.Sends, Spent{g.now, j.Units})
	}
	if n.Suspect {
		n.TryAt = g.now + Time(float64(g.aim)*(1+g.chance.part()))
	}
	g.next.Start = append(g.next.Start, e)
	g.due.set(j, g.now+max(min(overdueTimes*n.takes(j.Units), g.aim), g.aim/roundsPerAim))
}

// repay gives a node a credit back.
func (g *Gateway) repay(n *Node) { n.Credits = min(n.Credits+1, creditsEach) }

// Begun tells that an execution's answer flows: it is the client's now, and others are called off.
func (g *Gateway) Begun(now Time, id string, number int) {
	g.now = now
	j := g.jobs[id]
	if j == nil || number < 0 || number >= len(j.Execs) || j.State.Over() {
		return
	}
	g.move(j, Streaming)
	g.due.set(j, 0)
	j.Execs[number].Node.Heard = now
	g.callOff(j, j.Execs[number])
}

// callOff calls off the executions of a job but one, where that is allowed.
func (g *Gateway) callOff(j *Job, but *Execution) {
	for _, e := range j.Execs {
		if e != but && e.Outcome == Out && !e.CalledOff && g.terms.flag("calling_off") {
			e.CalledOff = true
			g.next.CallOff = append(g.next.CallOff, e)
		}
	}
}

// Ended tells how an execution ended. Final means that the job has had its answer; others is what this shard
// served the volume through other gateways since it last answered this one about it.
func (g *Gateway) Ended(now Time, id string, number int, o Outcome, took Time, final bool, others float64) {
	g.now = now
	j := g.jobs[id]
	if j == nil || number < 0 || number >= len(j.Execs) || j.Execs[number].Outcome != Out || o == Out {
		return
	}
	e := j.Execs[number]
	n, f := e.Node, g.flow(e.Node, j.Volume)
	if e.Outcome = o; !e.Lost {
		g.release(e)
	}
	f.Answered = now
	g.hear(n, e, took)
	if others > 0 {
		g.charge(n, f, others)
	}
	if o == Served {
		g.served(j.Volume, j.Units, max(others, 0))
	}
	if j.Line != nil && (o == TimedOut || o == Reset || o == CalledOff) {
		j.Line.RestUntil = max(j.Line.RestUntil, now+g.terms.span("key.rest"))
	}
	switch {
	case j.State.Over():
		g.forget(j)
	case final && o == Served:
		if p := j.Volume.Plan; now-j.Taken >= Time(p.Leaves*float64(j.Product.Goal)) { // it waited as long as those
			g.leaving(p, 0)
		}
		g.move(j, Completed)
		g.callOff(j, e)
	case final:
		g.move(j, WrittenOff) // a stream that broke has told its client so
	case j.State == Running && j.out() == 0:
		g.again(j, n, o)
	}
}

// hear learns from an execution's outcome.
func (g *Gateway) hear(n *Node, e *Execution, took Time) {
	if e.Outcome == CalledOff || e.Outcome == Moot {
		return
	}
	w, fail := g.weight(n), 1.0
	if e.Overdue && (e.Outcome == Served || e.Outcome == TimedOut || e.Outcome == Reset) {
		vain := 1.0
		if e.Outcome == Served {
			vain = 0
		}
		g.vain += gapMemory * (vain - g.vain)
		g.mode(&g.loses, g.vain > vainShare, "overdue counts as lost: %%t, %.0f%%%% had no answer", 100*g.vain)
	}
	if e.Outcome == Served || e.Outcome == Full {
		fail = 0
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

// steer moves a node's fair rate by how long an answer waited, in aims.
func (g *Gateway) steer(n *Node, wait, w float64) {
	n.Fair = min(max(n.Fair*math.Exp(fairGain*w*(fairWait-min(max(wait, 0), 2))), fairLeast), fairMost)
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

// Probed tells how a probe ended.
func (g *Gateway) Probed(now Time, addr string, o Outcome, took Time) { g.now = now }

// Decide says what to do now.
func (g *Gateway) Decide(now Time) *Decision {
	g.now = now
	for j := g.due.take(now); j != nil; j = g.due.take(now) {
		if j.State == Running {
			g.overlook(j)
		} else { // its last chance to make its goal has gone by
			g.giveUp(j)
		}
	}
	if now >= g.roundAt {
		g.round()
	}
	waiting := g.held
	g.held = g.held[len(g.held):]
	for _, j := range waiting {
		if j.State == Held && !g.place(j) {
			g.held = append(g.held, j)
		}
	}
	for _, n := range g.nodes {
		if n.touched {
			n.touched = false
			g.serve(n)
		}
	}
	d := g.next
	d.NextWake = g.roundAt
	if at := g.due.first(); at > 0 {
		d.NextWake = min(d.NextWake, at)
	}
	g.next, g.last = g.last, d
	*g.next = Decision{Ended: g.next.Ended[:0], CallOff: g.next.CallOff[:0], Start: g.next.Start[:0],
		Log: g.next.Log[:0]}
	return d
}

// round is the periodic work.
func (g *Gateway) round() {
	if g.listAt > 0 && g.now >= g.listAt {
		g.listAt, g.next.Watch = 0, true
	}
	for key, l := range g.lines { // no order reaches an action here
		if len(l.Jobs) == 0 && l.RestUntil <= g.now {
			delete(g.lines, key)
		}
	}
	for _, n := range g.nodes {
		n.touched = true
		if n.Execs > 0 && g.now-n.Heard-g.stall() > g.aim+Time(quietTimes*n.Latency) {
			g.suspect(n, "answers nothing")
		}
		g.mode(&n.Strained, n.Fair < 1, "%s is strained: %%t, fair rate %.0f%%%% of its start", n.Addr, 100*n.Fair)
		g.mode(&n.Fails, n.Failing > failingShare, "%s fails some: %%t, %.0f%%%%", n.Addr, 100*n.Failing)
		if n.Credits < creditsEach && g.now-n.CreditAt >= Time(creditDrip*float64(g.aim)) {
			n.CreditAt = g.now
			g.repay(n)
		}
	}
	g.roundAt = g.now + max(g.aim/roundsPerAim, Millisecond)
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

// release takes an execution off what is out.
func (g *Gateway) release(e *Execution) {
	g.learn(e.Node)
	g.flow(e.Node, e.Job.Volume).Out--
	e.Node.Execs--
	e.Node.Out = max(e.Node.Out-e.Job.Units, 0)
	e.Node.touched = true
}

// leaving counts a client that left before the goal, or one that was served and had waited as long.
func (g *Gateway) leaving(p *Plan, left float64) {
	p.Leaving += leaveMemory * (left - p.Leaving)
	g.mode(&p.Hurried, p.Leaving > leavingShare, "clients of %s leave early: %%t, %.0f%%%%, at %.2f of the goal",
		p.Name, 100*p.Leaving, p.Leaves)
}

// mode logs a change of mode, with what caused it.
func (g *Gateway) mode(was *bool, is bool, format string, args ...any) {
	if *was != is {
		*was = is
		g.log(fmt.Sprintf(format, args...), is)
	}
}

func (g *Gateway) log(format string, args ...any) {
	g.next.Log = append(g.next.Log, fmt.Sprintf(format, args...))
}
