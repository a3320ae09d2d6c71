// Package pace decides how fast the sessions of a target may send commands, and whose goes next: a bound on running
// commands that is learned from how they end, turns between sessions by bytes, and each session's command window.
//
// The target (package iscsi/target) calls it under one lock. It owns the queues of commands that wait; it knows neither
// nodes nor request classes. The scheduler behind it decides what goes to which node when; this package only keeps
// commands waiting at the initiator, who can be made to wait, instead of in the scheduler, which would reject them. It
// is pure: no I/O, no clock.
package pace

import "slices"

const (
	boundDecreaseFactor = 0.7 // what is left of the bound after a rejection
	windowFactor        = 2   // a session's window in a crowd, in even shares of the bound
)

// Limits are the bounds of a Pacer.
type Limits struct {
	MinWindow, MaxWindow int // the window of a session, in commands: in a crowd at least, without one at most
	InitialBound         int // the bound on running commands to begin with
	MaxBound             int // and at most
	MaxBytes             int // of data that running commands may hold; one command always runs
	Quantum              int // bytes of a session's turn
}

// DefaultLimits are the limits where none are configured.
var DefaultLimits = Limits{MinWindow: 2, MaxWindow: 256, InitialBound: 32, MaxBound: 512, MaxBytes: 64 << 20, Quantum: 64 << 10}

// State is the state of a Pacer.
type State uint8

// The states of a Pacer.
const (
	Open   State = iota // commands run as they come
	Slow                // commands were rejected, and the bound is lower than it was
	Closed              // windows are closed; commands that were taken run
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"open", "slow", "closed"}[s] }

// Outcome is how a command has ended, as far as it tells of load.
type Outcome uint8

// The outcomes of commands.
const (
	Served Outcome = iota
	Rejected
	Failed // for a reason that tells nothing of load
)

// Command is a command that waits or runs.
type Command struct {
	Cost    int // bytes
	Owner   any // the caller's
	session *Session
}

// Pacer paces the sessions of a target. It is not safe for concurrent use.
type Pacer struct {
	limits             Limits
	state              State
	stateChanged       bool // since TakeStateChange
	bound              float64
	endedSinceDecrease int // commands that ended since the bound was cut
	running            int
	runningBytes       int
	waiting            int
	busySessions       int        // with anything waiting or running
	activeList         []*Session // with something waiting, in the order of their turns
}

// New returns a Pacer.
func New(limits Limits) *Pacer { return &Pacer{limits: limits, bound: float64(limits.InitialBound)} }

// State returns the pacer's state.
func (p *Pacer) State() State { return p.state }

// Bound returns how many commands may run.
func (p *Pacer) Bound() int { return max(int(p.bound), 1) }

// Running returns the number of commands that run.
func (p *Pacer) Running() int { return p.running }

// Waiting returns the number of commands that wait.
func (p *Pacer) Waiting() int { return p.waiting }

// TakeStateChange tells whether the state has changed since the last call.
func (p *Pacer) TakeStateChange() bool {
	changed := p.stateChanged
	p.stateChanged = false
	return changed
}

// setState is the one place where the state changes.
func (p *Pacer) setState(state State) {
	if p.state != state {
		p.state = state
		p.stateChanged = true
	}
}

// Next returns the command that runs now; nil: none may. Each session's turn has a quantum of bytes, and what is left
// of it is kept for its next turn as long as it has something waiting: deficit round robin (Shreedhar and Varghese,
// 1995).
func (p *Pacer) Next() *Command {
	if p.running >= p.Bound() {
		return nil
	}
	for len(p.activeList) > 0 {
		session := p.activeList[0]
		if len(session.queue) == 0 {
			session.inActiveList = false
			p.activeList = p.activeList[1:]
			continue
		}
		command := session.queue[0]
		if command.Cost > session.deficit {
			session.deficit += p.limits.Quantum
			p.activeList = append(p.activeList[1:], session)
			continue
		}
		if p.running > 0 && p.runningBytes+command.Cost > p.limits.MaxBytes {
			return nil // it waits for bytes, and no other passes it
		}
		p.start(command)
		return command
	}
	return nil
}

