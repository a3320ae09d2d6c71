package lease

import (
	"fmt"
	"runtime"
	"slices"
	"sync"

	"irispost/internal/fleet/configversion"
)

const (
	seenParts  = 64 // of the set of states that were seen, each with a lock
	statesEach = 32 // states that a worker takes at a time
)

// search goes through the states of a model, with several workers.
type search struct {
	bounds bounds
	faults InjectedFaults
	second *Command // proposes the second version

	mu        sync.Mutex // guards the fields below
	more      *sync.Cond // todo, active or violation has changed
	todo      []*modelState
	active    int // workers that may add to todo
	states    int
	violation string

	seen [seenParts]struct {
		mu   sync.Mutex // guards keys
		keys map[uint64]bool
	}
}

func newSearch(b bounds, faults InjectedFaults) *search {
	s := &search{bounds: b, faults: faults, second: &Command{Propose: &Proposal{ID: secondProposal}}}
	s.more = sync.NewCond(&s.mu)
	for i := range s.seen {
		s.seen[i].keys = map[uint64]bool{}
	}
	return s
}

// run searches until all states are gone through or one is violated.
func (s *search) run() {
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(s.work)
	}
	workers.Wait()
}

// isNew reports whether a state was not seen before.
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
	compatible := map[string]bool{} // what was checked already, by the names of both sides
	for {
		states := s.take()
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
		s.finish(len(states), found, violation)
	}
}

// take returns some states to go through, or nil if there are none and will be none.
func (s *search) take() []*modelState {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.todo) == 0 && s.active > 0 {
		s.more.Wait()
	}
	if len(s.todo) == 0 || s.violation != "" {
		s.todo = nil
		s.more.Broadcast()
		return nil
	}
	rest := len(s.todo) - min(len(s.todo), statesEach)
	states := slices.Clone(s.todo[rest:])
	s.todo = s.todo[:rest]
	s.active++
	return states
}

func (s *search) finish(states int, found []*modelState, violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.states += states
	s.todo = append(s.todo, found...)
	if s.violation == "" {
		s.violation = violation
	}
	s.more.Broadcast()
}

// check compares what the gateways act on with what is in force.
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
			return fmt.Sprintf("gateway %d acts on %s, of which something is forgotten: %s", i, name, state.path)
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
			return fmt.Sprintf("gateway %d acts on %s, in force is %d: %s", i, name, state.committed.InForce, state.path)
		}
		compatible[key] = true
	}
	return ""
}

// successors collects the states that can follow one.
type successors struct {
	search *search
	state  *modelState
	found  []*modelState
}

// add adds the state after something has happened, unless it was seen.
func (s *successors) add(happen func(next *modelState), format string, args ...any) {
	next := s.state.clone()
	happen(next)
	next.runLeader()
	if s.search.isNew(next.key()) {
		next.path = s.state.path + "; " + fmt.Sprintf(format, args...)
		s.found = append(s.found, next)
	}
}

// appendSuccessors appends the states that can follow one and were not seen.
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
	// That one of the gateways may stop is enough, as they are alike.
	next.add(func(n *modelState) { n.stopped[0] = !n.stopped[0] }, "stop or go on")
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

// remove removes a message.
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
		s.add(elect, "elect %d", replica)
	}
}

// addRequests has a gateway send a request to each replica that believes that it leads.
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
		s.add(send, "%d asks %d", gateway, replica)
	}
}

// addAnswer has a replica answer a request. Without the fault it has confirmed that it still leads.
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
	s.add(answer, "%d answers %d", m.replica, m.gateway)
}

// addReceipt has a gateway receive a response, with each of its contents or without.
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
		s.add(receive, "%d hears %d of %d, with %d contents", m.gateway, m.response.Seq, m.response.InForce, len(versions))
	}
}

// fetchOutcomes lists the ways in which a gateway may have fetched the contents that a response names by the
// time that it takes the response in: each of them, or not. That they come late is as if the response did.
func (s *modelState) fetchOutcomes(response *RenewResponse, faults InjectedFaults) [][]*configversion.Version {
	outcomes := [][]*configversion.Version{nil}
	for _, v := range response.Versions {
		id := []string{firstProposal, secondProposal}[v.Number-1]
		fetched := []*configversion.Version{s.versions[id]}
		if faults.Has(faultUncheckedDigest) {
			fetched = append(fetched, s.versions[wrongContent(id)])
		}
		for _, outcome := range slices.Clone(outcomes) {
			for _, version := range fetched {
				outcomes = append(outcomes, append(slices.Clone(outcome), version))
			}
		}
	}
	return outcomes
}
