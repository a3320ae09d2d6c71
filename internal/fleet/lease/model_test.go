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
	ticks, asks, elections, out int
	floor                       Time
	mild                        bool // the second version does not contradict the first
}

var modelTerms = Settings{LeaseDuration: 2}

// letter is a message under way: an ask to a keeper, or a grant back.
type letter struct {
	host, keeper int
	term         uint64 // of the keeper, when the ask was sent
	ask          *RenewRequest
	grant        *RenewResponse
}

type state struct {
	now       Time
	log       []*Command
	truth     *StateMachine
	ledgers   [3]*StateMachine
	applied   [3]int
	wardens   [3]*Manager
	terms     [3]uint64
	leader    int
	term      uint64
	hosts     [2]*Client
	stopped   [2]bool
	asks      [2]int
	letters   []letter
	proposed  int
	elections int
	path      string                            // how it was reached
	versions  map[string]*configversion.Version // by proposal; the same for all
	span      Time                              // of their floors
}

func cloneLedger(l *StateMachine) *StateMachine {
	c := *l
	c.Versions, c.ProposalIDs, c.Holders = slices.Clone(l.Versions), maps.Clone(l.ProposalIDs), maps.Clone(l.Holders)
	c.Members, c.spans, c.codes = maps.Clone(l.Members), maps.Clone(l.spans), maps.Clone(l.codes)
	return &c
}

func (s *state) clone() *state {
	c := *s
	c.log, c.truth, c.letters = slices.Clone(s.log), cloneLedger(s.truth), slices.Clone(s.letters)
	for i := range s.ledgers {
		c.ledgers[i] = cloneLedger(s.ledgers[i])
		if w := s.wardens[i]; w != nil {
			n := *w
			n.ledger, n.joining, n.parting, n.holders = c.ledgers[i], maps.Clone(w.joining), maps.Clone(w.parting), map[string]*holder{}
			for name, h := range w.holders {
				m := *h
				m.granted = slices.Clone(h.granted)
				n.holders[name] = &m
			}
			c.wardens[i] = &n
		}
	}
	for i, f := range s.hosts {
		n := *f
		n.asked, n.log = slices.Clone(f.asked), nil
		c.hosts[i] = &n
	}
	return &c
}

// key is all that counts for what can come.
func (s *state) key() uint64 {
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
		for _, name := range names(m) {
			b = append(b, name...)
		}
		b = append(b, 255)
	}
	put(uint64(s.now), uint64(len(s.log)), uint64(len(s.truth.Versions)), s.truth.InForce, s.truth.Announced, uint64(s.leader), s.term, flag(s.stopped[0]), uint64(s.asks[0]), uint64(s.asks[1]),
		uint64(s.proposed), uint64(s.elections))
	set(s.truth.Holders)
	for i, w := range s.wardens {
		put(uint64(s.applied[i]), s.terms[i])
		if w == nil {
			continue
		}
		put(w.term, w.forcing, uint64(w.forced))
		set(w.joining)
		for _, name := range []string{"g", "h"} {
			if h := w.holders[name]; h != nil {
				put(h.seq, uint64(h.lease), uint64(h.floor), uint64(h.unknown))
				put(h.holds...)
				for _, g := range h.granted {
					put(g.seq, g.inForce, g.announced, uint64(g.until))
				}
				if at, parting := w.parting[name]; parting {
					put(uint64(at), 1)
				}
			}
			b = append(b, 254)
		}
	}
	for _, f := range s.hosts {
		b = append(append(b, f.name...), byte(f.state))
		put(f.seq, f.taken, f.term, f.inForce, f.newest, uint64(f.lease), uint64(f.floor))
		for _, a := range f.asked {
			put(a.seq, uint64(a.at))
		}
		for _, v := range f.held {
			put(v.Number)
		}
	}
	list := make([]string, 0, len(s.letters))
	main := b
	for _, l := range s.letters {
		b = nil
		put(uint64(l.host), uint64(l.keeper), l.term)
		if l.grant != nil {
			put(1, l.grant.Seq, l.grant.Term, l.grant.InForce, l.grant.Announced, uint64(l.grant.LeaseDuration), uint64(len(l.grant.Versions)))
		} else {
			put(2, l.ask.Seq, l.ask.Term, l.ask.AcceptedSeq)
			put(l.ask.HeldVersions...)
		}
		list = append(list, string(b))
	}
	slices.Sort(list)
	return xxhash.Sum64(append(main, strings.Join(list, "")...))
}

// applyTo applies a command. The versions of proposals are shared by all states, so that they are read once.
func (s *state) applyTo(l *StateMachine, c *Command) {
	if c.Propose == nil {
		l.Apply(c)
		return
	}
	v := s.versions[c.Propose.ID]
	l.Versions, l.Announced = append(l.Versions, v), v.Number
	l.spans[v.Number] = s.span
	l.ProposalIDs[c.Propose.ID] = v.Number
}

