package lease

import (
	"fmt"
	"runtime"
	"slices"
	"sync"

	"irispost/internal/fleet/configversion"
)

const (
	seenParts      = 64 // number of parts of the set of reached states, each with its own lock
	maxBatchStates = 32 // maximum number of states that a worker takes at a time
)

// search explores the states of a model with several workers.
type search struct {
	bounds bounds
	faults InjectedFaults
	second *Command // proposes the second version

	mu        sync.Mutex // guards the fields below
	changed   *sync.Cond // signals a change of todo, active or violation
	todo      []*modelState
	active    int // number of workers that may still add to todo
	states    int // number of states checked
	violation string

	seen [seenParts]struct {
		mu   sync.Mutex // guards keys
		keys map[uint64]bool
	}
}

func newSearch(b bounds, faults InjectedFaults) *search {
	s := &search{bounds: b, faults: faults, second: &Command{Propose: &Proposal{ID: secondProposal}}}
	s.changed = sync.NewCond(&s.mu)
	for i := range s.seen {
		s.seen[i].keys = map[uint64]bool{}
	}
	return s
}

// run searches until all states are explored or a violation is found.
func (s *search) run() {
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(s.work)
	}
	workers.Wait()
}

// isNew adds a state's key to the set of reached states and reports whether it was not in the set before.
func (s *search) isNew(key uint64) bool {
	part := &s.seen[key%seenParts]
	part.mu.Lock()
	defer part.mu.Unlock()
	if part.keys[key] {
		return false
	}
	part.keys[key] = true
	return true
}

func (s *search) work() {
	compatible := map[string]bool{} // pairs already found compatible, by effective name and version in force
	for {
		states := s.takeBatch()
		if states == nil {
			return
		}
		var found []*modelState
		violation := ""
		for _, state := range states {
			if violation = s.check(state, compatible); violation != "" {
				break
			}
			found = s.appendSuccessors(found, state)
		}
		s.finishBatch(len(states), found, violation)
	}
}

// takeBatch waits for and returns some states to explore, or nil if the search is over.
func (s *search) takeBatch() []*modelState {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.todo) == 0 && s.active > 0 {
		s.changed.Wait()
	}
	if len(s.todo) == 0 || s.violation != "" {
		s.todo = nil
		s.changed.Broadcast()
		return nil
	}
	rest := len(s.todo) - min(len(s.todo), maxBatchStates)
	states := slices.Clone(s.todo[rest:])
	s.todo = s.todo[:rest]
	s.active++
	return states
}

func (s *search) finishBatch(states int, found []*modelState, violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.states += states
	s.todo = append(s.todo, found...)
	if s.violation == "" {
		s.violation = violation
	}
	s.changed.Broadcast()
}

// check compares the configuration in effect at each gateway with the version in force. It returns a description of a
// violation, or "" if there is none.
func (s *search) check(state *modelState, compatible map[string]bool) string {
	for i, client := range state.clients {
		if state.stopped[i] {
			continue
		}
		effective := client.Effective(state.now)
		if effective == nil {
			continue
		}
		name := client.EffectiveName()
		held, _ := client.HeldVersions()
		if s.faults&^FaultForgetHeldVersions == 0 && lacksVersion(state.committed, held) {
			return fmt.Sprintf("gateway %d has %s in effect, which uses a forgotten version: %s", i, name, state.path)
		}
		key := name + fmt.Sprint(state.committed.InForce)
		if compatible[key] {
			continue
		}
		inForce, err := state.committed.Version(state.committed.InForce).Config()
		if err != nil {
			return err.Error()
		}
		if len(configversion.Exceeds(effective, inForce)) > 0 {
			return fmt.Sprintf("gateway %d has %s in effect, which exceeds version %d in force: %s",
				i, name, state.committed.InForce, state.path)
		}
		compatible[key] = true
	}
	return ""
}

// successors collects the states that can follow a state.
type successors struct {
	search *search
	state  *modelState
	found  []*modelState
}

// add adds the state that follows an event, unless it was reached before.
func (s *successors) add(event func(next *modelState), format string, args ...any) {
	next := s.state.clone()
	event(next)
	next.runLeader()
	if s.search.isNew(next.key()) {
		next.path = s.state.path + "; " + fmt.Sprintf(format, args...)
		s.found = append(s.found, next)
	}
}

