// Package pace decides how fast sessions of a target may send commands, and whose goes next: a bound on commands inside the
// gateway that is learned from what becomes of them, turns between sessions by bytes, and each session's command window.
// It is pure: no I/O, no clock. The decision module behind it decides what goes to which node when; this one only keeps
// commands waiting at the initiator, who can be made to wait, instead of inside, where they would be dismissed.
package pace

// Terms are its figures.
type Terms struct {
	Least, Most int // commands without an answer that a session may have, where there is a crowd and where there is none
	Start       int // commands inside to begin with
	Inside      int // and at most
	Bytes       int // of data that commands inside may hold, at most; one command is always let in
	Quantum     int // bytes of a session's turn
}

// DefaultTerms are used where nothing else is said.
var DefaultTerms = Terms{Least: 2, Most: 256, Start: 32, Inside: 512, Bytes: 64 << 20, Quantum: 64 << 10}

// State is how a pacer stands.
type State uint8

// The states of a pacer.
const (
	Open   State = iota // what comes goes in
	Slow                // commands were dismissed, the bound is under what it was
	Closed              // nothing new is taken; what was taken goes on
)

func (s State) String() string { return [...]string{"open", "slow", "closed"}[s] }

// End is how a command came back.
type End uint8

// The ways in which a command comes back.
const (
	Served End = iota
	Dismissed
	Failed // by anything that says nothing of load
)

// Item is a command that waits or is inside.
type Item struct {
	Cost int // bytes
	Of   any // the caller's
	by   *Session
}

// Session is one of a target's sessions.
type Session struct {
	pacer   *Pacer
	queue   []*Item
	inside  int
	deficit int
	turns   bool // it is in the round
	left    bool
}

// Pacer is one target's.
type Pacer struct {
	terms    Terms
	state    State
	bound    float64
	inside   int
	bytes    int
	waiting  int
	sessions int        // with anything waiting or inside
	round    []*Session // with something waiting, in the order of their turns
	since    int        // answers since the bound was cut
	changed  bool       // the state has
}

// New makes one.
func New(t Terms) *Pacer { return &Pacer{terms: t, bound: float64(t.Start)} }

// State tells how it stands.
func (p *Pacer) State() State { return p.state }

// Bound is how many commands may be inside.
func (p *Pacer) Bound() int { return max(int(p.bound), 1) }

// Inside is the number of commands that are carried out.
func (p *Pacer) Inside() int { return p.inside }

// Waiting is the number of commands that wait.
func (p *Pacer) Waiting() int { return p.waiting }

// Changed tells once that the state has changed.
func (p *Pacer) Changed() bool {
	c := p.changed
	p.changed = false
	return c
}

// move is the one place where the state changes.
func (p *Pacer) move(to State) {
	if p.state != to {
		p.state, p.changed = to, true
	}
}

// Join adds a session.
func (p *Pacer) Join() *Session { return &Session{pacer: p} }

// Leave takes a session away, and returns what it still had waiting. What it has inside still has to be told as done.
func (s *Session) Leave() []*Item {
	rest := s.queue
	s.left = true
	p := s.pacer
	if len(rest) > 0 && s.inside == 0 {
		p.sessions--
	}
	p.waiting -= len(rest)
	s.queue = nil
	return rest
}

// Want has a command wait for its turn.
func (s *Session) Want(i *Item) {
	p := s.pacer
	if len(s.queue) == 0 && s.inside == 0 {
		p.sessions++
	}
	i.by = s
	s.queue = append(s.queue, i)
	p.waiting++
	if !s.turns {
		s.turns, s.deficit = true, 0
		p.round = append(p.round, s)
	}
}

// Drop takes a command away that waits; false: it does not.
func (s *Session) Drop(i *Item) bool {
	for k, o := range s.queue {
		if o != i {
			continue
		}
		s.queue = append(s.queue[:k:k], s.queue[k+1:]...)
		s.pacer.waiting--
		if len(s.queue) == 0 && s.inside == 0 {
			s.pacer.sessions--
		}
		return true
	}
	return false
}

// Next is the command that goes in now; nil: none may. Each session's turn has a quantum of bytes, and what is left of it
// is kept for its next one as long as it has something waiting: deficit round robin (Shreedhar and Varghese, 1995).
func (p *Pacer) Next() *Item {
	if p.inside >= p.Bound() {
		return nil
	}
	for len(p.round) > 0 {
		s := p.round[0]
		if len(s.queue) == 0 {
			p.round, s.turns = p.round[1:], false
			continue
		}
		i := s.queue[0]
		if i.Cost > s.deficit {
			s.deficit += p.terms.Quantum
			p.round = append(p.round[1:], s)
			continue
		}
		if p.inside > 0 && p.bytes+i.Cost > p.terms.Bytes {
			return nil // it waits for room, and nobody passes it
		}
		s.deficit -= i.Cost
		s.queue = s.queue[1:]
		s.inside++
		p.waiting--
		p.inside++
		p.bytes += i.Cost
		return i
	}
	return nil
}

// Done tells how a command came back.
func (p *Pacer) Done(i *Item, e End) {
	s := i.by
	full := p.inside >= p.Bound()
	s.inside--
	if s.inside == 0 && len(s.queue) == 0 {
		p.sessions--
	}
	p.inside--
	p.bytes -= i.Cost
	p.since++
	switch {
	case e == Dismissed && p.since >= p.Bound(): // once for all that were inside together
		p.bound = max(1, p.bound*0.7)
		p.since = 0
		if p.state == Open {
			p.move(Slow)
		}
	case e == Served && full:
		if p.bound = min(p.bound+1/p.bound, float64(p.terms.Inside)); p.state == Slow && p.bound >= float64(p.terms.Start) {
			p.move(Open)
		}
	}
}

// Close has nothing new taken from now on.
func (p *Pacer) Close() { p.move(Closed) }

// Reopen takes that back.
func (p *Pacer) Reopen() {
	if p.state == Closed {
		p.move(Open)
	}
}

// Window is how many commands without an answer a session may have: all it wants while there is no crowd; else its part
// of what goes in soon.
func (s *Session) Window() int {
	p := s.pacer
	switch {
	case p.state == Closed:
		return 0
	case p.waiting < p.Bound():
		return p.terms.Most
	}
	return min(max(2*p.Bound()/max(p.sessions, 1), p.terms.Least), p.terms.Most)
}

// Held is how many commands a session has without an answer.
func (s *Session) Held() int { return len(s.queue) + s.inside }