func (s *state) commit(c *Command) {
	s.log = append(s.log, c)
	s.applyTo(s.truth, c)
}

func (s *state) apply(k int) {
	for ; s.applied[k] < len(s.log); s.applied[k]++ {
		s.applyTo(s.ledgers[k], s.log[s.applied[k]])
		if s.wardens[k] != nil {
			s.wardens[k].Applied(s.log[s.applied[k]])
		}
	}
}

// settle has the leader put into the log all that is due.
func (s *state) settle() {
	for {
		s.apply(s.leader)
		c := s.wardens[s.leader].NextCommand(s.now)
		if c == nil {
			return
		}
		s.commit(c)
	}
}

func (s *state) elect(k int, flaws InjectedFaults) {
	s.term++
	s.leader, s.terms[k] = k, s.term
	s.wardens[k] = nil
	s.apply(k)
	s.wardens[k] = NewManager(s.now, s.term, s.ledgers[k], flaws)
	s.wardens[k].retain = retention{on: true, batch: 1}
}

// explore goes through all that can happen. It returns how many states there are, and how one breaks, if one does.
func explore(b bounds, flaws InjectedFaults) (states int, broken string) {
	version := func(owner string) []byte {
		r := &configversion.Config{RequiredFormat: 1, Shards: 1, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"p": {Weight: 1}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
			Nodes: map[string]configversion.Node{"a": {Health: endpoint.Draining}, "b": {Health: endpoint.Draining}}, FallbackPolicy: configversion.FallbackPolicy{Duration: b.floor, LimitFraction: 1}}
		r.Nodes[owner] = configversion.Node{}
		if b.mild {
			r.Nodes = map[string]configversion.Node{"a": {Name: owner}}
		}
		return r.Canonical()
	}
	first := &state{truth: NewStateMachine(), hosts: [2]*Client{NewClient("g", 1, flaws), NewClient("h", 1, flaws)}, versions: map[string]*configversion.Version{}, span: b.floor}
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
	for i := range first.ledgers {
		first.ledgers[i] = NewStateMachine()
	}
	for _, c := range []*Command{{Bootstrap: &modelTerms}, {Propose: &Proposal{ID: "one"}}, {Activate: 1}, {Join: []string{"g", "h"}}} {
		first.commit(c)
	}
	first.elect(0, flaws)
	m := &search{bounds: b, flaws: flaws, todo: []*state{first}, two: &Command{Propose: &Proposal{ID: "two"}}}
	m.more.L = &m.lock
	for i := range m.seen {
		m.seen[i].keys = map[uint64]bool{}
	}
	m.new(first.key())
	var done sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		done.Add(1)
		go func() { defer done.Done(); m.work() }()
	}
	done.Wait()
	return m.states, m.broken
}

// search is one that goes on, by several at a time.
type search struct {
	bounds
	flaws  InjectedFaults
	two    *Command
	lock   sync.Mutex
	more   sync.Cond
	todo   []*state
	active int
	states int
	broken string
	seen   [64]struct {
		lock sync.Mutex
		keys map[uint64]bool
	}
}

// new tells whether a state is.
func (m *search) new(key uint64) bool {
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
		if len(m.todo) == 0 || m.broken != "" {
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
		var found []*state
		broken := ""
		for _, s := range list {
			if why := m.look(s, fits); why != "" {
				broken = why
				break
			}
			found = m.from(s, found)
		}
		m.lock.Lock()
		m.active--
		m.states += len(list)
		m.todo = append(m.todo, found...)
		if broken != "" && m.broken == "" {
			m.broken = broken
		}
		m.lock.Unlock()
		m.more.Broadcast()
	}
}

// look holds what the gateways act on against what is in force.
func (m *search) look(s *state, fits map[string]bool) string {
	for i, f := range s.hosts {
		if s.stopped[i] {
			continue
		}
		effect := f.Effective(s.now)
		if effect == nil {
			continue
		}
		if numbers, _ := f.HeldVersions(); m.flaws&^FaultForgetHeldVersions == 0 && slices.ContainsFunc(numbers, func(n uint64) bool { return s.truth.Version(n) == nil }) {
			return fmt.Sprintf("gateway %d acts on %s, of which something is forgotten: %s", i, f.EffectiveName(), s.path)
		}
		key := f.EffectiveName() + fmt.Sprint(s.truth.InForce)
		if fits[key] {
			continue
		}
		inForce, _ := s.truth.Version(s.truth.InForce).Config()
		if len(configversion.Exceeds(effect, inForce)) > 0 {
			return fmt.Sprintf("gateway %d acts on %s, in force is %d: %s", i, f.EffectiveName(), s.truth.InForce, s.path)
		}
		fits[key] = true
	}
	return ""
}