// appendSuccessors appends the states that can follow a state and were not reached before.
func (s *search) appendSuccessors(found []*modelState, state *modelState) []*modelState {
	next := &successors{s, state, found}
	if int(state.now) < s.bounds.ticks {
		next.add(func(n *modelState) { n.now++ }, "tick")
	}
	if state.proposed == 0 {
		propose := func(n *modelState) {
			n.proposed++
			n.commit(s.second)
		}
		next.add(propose, "propose")
	}
	if state.elections < s.bounds.elections {
		next.addElections()
	}
	// Only the first gateway can stop. That is enough, as the gateways are interchangeable.
	next.add(func(n *modelState) { n.stopped[0] = !n.stopped[0] }, "gateway 0 stops or resumes")
	for gateway := range state.clients {
		next.addRequests(gateway)
	}
	for i, m := range state.messages {
		next.add(func(n *modelState) { n.remove(i) }, "message %d is lost", i)
		if m.response != nil {
			next.addReceipt(i, m)
		} else {
			next.addAnswer(i, m)
		}
	}
	return next.found
}

// remove removes the message at index i.
func (s *modelState) remove(i int) { s.messages = slices.Delete(s.messages, i, i+1) }

func (s *successors) addElections() {
	for replica := range s.state.managers {
		if replica == s.state.leader {
			continue
		}
		elect := func(n *modelState) {
			n.elections++
			n.elect(replica, s.search.faults)
		}
		s.add(elect, "replica %d is elected", replica)
	}
}

// addRequests adds, for each replica that believes that it leads, the state after the gateway sends it a request.
func (s *successors) addRequests(gateway int) {
	if s.state.stopped[gateway] || s.state.requests[gateway] == s.search.bounds.requests {
		return
	}
	if len(s.state.messages) == s.search.bounds.messages {
		return
	}
	for replica, m := range s.state.managers {
		if m == nil {
			continue
		}
		send := func(n *modelState) {
			n.requests[gateway]++
			sent := modelMessage{gateway: gateway, replica: replica, term: n.terms[replica]}
			sent.request = n.clients[gateway].NextRequest(n.now)
			n.messages = append(n.messages, sent)
		}
		s.add(send, "gateway %d sends a request to replica %d", gateway, replica)
	}
}

// addAnswer adds the state after a replica answers a request. Unless faultUnconfirmedLeader is injected, only the
// current leader answers.
func (s *successors) addAnswer(i int, m modelMessage) {
	leads := s.state.leader == m.replica && s.state.term == m.term
	if !leads && !s.search.faults.Has(faultUnconfirmedLeader) {
		return
	}
	answer := func(n *modelState) {
		n.remove(i)
		if n.leader == m.replica {
			n.apply(m.replica)
		}
		sent := modelMessage{gateway: m.gateway, replica: m.replica, term: m.term}
		sent.response = n.managers[m.replica].Renew(n.now, m.request)
		n.messages = append(n.messages, sent)
	}
	s.add(answer, "replica %d answers gateway %d", m.replica, m.gateway)
}

// addReceipt adds the states after a gateway receives a response, one for each outcome of fetching its contents.
func (s *successors) addReceipt(i int, m modelMessage) {
	if s.state.stopped[m.gateway] {
		return
	}
	for _, versions := range s.state.fetchOutcomes(m.response, s.search.faults) {
		receive := func(n *modelState) {
			n.remove(i)
			response := *m.response
			response.Versions = versions
			n.clients[m.gateway].HandleResponse(n.now, &response)
		}
		s.add(receive, "gateway %d receives response %d with version %d in force and %d contents",
			m.gateway, m.response.Seq, m.response.InForce, len(versions))
	}
}

// fetchOutcomes lists the possible outcomes of fetching the contents that a response names, by the time that the
// gateway processes it: each content is fetched or not. Late contents need no outcome of their own, as they are
// equivalent to a late response.
func (s *modelState) fetchOutcomes(response *RenewResponse, faults InjectedFaults) [][]*configversion.Version {
	outcomes := [][]*configversion.Version{nil}
	for _, v := range response.Versions {
		id := []string{firstProposal, secondProposal}[v.Number-1]
		fetched := []*configversion.Version{s.versions[id]}
		if faults.Has(faultUncheckedDigest) {
			fetched = append(fetched, s.versions[wrongContentKey(id)])
		}
		for _, outcome := range slices.Clone(outcomes) {
			for _, version := range fetched {
				outcomes = append(outcomes, append(slices.Clone(outcome), version))
			}
		}
	}
	return outcomes
}