// start moves the first command of its session's queue to those that run.
func (p *Pacer) start(command *Command) {
	session := command.session
	session.deficit -= command.Cost
	session.queue = session.queue[1:]
	session.running++
	p.waiting--
	p.running++
	p.runningBytes += command.Cost
}

// Done ends a command that ran, and adapts the bound to the outcome: it is cut by a rejection, once for all commands
// that ran together, and grows by one for each round of served commands while it is reached.
func (p *Pacer) Done(command *Command, outcome Outcome) {
	session := command.session
	atBound := p.running >= p.Bound()
	session.running--
	if session.idle() {
		p.busySessions--
	}
	p.running--
	p.runningBytes -= command.Cost
	p.endedSinceDecrease++
	switch {
	case outcome == Rejected && p.endedSinceDecrease >= p.Bound():
		p.decreaseBound()
	case outcome == Served && atBound:
		p.increaseBound()
	}
}

func (p *Pacer) decreaseBound() {
	p.bound = max(1, p.bound*boundDecreaseFactor)
	p.endedSinceDecrease = 0
	if p.state == Open {
		p.setState(Slow)
	}
}

func (p *Pacer) increaseBound() {
	p.bound = min(p.bound+1/p.bound, float64(p.limits.MaxBound))
	if p.state == Slow && p.bound >= float64(p.limits.InitialBound) {
		p.setState(Open)
	}
}

// Close closes all windows. Commands that were taken run.
func (p *Pacer) Close() { p.setState(Closed) }

// Reopen ends what Close began.
func (p *Pacer) Reopen() {
	if p.state == Closed {
		p.setState(Open)
	}
}

// Session is one of a target's sessions.
type Session struct {
	pacer        *Pacer
	queue        []*Command
	running      int
	deficit      int  // bytes that it may still start in this turn
	inActiveList bool // of the pacer
}

// NewSession adds a session.
func (p *Pacer) NewSession() *Session { return &Session{pacer: p} }

// idle tells whether a session has nothing waiting or running.
func (s *Session) idle() bool { return len(s.queue) == 0 && s.running == 0 }

// Close removes a session, and returns its commands that waited. Those that run still have to be Done.
func (s *Session) Close() []*Command {
	waiting := s.queue
	s.queue = nil
	if len(waiting) > 0 && s.running == 0 {
		s.pacer.busySessions--
	}
	s.pacer.waiting -= len(waiting)
	return waiting
}

// Enqueue has a command wait for its turn.
func (s *Session) Enqueue(command *Command) {
	p := s.pacer
	if s.idle() {
		p.busySessions++
	}
	command.session = s
	s.queue = append(s.queue, command)
	p.waiting++
	if !s.inActiveList {
		s.inActiveList = true
		s.deficit = 0
		p.activeList = append(p.activeList, s)
	}
}

// Remove removes a command that waits; false: it does not.
func (s *Session) Remove(command *Command) bool {
	index := slices.Index(s.queue, command)
	if index < 0 {
		return false
	}
	s.queue = append(s.queue[:index:index], s.queue[index+1:]...) // a copy: the array may be shared
	s.pacer.waiting--
	if s.idle() {
		s.pacer.busySessions--
	}
	return true
}

// Window returns how many unanswered commands a session may have: all that it wants while there is no crowd, else its
// share of those that run soon.
func (s *Session) Window() int {
	p := s.pacer
	switch {
	case p.state == Closed:
		return 0
	case p.waiting < p.Bound():
		return p.limits.MaxWindow
	}
	share := windowFactor * p.Bound() / max(p.busySessions, 1)
	return min(max(share, p.limits.MinWindow), p.limits.MaxWindow)
}

// Outstanding returns how many unanswered commands a session has.
func (s *Session) Outstanding() int { return len(s.queue) + s.running }
