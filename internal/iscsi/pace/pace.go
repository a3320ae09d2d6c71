// Package pace implements flow control for the sessions of an iSCSI target. It limits the number of running commands
// by a bound that adapts to their outcomes, shares it among sessions by deficit round robin over bytes, and sets each
// session's command window.
//
// The target (package iscsi/target) calls it under one lock. The package owns the queues of waiting commands and
// knows nothing of nodes or request classes. The scheduler behind it decides when a request goes to which node; this
// package only keeps excess commands at the initiator, which can be made to wait, because the scheduler would reject
// them. It does no I/O and reads no clock.
package pace

import "slices"

const (
	boundDecreaseFactor = 0.7 // factor applied to the bound after a rejection
	windowFactor        = 2   // a session's window under contention, as a multiple of its even share of the bound
)

// Limits configure a Pacer.
type Limits struct {
	MinWindow, MaxWindow int // window of a session in commands: minimum under contention, and maximum
	InitialBound         int // initial bound on the number of running commands
	MaxBound             int // maximum of that bound
	MaxBytes             int // total cost of running commands in bytes; a single command may exceed it
	Quantum              int // bytes added to a session's deficit counter in each turn
}

// DefaultLimits are the limits used if none are configured.
var DefaultLimits = Limits{MinWindow: 2, MaxWindow: 256, InitialBound: 32, MaxBound: 512, MaxBytes: 64 << 20, Quantum: 64 << 10}

// State is the state of a Pacer.
type State uint8

// The states of a Pacer.
const (
	Open   State = iota // normal operation
	Slow                // the bound was reduced after rejections and has not recovered
	Closed              // windows are closed; queued commands still run
)

// String returns the name of the state as it appears in logs.
func (s State) String() string { return [...]string{"open", "slow", "closed"}[s] }

// Outcome is the result of a command as far as it indicates load.
type Outcome uint8

// The outcomes of commands.
const (
	Served Outcome = iota
	Rejected
	Failed // for a reason unrelated to load
)

// Command is a waiting or running command.
type Command struct {
	Cost    int // bytes
	Owner   any // set and used by the caller only
	session *Session
}

// Pacer paces the sessions of a target. It is not safe for concurrent use.
type Pacer struct {
	limits             Limits
	state              State
	stateChanged       bool // since the last TakeStateChange
	bound              float64
	endedSinceDecrease int // commands that ended since the bound was last decreased
	running            int
	runningBytes       int
	waiting            int
	busySessions       int        // number of sessions with waiting or running commands
	activeList         []*Session // sessions in the order of their turns; emptied ones are removed by Next
}

// New returns a Pacer.
func New(limits Limits) *Pacer { return &Pacer{limits: limits, bound: float64(limits.InitialBound)} }

// State returns the pacer's state.
func (p *Pacer) State() State { return p.state }

// Bound returns the maximum number of running commands.
func (p *Pacer) Bound() int { return max(int(p.bound), 1) }

// Running returns the number of running commands.
func (p *Pacer) Running() int { return p.running }

// Waiting returns the number of waiting commands.
func (p *Pacer) Waiting() int { return p.waiting }

// TakeStateChange reports whether the state has changed since the last call.
func (p *Pacer) TakeStateChange() bool {
	changed := p.stateChanged
	p.stateChanged = false
	return changed
}

// setState changes the state and records the change for TakeStateChange.
func (p *Pacer) setState(state State) {
	if p.state != state {
		p.state = state
		p.stateChanged = true
	}
}

// Next starts the next command and returns it, or nil if none may start. It selects commands by deficit round robin
// (Shreedhar and Varghese, 1995): each turn adds a quantum of bytes to a session's deficit counter, and what a turn
// does not use is kept as long as the session has waiting commands.
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
			return nil // no other command overtakes one that waits for bytes
		}
		p.start(command)
		return command
	}
	return nil
}

// start counts the first command of its session's queue as running and removes it from the queue.
func (p *Pacer) start(command *Command) {
	session := command.session
	session.deficit -= command.Cost
	session.queue = session.queue[1:]
	session.running++
	p.waiting--
	p.running++
	p.runningBytes += command.Cost
}

// Done ends a running command and adapts the bound to its outcome. A rejection decreases the bound, but only once for
// all commands that ran at the same time. While the bound is reached, it grows by one for each round of served
// commands, that is for as many as the bound.
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

// Close closes the windows of all sessions. Queued commands still run.
func (p *Pacer) Close() { p.setState(Closed) }

// Reopen undoes Close.
func (p *Pacer) Reopen() {
	if p.state == Closed {
		p.setState(Open)
	}
}

// Session is a session of a target with its queue of commands.
type Session struct {
	pacer        *Pacer
	queue        []*Command
	running      int
	deficit      int  // deficit counter: bytes that the session may still start in this turn
	inActiveList bool // whether the session is in the pacer's activeList
}

// NewSession returns a new session of the pacer.
func (p *Pacer) NewSession() *Session { return &Session{pacer: p} }

// idle reports whether the session has no waiting or running commands.
func (s *Session) idle() bool { return len(s.queue) == 0 && s.running == 0 }

// Close removes the session and returns its waiting commands. Done must still be called for the running ones.
func (s *Session) Close() []*Command {
	waiting := s.queue
	s.queue = nil
	if len(waiting) > 0 && s.running == 0 {
		s.pacer.busySessions--
	}
	s.pacer.waiting -= len(waiting)
	return waiting
}

// Enqueue adds a command to the session's queue.
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

// Remove removes a waiting command and reports whether it was in the queue.
func (s *Session) Remove(command *Command) bool {
	index := slices.Index(s.queue, command)
	if index < 0 {
		return false
	}
	s.queue = append(s.queue[:index:index], s.queue[index+1:]...) // a copy, because the array may be shared
	s.pacer.waiting--
	if s.idle() {
		s.pacer.busySessions--
	}
	return true
}

// Window returns the maximum number of unanswered commands of the session. Without contention, that is while fewer
// commands wait than may run, it is MaxWindow; otherwise it is based on the session's even share of the bound.
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

// Outstanding returns the number of unanswered commands of the session.
func (s *Session) Outstanding() int { return len(s.queue) + s.running }
