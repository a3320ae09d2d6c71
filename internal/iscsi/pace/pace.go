// Package pace decides how fast sessions of a target may send commands, and whose goes next: a bound on commands inside the
// gateway that is learned from what becomes of them, turns between sessions by bytes, and each session's command window.
// It is pure: no I/O, no clock. The decision module behind it decides what goes to which node when; this one only keeps
// commands waiting at the initiator, who can be made to wait, instead of inside, where they would be dismissed.
package pace

// Limits are its figures.
type Limits struct {
	Least, Most int // commands without an answer that a session may have, where there is a crowd and where there is none
	Start       int // commands inside to begin with
	Inside      int // and at most
	Bytes       int // of data that commands inside may hold, at most; one command is always let in
	Quantum     int // bytes of a session's turn
}

// DefaultLimits are used where nothing else is said.
var DefaultLimits = Limits{Least: 2, Most: 256, Start: 32, Inside: 512, Bytes: 64 << 20, Quantum: 64 << 10}

// State is how a pacer stands.
type State uint8

// The states of a pacer.
const (
	Open   State = iota // what comes goes in
	Slow                // commands were dismissed, the bound is under what it was
	Closed              // nothing new is taken; what was taken goes on
)

func (s State) String() string { return [...]string{"open", "slow", "closed"}[s] }

// Outcome is how a command came back.
type Outcome uint8

// The ways in which a command comes back.
const (
	Served Outcome = iota
	Rejected
	Failed // by anything that says nothing of load
)

// Command is a command that waits or is inside.
type Command struct {
	Cost    int // bytes
	Owner   any // the caller's
	session *Session
}

// Session is one of a target's sessions.
type Session struct {
	pacer   *Pacer
	queue   []*Command
	running int
	deficit int
	inRound bool // it is in the round
	closed  bool
}

// Pacer is one target's.
type Pacer struct {
	limits       Limits
	state        State
	bound        float64
	running      int
	runningBytes int
	waiting      int
	sessions     int        // with anything waiting or inside
	round        []*Session // with something waiting, in the order of their turns
	sinceCut     int        // answers since the bound was cut
	stateChanged bool       // the state has
}

// New makes one.
func New(t Limits) *Pacer { return &Pacer{limits: t, bound: float64(t.Start)} }

// State tells how it stands.
func (p *Pacer) State() State { return p.state }

// Bound is how many commands may be inside.
func (p *Pacer) Bound() int { return max(int(p.bound), 1) }

// Running is the number of commands that are carried out.
func (p *Pacer) Running() int { return p.running }

// Waiting is the number of commands that wait.
func (p *Pacer) Waiting() int { return p.waiting }

// TakeStateChange tells once that the state has changed.
func (p *Pacer) TakeStateChange() bool {
	c := p.stateChanged
	p.stateChanged = false
	return c
}

// setState is the one place where the state changes.
func (p *Pacer) setState(to State) {
	if p.state != to {
		p.state, p.stateChanged = to, true
	}
}

// NewSession adds a session.
func (p *Pacer) NewSession() *Session { return &Session{pacer: p} }

// Close takes a session away, and returns what it still had waiting. What it has inside still has to be told as done.
func (s *Session) Close() []*Command {
	rest := s.queue
	s.closed = true
	p := s.pacer
	if len(rest) > 0 && s.running == 0 {
		p.sessions--
	}
	p.waiting -= len(rest)
	s.queue = nil
	return rest
}

// Enqueue has a command wait for its turn.
func (s *Session) Enqueue(i *Command) {
	p := s.pacer
	if len(s.queue) == 0 && s.running == 0 {
		p.sessions++
	}
	i.session = s
	s.queue = append(s.queue, i)
	p.waiting++
	if !s.inRound {
		s.inRound, s.deficit = true, 0
		p.round = append(p.round, s)
	}
}

// Remove takes a command away that waits; false: it does not.
func (s *Session) Remove(i *Command) bool {
	for k, o := range s.queue {
		if o != i {
			continue
		}
		s.queue = append(s.queue[:k:k], s.queue[k+1:]...)
		s.pacer.waiting--
		if len(s.queue) == 0 && s.running == 0 {
			s.pacer.sessions--
		}
		return true
	}
	return false
}

// Next is the command that goes in now; nil: none may. Each session's turn has a quantum of bytes, and what is left of it
// is kept for its next one as long as it has something waiting: deficit round robin (Shreedhar and Varghese, 1995).
func (p *Pacer) Next() *Command {
	if p.running >= p.Bound() {
		return nil
	}
	for len(p.round) > 0 {
		s := p.round[0]
		if len(s.queue) == 0 {
			p.round, s.inRound = p.round[1:], false
			continue
		}
		i := s.queue[0]
		if i.Cost > s.deficit {
			s.deficit += p.limits.Quantum
			p.round = append(p.round[1:], s)
			continue
		}
		if p.running > 0 && p.runningBytes+i.Cost > p.limits.Bytes {
			return nil // it waits for room, and nobody passes it
		}
		s.deficit -= i.Cost
		s.queue = s.queue[1:]
		s.running++
		p.waiting--
		p.running++
		p.runningBytes += i.Cost
		return i
	}
	return nil
}

// Done tells how a command came back.
func (p *Pacer) Done(i *Command, e Outcome) {
	s := i.session
	full := p.running >= p.Bound()
	s.running--
	if s.running == 0 && len(s.queue) == 0 {
		p.sessions--
	}
	p.running--
	p.runningBytes -= i.Cost
	p.sinceCut++
	switch {
	case e == Rejected && p.sinceCut >= p.Bound(): // once for all that were inside together
		p.bound = max(1, p.bound*0.7)
		p.sinceCut = 0
		if p.state == Open {
			p.setState(Slow)
		}
	case e == Served && full:
		if p.bound = min(p.bound+1/p.bound, float64(p.limits.Inside)); p.state == Slow && p.bound >= float64(p.limits.Start) {
			p.setState(Open)
		}
	}
}

// Close has nothing new taken from now on.
func (p *Pacer) Close() { p.setState(Closed) }

// Reopen takes that back.
func (p *Pacer) Reopen() {
	if p.state == Closed {
		p.setState(Open)
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
		return p.limits.Most
	}
	return min(max(2*p.Bound()/max(p.sessions, 1), p.limits.Least), p.limits.Most)
}

// Outstanding is how many commands a session has without an answer.
func (s *Session) Outstanding() int { return len(s.queue) + s.running }
