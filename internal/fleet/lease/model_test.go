package lease

import (
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// The model: all that can happen to three keepers, two gateways and a change from one version to another, with a bounded number
// of ticks, asks, elections and messages under way. Every order of them is gone through; a state that was seen is not gone
// through again. Clocks run alike here: drift is the simulation's.

// bounds are what may happen in a model.
type bounds struct {
	ticks, requests, elections, messages int
	fallback                             Time
	compatible                           bool // the second version does not contradict the first
}

var modelSettings = Settings{LeaseDuration: 2}

// modelMessage is a message under way: an ask to a keeper, or a grant back.
type modelMessage struct {
	gateway, replica int
	term             uint64 // of the keeper, when the ask was sent
	request          *RenewRequest
	response         *RenewResponse
}

type modelState struct {
	now           Time
	log           []*Command
	committed     *StateMachine
	stateMachines [3]*StateMachine
	applied       [3]int
	managers      [3]*Manager
	terms         [3]uint64
	leader        int
	term          uint64
	clients       [2]*Client
	stopped       [2]bool
	requests      [2]int
	messages      []modelMessage
	proposed      int
	elections     int
	path          string                            // how it was reached
	versions      map[string]*configversion.Version // by proposal; the same for all
	fallback      Time                              // of their floors
}

func cloneStateMachine(l *StateMachine) *StateMachine {
	c := *l
	c.Versions, c.ProposalIDs, c.Holders = slices.Clone(l.Versions), maps.Clone(l.ProposalIDs), maps.Clone(l.Holders)
	c.Members, c.fallbackDurations, c.encoded = maps.Clone(l.Members), maps.Clone(l.fallbackDurations), maps.Clone(l.encoded)
	return &c
}

func (s *modelState) clone() *modelState {
	c := *s
	c.log, c.committed, c.messages = slices.Clone(s.log), cloneStateMachine(s.committed), slices.Clone(s.messages)
	for i := range s.stateMachines {
		c.stateMachines[i] = cloneStateMachine(s.stateMachines[i])
		if w := s.managers[i]; w != nil {
			n := *w
			n.state, n.pendingJoins, n.pendingRemovals, n.holders = c.stateMachines[i], maps.Clone(w.pendingJoins), maps.Clone(w.pendingRemovals), map[string]*holder{}
			for name, h := range w.holders {
				m := *h
				m.grants = slices.Clone(h.grants)
				n.holders[name] = &m
			}
			c.managers[i] = &n
		}
	}
	for i, f := range s.clients {
		n := *f
		n.outstanding, n.logLines = slices.Clone(f.outstanding), nil
		c.clients[i] = &n
	}
	return &c
}

// key is all that counts for what can come.
func (s *modelState) key() uint64 {
	b := make([]byte, 0, 512)
	put := func(list ...uint64) {
		for _, n := range list {
			b = binary.AppendUvarint(b, n)
		}
		b = append(b, 255)
	}
	flag := func(yes bool) uint64 {
		if yes {
			return 1
		}
		return 0
	}
	set := func(m map[string]bool) {
		for _, name := range sortedNames(m) {
			b = append(b, name...)
		}
		b = append(b, 255)
	}
	put(uint64(s.now), uint64(len(s.log)), uint64(len(s.committed.Versions)), s.committed.InForce, s.committed.Announced, uint64(s.leader), s.term, flag(s.stopped[0]), uint64(s.requests[0]), uint64(s.requests[1]),
		uint64(s.proposed), uint64(s.elections))
	set(s.committed.Holders)
	for i, w := range s.managers {
		put(uint64(s.applied[i]), s.terms[i])
		if w == nil {
			continue
		}
		put(w.term, w.activating, uint64(w.activatingSince))
		set(w.pendingJoins)
		for _, name := range []string{"g", "h"} {
			if h := w.holders[name]; h != nil {
				put(h.lastSeq, uint64(h.leaseUntil), uint64(h.fallbackUntil), uint64(h.unknownUntil))
				put(h.heldVersions...)
				for _, g := range h.grants {
					put(g.seq, g.inForce, g.announced, uint64(g.expiresAt))
				}
				if at, parting := w.pendingRemovals[name]; parting {
					put(uint64(at), 1)
				}
			}
			b = append(b, 254)
		}
	}
	for _, f := range s.clients {
		b = append(append(b, f.effectiveName...), byte(f.state))
		put(f.seq, f.acceptedSeq, f.term, f.inForce, f.announced, uint64(f.leaseUntil), uint64(f.fallbackUntil))
		for _, a := range f.outstanding {
			put(a.seq, uint64(a.sentAt))
		}
		for _, v := range f.held {
			put(v.Number)
		}
	}
	list := make([]string, 0, len(s.messages))
	main := b
	for _, l := range s.messages {
		b = nil
		put(uint64(l.gateway), uint64(l.replica), l.term)
		if l.response != nil {
			put(1, l.response.Seq, l.response.Term, l.response.InForce, l.response.Announced, uint64(l.response.LeaseDuration), uint64(len(l.response.Versions)))
		} else {
			put(2, l.request.Seq, l.request.Term, l.request.AcceptedSeq)
			put(l.request.HeldVersions...)
		}
		list = append(list, string(b))
	}
	slices.Sort(list)
	return xxhash.Sum64(append(main, strings.Join(list, "")...))
}

// applyTo applies a command. The versions of proposals are shared by all states, so that they are read once.
func (s *modelState) applyTo(l *StateMachine, c *Command) {
	if c.Propose == nil {
		l.Apply(c)
		return
	}
	v := s.versions[c.Propose.ID]
	l.Versions, l.Announced = append(l.Versions, v), v.Number
	l.fallbackDurations[v.Number] = s.fallback
	l.ProposalIDs[c.Propose.ID] = v.Number
}

func (s *modelState) commit(c *Command) {
	s.log = append(s.log, c)
	s.applyTo(s.committed, c)
}

func (s *modelState) apply(k int) {
	for ; s.applied[k] < len(s.log); s.applied[k]++ {
		s.applyTo(s.stateMachines[k], s.log[s.applied[k]])
		if s.managers[k] != nil {
			s.managers[k].Applied(s.log[s.applied[k]])
		}
	}
}

// runLeader has the leader put into the log all that is due.
func (s *modelState) runLeader() {
	for {
		s.apply(s.leader)
		c := s.managers[s.leader].NextCommand(s.now)
		if c == nil {
			return
		}
		s.commit(c)
	}
}

func (s *modelState) elect(k int, flaws InjectedFaults) {
	s.term++
	s.leader, s.terms[k] = k, s.term
	s.managers[k] = nil
	s.apply(k)
	s.managers[k] = NewManager(s.now, s.term, s.stateMachines[k], flaws)
	s.managers[k].retention = retention{enabled: true, batchSize: 1}
}

// explore goes through all that can happen. It returns how many states there are, and how one breaks, if one does.
func explore(b bounds, flaws InjectedFaults) (states int, broken string) {
	version := func(owner string) []byte {
		r := &configversion.Config{RequiredFormat: 1, Shards: 1, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"p": {Weight: 1}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
			Nodes: map[string]configversion.Node{"a": {Health: endpoint.Draining}, "b": {Health: endpoint.Draining}}, FallbackPolicy: configversion.FallbackPolicy{Duration: b.fallback, LimitFraction: 1}}
		r.Nodes[owner] = configversion.Node{}
		if b.compatible {
			r.Nodes = map[string]configversion.Node{"a": {Name: owner}}
		}
		return r.Canonical()
	}
	first := &modelState{committed: NewStateMachine(), clients: [2]*Client{NewClient("g", 1, flaws), NewClient("h", 1, flaws)}, versions: map[string]*configversion.Version{}, fallback: b.fallback}
	l := NewStateMachine()
	for i, owner := range []string{"a", "b"} {
		id := []string{"one", "two"}[i]
		v, err := l.Apply(&Command{Propose: &Proposal{ID: id, Parent: uint64(i), ReplacePending: true, Content: version(owner)}})
		if err != nil {
			panic(err)
		}
		v.Fallback()
		first.versions[id] = v
	}
	for id, other := range map[string]string{"one": "two", "two": "one"} { // the content of the other, which a gateway takes that checks no digest
		v := &configversion.Version{Number: first.versions[id].Number, Digest: first.versions[other].Digest, Content: first.versions[other].Content}
		v.Fallback()
		first.versions["not "+id] = v
	}
	for i := range first.stateMachines {
		first.stateMachines[i] = NewStateMachine()
	}
	for _, c := range []*Command{{Bootstrap: &modelSettings}, {Propose: &Proposal{ID: "one"}}, {Activate: 1}, {Join: []string{"g", "h"}}} {
		first.commit(c)
	}
	first.elect(0, flaws)
	m := &search{bounds: b, faults: flaws, todo: []*modelState{first}, secondProposal: &Command{Propose: &Proposal{ID: "two"}}}
	m.more.L = &m.lock
	for i := range m.seen {
		m.seen[i].keys = map[uint64]bool{}
	}
	m.markSeen(first.key())
	var done sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		done.Add(1)
		go func() { defer done.Done(); m.work() }()
	}
	done.Wait()
	return m.states, m.violation
}