// fetched are the ways in which a gateway may have the contents that a grant names by the time that it takes it: each of them, or not. That
// they come late is that the grant does.
func (s *state) fetched(g *RenewResponse, flaws InjectedFaults) (ways [][]*configversion.Version) {
	ways = [][]*configversion.Version{nil}
	for _, v := range g.Versions {
		id := []string{"one", "two"}[v.Number-1]
		can := []*configversion.Version{s.versions[id]}
		if flaws.Has(noDigest) {
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

// from adds the states that can follow.
func (m *search) from(s *state, found []*state) []*state {
	next := func(do func(n *state), text string, args ...any) {
		n := s.clone()
		do(n)
		n.settle()
		if m.new(n.key()) {
			n.path = s.path + "; " + fmt.Sprintf(text, args...)
			found = append(found, n)
		}
	}
	if int(s.now) < m.ticks {
		next(func(n *state) { n.now++ }, "tick")
	}
	if s.proposed == 0 {
		next(func(n *state) { n.proposed++; n.commit(m.two) }, "propose")
	}
	if s.elections < m.elections {
		for k := range 3 {
			if k != s.leader {
				next(func(n *state) { n.elections++; n.elect(k, m.flaws) }, "elect %d", k)
			}
		}
	}
	for i := range s.hosts {
		if i == 0 {
			next(func(n *state) { n.stopped[i] = !n.stopped[i] }, "stop or go on")
		}
		if s.stopped[i] || s.asks[i] == m.asks || len(s.letters) == m.out {
			continue
		}
		for k, w := range s.wardens {
			if w != nil {
				next(func(n *state) {
					n.asks[i]++
					n.letters = append(n.letters, letter{host: i, keeper: k, term: n.terms[k], ask: n.hosts[i].NextRequest(n.now)})
				}, "%d asks %d", i, k)
			}
		}
	}
	for at, l := range s.letters {
		next(func(n *state) { n.letters = slices.Delete(n.letters, at, at+1) }, "message %d is lost", at)
		if l.grant != nil {
			for _, had := range s.fetched(l.grant, m.flaws) {
				if !s.stopped[l.host] {
					next(func(n *state) {
						n.letters = slices.Delete(n.letters, at, at+1)
						g := *l.grant
						g.Versions = had
						n.hosts[l.host].HandleResponse(n.now, &g)
					}, "%d hears %d of %d, with %d contents", l.host, l.grant.Seq, l.grant.InForce, len(had))
				}
			}
			continue
		}
		if s.leader == l.keeper && s.term == l.term || m.flaws.Has(noConfirm) {
			next(func(n *state) {
				n.letters = slices.Delete(n.letters, at, at+1)
				if n.leader == l.keeper {
					n.apply(l.keeper)
				}
				g := n.wardens[l.keeper].Renew(n.now, l.ask)
				n.letters = append(n.letters, letter{host: l.host, keeper: l.keeper, term: l.term, grant: g})
			}, "%d answers %d", l.keeper, l.host)
		}
	}
	return found
}

// IRISPOST_MODEL=1 searches the larger model.
func TestModel(t *testing.T) {
	list := []bounds{{ticks: 4, asks: 1, elections: 1, out: 1}, {ticks: 5, asks: 1, out: 1, floor: 6}, {ticks: 3, asks: 2, out: 1},
		{ticks: 7, asks: 1, out: 1, floor: 5, mild: true}}
	if os.Getenv("IRISPOST_MODEL") == "1" {
		list = []bounds{{ticks: 6, asks: 1, elections: 1, out: 2, floor: 6}, {ticks: 4, asks: 2, out: 1}, {ticks: 5, asks: 2, out: 1, floor: 6},
			{ticks: 5, asks: 2, out: 1, floor: 6, mild: true}}
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
func TestModelFindsDefects(t *testing.T) {
	for name, c := range map[string]struct {
		flaw   InjectedFaults
		bounds bounds
	}{"lease from receipt": {FaultLeaseFromReceipt, bounds{ticks: 4, asks: 1, elections: 1, out: 1}}, "no wait": {FaultNoWait, bounds{ticks: 3, asks: 1, out: 1}},
		"no meet": {FaultNoIntersection, bounds{ticks: 3, asks: 2, out: 1}}, "a new leader knows nobody": {FaultNewLeaderAssumesNoLeases, bounds{ticks: 3, asks: 1, elections: 1, out: 1}},
		"floors not waited for": {FaultIgnoreFallbacks, bounds{ticks: 5, asks: 1, out: 1, floor: 6}}, "no leases": {FaultNoLeaseExpiry, bounds{ticks: 4, asks: 1, elections: 1, out: 1}},
		"no confirmation":                          {noConfirm, bounds{ticks: 4, asks: 1, elections: 1, out: 1}},
		"digest not checked":                       {noDigest, bounds{ticks: 3, asks: 1, out: 1}},
		"a base dropped while a floor rests on it": {FaultForgetHeldVersions, bounds{ticks: 7, asks: 1, out: 1, floor: 5, mild: true}}} {
		states, broken := explore(c.bounds, c.flaw)
		if broken == "" {
			t.Errorf("%s: not found in %d states", name, states)
		}
		t.Logf("%-40s %7d states: %s", name, states, broken)
	}
}
