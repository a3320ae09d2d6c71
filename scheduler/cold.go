package scheduler

// cold tells whether a node started so lately that it can do only part of its work.
func (g *Scheduler) cold(n *Node) bool {
	born := g.born(n)
	return born > 0 && g.now-born < g.terms.span("cold.time")
}

// bears keeps cold nodes from being pushed over. All gateways push, and each sees only itself. Each sends its
// even part, saved up and passed by chance, of what is always borne or of what the stated cold share allows
// of the rate it knows; or more than it was answered there in as long, under the stated multiple. But few of
// many gateways meet a node, and the even parts of the others go unused. Where a part is under one job, the
// cold share of jobs inside their reserves, or inside as much of the fair rate, passes by chance too: a warm
// node can do what plans are sized for. It could hurt where it can't, and answers are quick all the same.
func (g *Scheduler) bears(n *Node, j *Request) bool {
	if !g.cold(n) {
		n.SlowStartSent, n.SlowStartAnswered = n.SlowStartSent[:0], n.SlowStartAnswered[:0]
		return true
	}
	if g.now < n.AllocationExpiresAt {
		return n.AllocatedUnits >= j.Units
	}
	window, multiple := g.terms.span("cold.window"), coldShare*g.terms.number("cold.multiple")
	if j.CoveredByAnswers = n.SlowStartSent.since(g.now-window)+j.Units <= multiple*n.SlowStartAnswered.since(g.now-window); j.CoveredByAnswers {
		return true
	}
	part := g.terms.number("cold.from")
	part += (1 - part) * float64(g.now-g.born(n)) / float64(g.terms.span("cold.time"))
	most := multiple * part * g.meanRate() * float64(window) / float64(Second)
	most = max(most, g.terms.number("cold.units")) / max(g.terms.number("gateways"), 1)
	n.SlowStart.resize(g.now, most/2/float64(window)*float64(Second), most/2)
	if j.SlowStartShareDraw == NotDrawn && n.SlowStart.Capacity < j.Units { // less half the first share: no answer has shown it
		j.SlowStartShareDraw = DrawDenied
		odds := multiple * (part - g.terms.number("cold.from")/2)
		if g.chance.part() < odds && (g.reserved(j) || g.spare(n, j, min(n.FairRate, part))) {
			j.SlowStartShareDraw = DrawAdmitted
		}
	}
	return j.SlowStartShareDraw == DrawAdmitted || g.within(&n.SlowStart, j, &j.SlowStartDraw)
}

// AllocateSlowStart says what the dealer of a node's budget lends: until then nothing else goes there while it is cold. It
// returns what was left of the last loan; born tells of which start.
func (g *Scheduler) AllocateSlowStart(now Time, addr string, born Time, units float64, till Time) (left float64) {
	n := g.byAddr[addr]
	if g.now = now; n == nil || n.StartedAt != born {
		return 0
	}
	if now < n.AllocationExpiresAt {
		left = n.AllocatedUnits
	}
	n.AllocatedUnits, n.AllocationExpiresAt, n.touched = units, till, true
	return left
}

// fair tells whether a job beyond the reserve can go. It guards against many gateways that each send a little
// too much: what one saw of a node is soon untrue, but how much it takes beyond reserves lasts. Its fair rate
// follows waits; under its start, our part of it goes by weight. It hurts where answers are dear, not late.
func (g *Scheduler) fair(n *Node, j *Request) bool {
	return !g.heavy(n) && (n.FairRate >= 1 || g.spare(n, j, n.FairRate))
}

// spare tells whether so much of the fair rate's start holds a job of our part.
func (g *Scheduler) spare(n *Node, j *Request, much float64) bool {
	f, v := g.flow(n, j.Volume), j.Volume
	rate := v.Share * v.ServiceLevel.Weight * much * g.fairRate
	f.Excess.resize(g.now, rate, rate+v.Share*g.terms.number("units.largest"))
	return g.within(&f.Excess, j, &j.ExcessDraw)
}

// within tells whether a store holds a job's units. One that is too small for it, as the part of a gateway of
// many is, passes a part of such jobs by chance, and is emptied by each: right in the sum over all gateways.
func (g *Scheduler) within(s *TokenBucket, j *Request, drawn *AdmissionDraw) bool {
	level := s.Refill(g.now)
	if s.Capacity >= j.Units || s.Rate <= 0 {
		return s.Rate > 0 && level >= j.Units
	}
	if *drawn == NotDrawn {
		*drawn = DrawDenied
		if g.chance.part()*j.Units < level {
			*drawn = DrawAdmitted
		}
		s.Level = min(level, 0)
	}
	return *drawn == DrawAdmitted
}

// reserved tells whether a job lies inside its volume's reserve.
func (g *Scheduler) reserved(j *Request) bool { return g.within(&j.Volume.Reserve, j, &j.ReserveDraw) }

// payable tells whether this gateway's part of the volume's limit holds a job's units.
func (g *Scheduler) payable(j *Request) bool {
	return j.LimitCharged || j.Volume.ServiceLevel.RateLimit <= 0 || j.Volume.RateLimit.Refill(g.now) >= j.Units
}
