// Package scheduler orders and paces the jobs of many volumes over storage nodes, for one gateway.
//
// How it is called: New makes a Gateway from its start values. Each thing that happens is one call: Listing,
// Listed, ListDone, ListFailed, Agree, Take, Begun, Ended, Left, Probed. After the last call of a moment,
// Decide(now) says what to do and when to call again. The interface is in types.go; jobs.go has the life of a
// job, turns.go whose turn it is, outcomes.go executions, nodes.go what is known of nodes, cold.go what cold
// nodes and fair rates pass, terms.go what is acted on. docs/design.md tells of all by the names used here.
package scheduler

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
	listWaitMost = Second            // three calls in the time after which what it could have told counts as told
	silenceMost  = 6 * Second        // after the list fell silent, what it missed counts as told (platform protocol)
)

// New starts a gateway from its seed and what it is told at start.
func New(now Time, seed uint64, terms Settings) *Scheduler {
	g := &Scheduler{now: now, began: now, terms: terms, chance: newChance(seed), plans: map[string]*ServiceLevel{},
		products: map[string]*RequestClass{}, volumes: map[int64]*Volume{}, jobs: map[string]*Request{},
		lines: map[int64]*KeyQueue{}, byAddr: map[string]*Node{}, next: &Decision{},
		last: &Decision{}, listWait: listWait, heardAt: now}
	g.settle()
	g.next.WatchEndpoints = terms["discovery"] == "ask"
	return g
}

// Decide says what to do now.
func (g *Scheduler) Decide(now Time) *Decision {
	g.now = now
	for j := g.due.take(now); j != nil; j = g.due.take(now) {
		if j.State == RequestInFlight {
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
		if j.State == RequestUnplaced && !g.place(j) {
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
	*g.next = Decision{Finished: g.next.Finished[:0], Cancel: g.next.Cancel[:0], Dispatch: g.next.Dispatch[:0],
		Log: g.next.Log[:0]}
	return d
}

// round is the periodic work.
func (g *Scheduler) round() {
	if g.listAt > 0 && g.now >= g.listAt {
		g.listAt, g.next.WatchEndpoints = 0, true
	}
	for key, l := range g.lines { // no order reaches an action here
		if len(l.Requests) == 0 && l.BlockedUntil <= g.now {
			delete(g.lines, key)
		}
	}
	for _, n := range g.nodes {
		n.touched = true
		if n.AttemptsInFlight > 0 && g.now-n.LastAnswerAt-g.stall() > g.aim+Time(quietTimes*n.MeanLatency) {
			g.suspect(n, "answers nothing")
		}
		g.mode(&n.FairRateReduced, n.FairRate < 1, "%s is strained: %%t, fair rate %.0f%%%% of its start", n.Addr, 100*n.FairRate)
		g.mode(&n.FailureRateHigh, n.FailureRate > failingShare, "%s fails some: %%t, %.0f%%%%", n.Addr, 100*n.FailureRate)
		if n.PlacementCredits < creditsEach && g.now-n.CreditReturnedAt >= Time(creditDrip*float64(g.aim)) {
			n.CreditReturnedAt = g.now
			g.repay(n)
		}
	}
	g.roundAt = g.now + min(max(g.aim/roundsPerAim, Millisecond), listWait) // list calls wait for it too
}