// search is one that goes on, by several at a time.
type search struct {
	bounds
	faults         InjectedFaults
	secondProposal *Command
	lock           sync.Mutex
	more           sync.Cond
	todo           []*modelState
	active         int
	states         int
	violation      string
	seen           [64]struct {
		lock sync.Mutex
		keys map[uint64]bool
	}
}

// markSeen tells whether a state is.
func (m *search) markSeen(key uint64) bool {
	part := &m.seen[key%64]
	part.lock.Lock()
	defer part.lock.Unlock()
	if part.keys[key] {
		return false
	}
	part.keys[key] = true
	return true
}

func (m *search) work() {
	fits := map[string]bool{} // what is acted on goes by its name here
	for {
		m.lock.Lock()
		for len(m.todo) == 0 && m.active > 0 {
			m.more.Wait()
		}
		if len(m.todo) == 0 || m.violation != "" {
			m.todo = nil
			m.lock.Unlock()
			m.more.Broadcast()
			return
		}
		take := min(len(m.todo), 32)
		list := slices.Clone(m.todo[len(m.todo)-take:])
		m.todo = m.todo[:len(m.todo)-take]
		m.active++
		m.lock.Unlock()
		var found []*modelState
		broken := ""
		for _, s := range list {
			if why := m.check(s, fits); why != "" {
				broken = why
				break
			}
			found = m.successors(s, found)
		}
		m.lock.Lock()
		m.active--
		m.states += len(list)
		m.todo = append(m.todo, found...)
		if broken != "" && m.violation == "" {
			m.violation = broken
		}
		m.lock.Unlock()
		m.more.Broadcast()
	}
}

