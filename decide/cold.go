package decide

// cold tells whether a node started so lately that it can do only part of its work.
func (g *Gateway) cold(n *Node) bool {
	born := g.born(n)
	return born > 0 && g.now-born < g.terms.span("cold.time")
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
	if g.now < n.LentTill {
		return n.Lent >= j.Units
	}
	window, multiple := g.terms.span("cold.window"), coldShare*g.terms.number("cold.multiple")
	if j.Answered = n.Sends.since(g.now-window)+j.Units <= multiple*n.Answers.since(g.now-window); j.Answered {
		return true
	}
	part := g.terms.number("cold.from")
	part += (1 - part) * float64(g.now-g.born(n)) / float64(g.terms.span("cold.time"))
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

// Lend says what the dealer of a node's budget lends: until then nothing else goes there while it is cold. It
// returns what was left of the last loan; born tells of which start.
func (g *Gateway) Lend(now Time, addr string, born Time, units float64, till Time) (left float64) {
	n := g.byAddr[addr]
	if g.now = now; n == nil || n.Born != born {
		return 0
	}
	if now < n.LentTill {
		left = n.Lent
	}
	n.Lent, n.LentTill, n.touched = units, till, true
	return left
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

// reserved tells whether a job lies inside its volume's reserve.
func (g *Gateway) reserved(j *Job) bool { return g.within(&j.Volume.Reserve, j, &j.Reserved) }

// payable tells whether this gateway's part of the volume's limit holds a job's units.
func (g *Gateway) payable(j *Job) bool {
	return j.Paid || j.Volume.Plan.Limit <= 0 || j.Volume.Limit.Fill(g.now) >= j.Units
}
