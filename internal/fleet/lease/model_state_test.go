package lease

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/fleet/configversion"
)

// modelMessage is a message in transit: a request to a replica, or the response.
type modelMessage struct {
	gateway, replica int
	term             uint64 // the replica's term when the request was sent
	request          *RenewRequest
	response         *RenewResponse
}

// modelState is one state of a model.
type modelState struct {
	now  Time
	path string // events that led to this state

	log       []*Command
	committed *StateMachine // state that results from the log

	stateMachines [3]*StateMachine
	applied       [3]int // number of log entries applied
	managers      [3]*Manager
	terms         [3]uint64
	leader        int
	term          uint64

	clients  [2]*Client
	stopped  [2]bool
	requests [2]int // number sent so far

	messages  []modelMessage
	proposed  int
	elections int

	versions map[string]*configversion.Version // by proposal ID; shared by all states
	fallback Time                              // fallback duration of each version
}

func cloneStateMachine(s *StateMachine) *StateMachine {
	c := *s
	c.Versions = slices.Clone(s.Versions)
	c.ProposalIDs = maps.Clone(s.ProposalIDs)
	c.Holders = maps.Clone(s.Holders)
	c.Members = maps.Clone(s.Members)
	c.fallbackDurations = maps.Clone(s.fallbackDurations)
	c.encoded = maps.Clone(s.encoded)
	return &c
}

func cloneManager(m *Manager, state *StateMachine) *Manager {
	c := *m
	c.state = state
	c.pendingJoins = maps.Clone(m.pendingJoins)
	c.pendingRemovals = maps.Clone(m.pendingRemovals)
	c.pendingExpiries = maps.Clone(m.pendingExpiries)
	c.holders = map[string]*holder{}
	for name, h := range m.holders {
		copied := *h
		copied.grants = slices.Clone(h.grants)
		c.holders[name] = &copied
	}
	return &c
}

func cloneClient(client *Client) *Client {
	c := *client
	c.outstanding = slices.Clone(client.outstanding)
	c.logLines = nil
	return &c
}

func (s *modelState) clone() *modelState {
	c := *s
	c.log = slices.Clone(s.log)
	c.committed = cloneStateMachine(s.committed)
	c.messages = slices.Clone(s.messages)
	for i, m := range s.managers {
		c.stateMachines[i] = cloneStateMachine(s.stateMachines[i])
		if m != nil {
			c.managers[i] = cloneManager(m, c.stateMachines[i])
		}
	}
	for i, client := range s.clients {
		c.clients[i] = cloneClient(client)
	}
	return &c
}

// stateKey is an encoding of everything that distinguishes states.
type stateKey []byte

// Terminators of lists and parts in a key.
const (
	endOfList = 255
	endOfPart = 254
)

func (k *stateKey) addNumbers(list ...uint64) {
	for _, n := range list {
		*k = binary.AppendUvarint(*k, n)
	}
	*k = append(*k, endOfList)
}

func (k *stateKey) addNames(set map[string]bool) {
	for _, name := range sortedNames(set) {
		*k = append(*k, name...)
	}
	*k = append(*k, endOfList)
}

func (k *stateKey) addFlag(on bool) {
	if on {
		k.addNumbers(1)
	} else {
		k.addNumbers(0)
	}
}

// key returns a hash of everything in the state that influences later states.
func (s *modelState) key() uint64 {
	k := make(stateKey, 0, 512)
	k.addNumbers(uint64(s.now), uint64(len(s.log)))
	k.addNumbers(uint64(len(s.committed.Versions)), s.committed.InForce, s.committed.Announced)
	k.addNumbers(uint64(s.leader), s.term, uint64(s.requests[0]), uint64(s.requests[1]))
	k.addNumbers(uint64(s.proposed), uint64(s.elections))
	k.addFlag(s.stopped[0])
	k.addNames(s.committed.Holders)
	for i, m := range s.managers {
		k.addNumbers(uint64(s.applied[i]), s.terms[i])
		if m != nil {
			k.addManager(m)
		}
	}
	for _, c := range s.clients {
		k.addClient(c)
	}
	messages := make([]string, 0, len(s.messages)) // sorted below, as their order does not matter
	for _, m := range s.messages {
		var key stateKey
		key.addMessage(m)
		messages = append(messages, string(key))
	}
	slices.Sort(messages)
	return xxhash.Sum64(append(k, strings.Join(messages, "")...))
}