// check holds what the gateways act on against what is in force.
func (m *search) check(s *modelState, fits map[string]bool) string {
	for i, f := range s.clients {
		if s.stopped[i] {
			continue
		}
		effect := f.Effective(s.now)
		if effect == nil {
			continue
		}
		if numbers, _ := f.HeldVersions(); m.faults&^FaultForgetHeldVersions == 0 && slices.ContainsFunc(numbers, func(n uint64) bool { return s.committed.Version(n) == nil }) {
			return fmt.Sprintf("gateway %d acts on %s, of which something is forgotten: %s", i, f.EffectiveName(), s.path)
		}
		key := f.EffectiveName() + fmt.Sprint(s.committed.InForce)
		if fits[key] {
			continue
		}
		inForce, _ := s.committed.Version(s.committed.InForce).Config()
		if len(configversion.Exceeds(effect, inForce)) > 0 {
			return fmt.Sprintf("gateway %d acts on %s, in force is %d: %s", i, f.EffectiveName(), s.committed.InForce, s.path)
		}
		fits[key] = true
	}
	return ""
}

// fetchOutcomes are the ways in which a gateway may have the contents that a grant names by the time that it takes it: each of them, or not. That
// they come late is that the grant does.
func (s *modelState) fetchOutcomes(g *RenewResponse, flaws InjectedFaults) (ways [][]*configversion.Version) {
	ways = [][]*configversion.Version{nil}
	for _, v := range g.Versions {
		id := []string{"one", "two"}[v.Number-1]
		can := []*configversion.Version{s.versions[id]}
		if flaws.Has(faultUncheckedDigest) {
			can = append(can, s.versions["not "+id])
		}
		for _, way := range slices.Clone(ways) {
			for _, c := range can {
				ways = append(ways, append(slices.Clone(way), c))
			}
		}
	}
	return ways
}

