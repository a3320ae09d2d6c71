package decide

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
		if g.now < n.LentTill {
			n.Lent, e.Till = n.Lent-j.Units, n.LentTill
		} else if !j.Answered && j.Borne != Passed {
			n.Warm.take(j.Units)
		}
		j.Cold, j.Borne = Undrawn, Undrawn
		n.Sends = append(n.Sends, Spent{g.now, j.Units})
	}
	for _, o := range j.Execs { // it begins while all that may have run are remembered
		if till := o.Sent + j.Product.Window; j.Product.Kind == Referenced && !o.Outcome.NeverRan() &&
			o != e && (e.Till == 0 || till < e.Till) {
			e.Till = till
		}
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