func (k *stateKey) addManager(m *Manager) {
	k.addNumbers(m.term, m.activating, uint64(m.activatingSince))
	k.addNames(m.pendingJoins)
	for _, name := range []string{"g", "h"} {
		if h := m.holders[name]; h != nil {
			k.addNumbers(h.lastSeq, uint64(h.leaseUntil), uint64(h.fallbackUntil), uint64(h.unknownUntil))
			k.addNumbers(h.heldVersions...)
			for _, g := range h.grants {
				k.addNumbers(g.seq, g.inForce, g.announced, uint64(g.expiresAt))
			}
			if returnedAt, pending := m.pendingRemovals[name]; pending {
				k.addNumbers(uint64(returnedAt), 1)
			}
		}
		*k = append(*k, endOfPart)
	}
}

func (k *stateKey) addClient(c *Client) {
	*k = append(*k, c.effectiveName...)
	*k = append(*k, byte(c.state))
	k.addNumbers(c.seq, c.acceptedSeq, c.term, c.inForce, c.announced, uint64(c.leaseUntil), uint64(c.fallbackUntil))
	for _, request := range c.outstanding {
		k.addNumbers(request.seq, uint64(request.sentAt))
	}
	for _, v := range c.heldVersions {
		k.addNumbers(v.Number)
	}
}

func (k *stateKey) addMessage(m modelMessage) {
	k.addNumbers(uint64(m.gateway), uint64(m.replica), m.term)
	if r := m.response; r != nil {
		k.addNumbers(1, r.Seq, r.Term, r.InForce, r.Announced, uint64(r.LeaseDuration), uint64(len(r.Versions)))
		return
	}
	k.addNumbers(2, m.request.Seq, m.request.Term, m.request.AcceptedSeq)
	k.addNumbers(m.request.HeldVersions...)
}

// applyTo applies a command to a state machine. All states share the versions, so that each is parsed only once.
func (s *modelState) applyTo(state *StateMachine, c *Command) {
	if c.Propose == nil {
		mustApply(state, c)
		return
	}
	version := s.versions[c.Propose.ID]
	state.Versions = append(state.Versions, version)
	state.Announced = version.Number
	state.fallbackDurations[version.Number] = s.fallback
	state.ProposalIDs[c.Propose.ID] = version.Number
}

// commit appends a command to the log.
func (s *modelState) commit(c *Command) {
	s.log = append(s.log, c)
	s.applyTo(s.committed, c)
}

// apply has a replica apply the log up to its end.
func (s *modelState) apply(replica int) {
	for ; s.applied[replica] < len(s.log); s.applied[replica]++ {
		command := s.log[s.applied[replica]]
		s.applyTo(s.stateMachines[replica], command)
		if m := s.managers[replica]; m != nil {
			m.Applied(command)
		}
	}
}

// runLeader has the leader commit all commands that are due.
func (s *modelState) runLeader() {
	for {
		s.apply(s.leader)
		command := s.managers[s.leader].NextCommand(s.now)
		if command == nil {
			return
		}
		s.commit(command)
	}
}

// elect makes a replica the leader of the next term.
func (s *modelState) elect(replica int, faults InjectedFaults) {
	s.term++
	s.leader = replica
	s.terms[replica] = s.term
	s.managers[replica] = nil
	s.apply(replica)
	s.managers[replica] = NewManager(s.now, s.term, s.stateMachines[replica], faults)
	s.managers[replica].retention = retention{enabled: true, batchSize: 1}
}