// successors adds the states that can follow.
func (m *search) successors(s *modelState, found []*modelState) []*modelState {
	next := func(do func(n *modelState), text string, args ...any) {
		n := s.clone()
		do(n)
		n.runLeader()
		if m.markSeen(n.key()) {
			n.path = s.path + "; " + fmt.Sprintf(text, args...)
			found = append(found, n)
		}
	}
	if int(s.now) < m.ticks {
		next(func(n *modelState) { n.now++ }, "tick")
	}
	if s.proposed == 0 {
		next(func(n *modelState) { n.proposed++; n.commit(m.secondProposal) }, "propose")
	}
	if s.elections < m.elections {
		for k := range 3 {
			if k != s.leader {
				next(func(n *modelState) { n.elections++; n.elect(k, m.faults) }, "elect %d", k)
			}
		}
	}
	for i := range s.clients {
		if i == 0 {
			next(func(n *modelState) { n.stopped[i] = !n.stopped[i] }, "stop or go on")
		}
		if s.stopped[i] || s.requests[i] == m.requests || len(s.messages) == m.messages {
			continue
		}
		for k, w := range s.managers {
			if w != nil {
				next(func(n *modelState) {
					n.requests[i]++
					n.messages = append(n.messages, modelMessage{gateway: i, replica: k, term: n.terms[k], request: n.clients[i].NextRequest(n.now)})
				}, "%d asks %d", i, k)
			}
		}
	}
	for at, l := range s.messages {
		next(func(n *modelState) { n.messages = slices.Delete(n.messages, at, at+1) }, "message %d is lost", at)
		if l.response != nil {
			for _, had := range s.fetchOutcomes(l.response, m.faults) {
				if !s.stopped[l.gateway] {
					next(func(n *modelState) {
						n.messages = slices.Delete(n.messages, at, at+1)
						g := *l.response
						g.Versions = had
						n.clients[l.gateway].HandleResponse(n.now, &g)
					}, "%d hears %d of %d, with %d contents", l.gateway, l.response.Seq, l.response.InForce, len(had))
				}
			}
			continue
		}
		if s.leader == l.replica && s.term == l.term || m.faults.Has(faultUnconfirmedLeader) {
			next(func(n *modelState) {
				n.messages = slices.Delete(n.messages, at, at+1)
				if n.leader == l.replica {
					n.apply(l.replica)
				}
				g := n.managers[l.replica].Renew(n.now, l.request)
				n.messages = append(n.messages, modelMessage{gateway: l.gateway, replica: l.replica, term: l.term, response: g})
			}, "%d answers %d", l.replica, l.gateway)
		}
	}
	return found
}

// IRISPOST_MODEL=1 searches the larger model.
func TestModel(t *testing.T) {
	list := []bounds{{ticks: 4, requests: 1, elections: 1, messages: 1}, {ticks: 5, requests: 1, messages: 1, fallback: 6}, {ticks: 3, requests: 2, messages: 1},
		{ticks: 7, requests: 1, messages: 1, fallback: 5, compatible: true}}
	if os.Getenv("IRISPOST_MODEL") == "1" {
		list = []bounds{{ticks: 6, requests: 1, elections: 1, messages: 2, fallback: 6}, {ticks: 4, requests: 2, messages: 1}, {ticks: 5, requests: 2, messages: 1, fallback: 6},
			{ticks: 5, requests: 2, messages: 1, fallback: 6, compatible: true}}
	}
	for _, b := range list {
		states, broken := explore(b, 0)
		if broken != "" {
			t.Errorf("%+v: %s", b, broken)
		}
		t.Logf("%+v: %d states", b, states)
	}
}

// What the model finds of the defects, with how many states it needs.
func TestModelFindsInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		flaw   InjectedFaults
		bounds bounds
	}{"lease from receipt": {FaultLeaseFromReceipt, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}}, "no wait": {FaultNoWait, bounds{ticks: 3, requests: 1, messages: 1}},
		"no meet": {FaultNoIntersection, bounds{ticks: 3, requests: 2, messages: 1}}, "a new leader knows nobody": {FaultNewLeaderAssumesNoLeases, bounds{ticks: 3, requests: 1, elections: 1, messages: 1}},
		"floors not waited for": {FaultIgnoreFallbacks, bounds{ticks: 5, requests: 1, messages: 1, fallback: 6}}, "no leases": {FaultNoLeaseExpiry, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}},
		"no confirmation":                          {faultUnconfirmedLeader, bounds{ticks: 4, requests: 1, elections: 1, messages: 1}},
		"digest not checked":                       {faultUncheckedDigest, bounds{ticks: 3, requests: 1, messages: 1}},
		"a base dropped while a floor rests on it": {FaultForgetHeldVersions, bounds{ticks: 7, requests: 1, messages: 1, fallback: 5, compatible: true}}} {
		states, broken := explore(c.bounds, c.flaw)
		if broken == "" {
			t.Errorf("%s: not found in %d states", name, states)
		}
		t.Logf("%-40s %7d states: %s", name, states, broken)
	}
}
