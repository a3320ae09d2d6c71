// Package membership turns what sources of lists say into what the decision module is told of its nodes. It is pure: no
// I/O, no clock, no chance. Whoever runs it calls what has happened with the time, then Decide, and hands on what that
// returns. docs/members.md gives the reasons.
package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"irispost/internal/endpoint"
)

// Time is nanoseconds since 1970.
type Time = int64

// Settings are the figures of membership. Spans are nanoseconds.
type Settings struct {
	MaxLossRatio float64 // share of the shards in force that may lose their last node within Hold without being held
	HoldDown     Time    // how long such a loss is held; then the source's next word counts, or three times as long
	RemovalGrace Time    // of a node that was let go: jobs that are out may end, and an address may not take another shard
	MaxFlaps     int     // turns to ready within FlapWindow that are believed at once
	FlapWindow   Time
	DampingTime  Time // how long a node that flaps has to stay ready before it is believed
	StaleAfter   Time // after a link has been cut for so long, its list counts as old
	ForgetAfter  Time // after a node has been gone for so long, nothing is known of it any more
}

// DefaultSettings are used where nothing else is said.
var DefaultSettings = Settings{MaxLossRatio: 0.5, HoldDown: 10e9, RemovalGrace: 2e9, MaxFlaps: 5, FlapWindow: 30e9, DampingTime: 3e9, StaleAfter: 60e9, ForgetAfter: 600e9}

// State is how a node stands with this gateway.
type State uint8

const (
	Absent    State = iota // told gone, or never told: no source has it
	Serving                // told ready
	Draining               // told draining: a source says so
	Unhealthy              // told gone: a source says that it is not healthy
	Removing               // told gone, within the grace
	HeldDown               // told as before: the sources let it go, which is held
	Standby                // told draining, or not at all: another node of its shard is in force
	Damped                 // told draining: it has flapped, and is not believed yet
)

var states = [...]string{"absent", "serving", "draining", "unwell", "leaving", "kept", "waiting", "resting"}

func (s State) String() string { return states[s] }

// Member is a node, by its address.
type Member struct {
	Addr   string
	State  State
	Since  Time          // of the state
	Reason string        // of the state
	Source *Source       // the one that counts for it; of one that no source has, the last
	said   endpoint.Node // by that source, last
	listed bool          // some source has it
	shard  int           // that it is in force for
	born   Time          // as told; it never goes back
	told   bool          // the module has heard of it
	ready  Time          // said ready since; 0: it is not
	turns  []Time        // when it was said to be ready again, of late
}

// Shard is the shard that it is in force for.
func (m *Member) Shard() int { return m.shard }

// Reported is what the source said last.
func (m *Member) Reported() endpoint.Node { return m.said }

// hold is a loss that is not believed yet.
type hold struct {
	since Time
	by    map[*Source]bool // whose nodes are kept
	next  bool             // one of them has spoken after the hold's time, and the loss still stands
	all   bool             // nothing would be left
	count int              // nodes kept
}

// Tracker is all that is known of the nodes.
type Tracker struct {
	terms    Settings
	sources  []*Source // by precedence
	members  map[string]*Member
	order    []*Member // by address
	lost     map[int]Time
	hold     *hold // nil: none
	confirm  bool
	changed  bool
	wake     Time
	last     []endpoint.Node // as told
	stale    bool            // as told
	toldOnce bool
	version  string
	log      []string
}

// New makes a fleet of sources, named in the order of their precedence: where two have the same address, the first
// counts.
func New(t Settings, names ...string) *Tracker {
	f := &Tracker{terms: t, members: map[string]*Member{}, lost: map[int]Time{}}
	for i, name := range names {
		f.sources = append(f.sources, &Source{fleet: f, Name: name, rank: i})
	}
	return f
}

// Sources are the sources, by precedence.
func (f *Tracker) Sources() []*Source { return f.sources }

// Members are the nodes, by address.
func (f *Tracker) Members() []*Member { return f.order }

// HoldDown tells of a loss that is held: since when, how many nodes are kept, whether nothing would be left.
func (f *Tracker) HoldDown() (since Time, count int, all, held bool) {
	if f.hold == nil {
		return 0, 0, false, false
	}
	return f.hold.since, f.hold.count, f.hold.all, true
}

func (f *Tracker) note(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// Update is what the module is to be told.
type Update struct {
	List    endpoint.List
	Changed bool // it differs from what was told before
	Log     []string
	NextAt  Time // when Decide has to be asked at the latest; 0: when something happens
}

// Confirm takes what is held at its word, by somebody who is sure. It returns what that is: nodes kept, and old lists.
func (f *Tracker) Confirm() (nodes, lists int) {
	if f.hold != nil {
		nodes, f.confirm, f.changed = f.hold.count, true, true
	}
	for _, s := range f.sources {
		if s.old != nil {
			lists++
			s.take(s.heard, *s.old, "confirmed")
		}
	}
	return nodes, lists
}

// Reconcile works out what the module is to be told now.
func (f *Tracker) Reconcile(now Time) Update {
	for _, s := range f.sources {
		s.pass(now)
	}
	t := Update{}
	if f.changed || f.wake > 0 && now >= f.wake {
		f.changed, f.wake = false, 0
		f.settle(now)
		list, stale := f.list()
		if t.Changed = f.heard() && (!f.toldOnce || stale != f.stale || !slices.Equal(list, f.last)); t.Changed {
			f.toldOnce, f.last, f.stale, f.version = true, list, stale, f.versions()
		}
	}
	t.Log, f.log, t.NextAt = f.log, nil, f.wake
	for _, s := range f.sources {
		t.NextAt = sooner(t.NextAt, s.wake())
	}
	t.List = endpoint.List{Version: f.version, Stale: f.stale, Nodes: f.last}
	return t
}

// versions names the versions in force.
func (f *Tracker) versions() string {
	list := make([]string, len(f.sources))
	for i, s := range f.sources {
		list[i] = s.version
	}
	return strings.Join(list, " ")
}

// heard tells whether a source has said anything yet.
func (f *Tracker) heard() bool {
	return slices.ContainsFunc(f.sources, func(s *Source) bool { return s.said != nil })
}

// sooner is the earlier of two times, 0 being none.
func sooner(a, b Time) Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

func (f *Tracker) wakeAt(at Time) { f.wake = sooner(f.wake, at) }

// move is the one place where a node's state changes.
func (f *Tracker) move(now Time, m *Member, to State, why string) {
	if m.State == to {
		m.Reason = why
		return
	}
	from := m.State
	m.State, m.Since, m.Reason = to, now, why
	if to == Serving || to == Draining || to == HeldDown {
		m.told = true
	}
	f.note("node %s of shard %d: %s, was %s: %s", m.Addr, m.shard, to, from, why)
}

// settle takes each node's state from what is said of it.
func (f *Tracker) settle(now Time) {
	f.hear(now)
	claims := map[int][]*Member{} // nodes that could serve a shard
	for _, m := range f.order {
		if f.wanted(now, m) {
			claims[m.shard] = append(claims[m.shard], m)
		}
	}
	winners := map[int]*Member{}
	for shard, list := range claims {
		winners[shard] = slices.MinFunc(list, compare)
	}
	keep := f.losses(now, winners)
	f.stand(now, winners, keep)
	f.forget(now)
}

// hear takes in what the sources say, address by address.
func (f *Tracker) hear(now Time) {
	for _, m := range f.order {
		m.listed = false
	}
	added := false
	for i := len(f.sources) - 1; i >= 0; i-- { // so that the first has the last word
		s := f.sources[i]
		for _, n := range s.said {
			if n.Health == endpoint.Removed {
				continue // as if it were not there
			}
			m := f.members[n.Addr]
			if m == nil {
				m = &Member{Addr: n.Addr, shard: n.Shard, born: -1}
				f.members[n.Addr] = m
				f.order = append(f.order, m)
				added = true
			}
			m.said, m.Source, m.listed = n, s, true
		}
	}
	for _, s := range f.sources { // one that a source lists as gone is gone, whatever later ones say
		for _, n := range s.said {
			if m := f.members[n.Addr]; n.Health == endpoint.Removed && m != nil && m.listed && s.rank < m.Source.rank {
				m.said, m.Source, m.listed = n, s, false
			}
		}
	}
	if added {
		slices.SortFunc(f.order, func(a, b *Member) int { return cmp.Compare(a.Addr, b.Addr) })
	}
	for _, m := range f.order {
		switch is := m.listed && m.said.Health == endpoint.Ready; {
		case !is:
			m.ready = 0
		case m.ready == 0:
			m.ready = now
			if m.told {
				m.turns = append(m.turns, now)
			}
		}
		m.turns = slices.DeleteFunc(m.turns, func(at Time) bool { return at <= now-f.terms.FlapWindow })
	}
}

// wanted tells whether a node could serve its shard, and notes what it counts as in that shard.
func (f *Tracker) wanted(now Time, m *Member) bool {
	if !m.listed || m.State == Removing && m.said.Shard != m.shard && now < m.Since+f.terms.RemovalGrace {
		return false // also one whose address now stands for another shard: the old one's jobs end first
	}
	if m.said.Shard != m.shard {
		if m.told && m.State != Removing && m.State != Absent {
			return false // it leaves its old shard first
		}
		m.shard = m.said.Shard
		if m.told && m.said.StartedAt <= m.born {
			m.born = max(now, m.born+1) // it cannot be what it was, so it counts as started now
		}
	}
	switch {
	case m.said.StartedAt > max(m.born, 0):
		m.born = m.said.StartedAt
	case m.born < 0 && m.Source.first:
		m.born = 0 // it came with a source's first list: there for long, as far as anybody can tell
	case m.born < 0 || m.State == Absent && m.told && m.said.StartedAt <= m.born:
		m.born = max(now, m.born+1) // new, or back after it was gone, and nobody says since when
	}
	if m.said.Health != endpoint.Ready {
		return false
	}
	return !f.flaps(now, m)
}

// flaps tells whether a node was said to be ready so often of late that this is not believed yet.
func (f *Tracker) flaps(now Time, m *Member) bool {
	if len(m.turns) <= f.terms.MaxFlaps || m.State == Serving || m.State == HeldDown || now >= m.ready+f.terms.DampingTime {
		return false
	}
	f.wakeAt(m.ready + f.terms.DampingTime)
	return true
}

// compare puts the one of two claimants of a shard first that is to serve: by priority; the one that started later, as
// it replaces the other; the one in force; by the sources' precedence; by address.
func compare(a, b *Member) int {
	force := func(m *Member) int {
		if m.State == Serving || m.State == HeldDown {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.said.Priority, b.said.Priority), cmp.Compare(b.born, a.born), cmp.Compare(force(a), force(b)),
		cmp.Compare(a.Source.rank, b.Source.rank), cmp.Compare(a.Addr, b.Addr))
}

// losses finds the shards that would lose their last node, and tells whether those nodes are kept for now.
func (f *Tracker) losses(now Time, winners map[int]*Member) (keep map[*Member]bool) {
	covered, lost := 0, []*Member{}
	for _, m := range f.order {
		if m.State != Serving && m.State != HeldDown {
			continue
		}
		covered++
		drained := m.listed && m.said.Health == endpoint.Draining && m.said.Shard == m.shard // a drain is kept, not held
		if winners[m.shard] == nil && !drained {
			lost = append(lost, m)
		}
	}
	recent := 0
	for shard, at := range f.lost {
		switch {
		case winners[shard] != nil || now >= at+f.terms.HoldDown:
			delete(f.lost, shard)
		default:
			recent++
		}
	}
	confirmed := f.confirm
	f.confirm = false
	over := float64(len(lost)+recent) > f.terms.MaxLossRatio*float64(covered+recent)
	switch {
	case len(lost) == 0:
		if f.hold != nil {
			f.note("nothing is held any more: what was lost is back or has a successor")
		}
		f.hold = nil
		return nil
	case f.hold == nil && (!over || f.terms.HoldDown == 0):
	case f.hold == nil:
		f.hold = &hold{since: now, by: map[*Source]bool{}}
		f.note("%d of %d shards would lose their last node at once, %v may: held", len(lost)+recent, covered+recent, f.terms.MaxLossRatio)
		fallthrough
	default:
		h := f.hold
		h.count, h.all = len(lost), len(lost) == covered
		why := ""
		switch {
		case confirmed:
			why = "confirmed"
		case h.next:
			why = "said again"
		case !h.all && f.allUp() && now >= h.since+3*f.terms.HoldDown:
			why = "it has stood long enough"
		default:
			if !h.all && f.allUp() {
				f.wakeAt(h.since + 3*f.terms.HoldDown)
			}
			keep = map[*Member]bool{}
			for _, m := range lost {
				keep[m], h.by[m.Source] = true, true
			}
			return keep
		}
		f.note("the loss of %d shards is taken at its word: %s", len(lost), why)
		f.hold = nil
	}
	for _, m := range lost {
		f.lost[m.shard] = now
	}
	return nil
}

// allUp tells whether no source's link is cut.
func (f *Tracker) allUp() bool {
	return !slices.ContainsFunc(f.sources, func(s *Source) bool { return s.State == Disconnected || s.State == Stale })
}

// stand moves each node to its state.
func (f *Tracker) stand(now Time, winners map[int]*Member, keep map[*Member]bool) {
	for _, m := range f.order {
		moves := m.listed && m.said.Shard != m.shard
		switch {
		case keep[m]:
			f.move(now, m, HeldDown, "its loss is held")
		case moves && m.State != Removing:
			f.move(now, m, Removing, fmt.Sprintf("its address now stands for shard %d", m.said.Shard))
		case moves:
		case !m.listed:
			f.let(now, m)
		case m.said.Health == endpoint.Draining:
			f.move(now, m, Draining, "said by "+m.Source.Name)
		case m.said.Health == endpoint.Unhealthy:
			f.move(now, m, Unhealthy, "said by "+m.Source.Name)
		case winners[m.shard] == m:
			f.move(now, m, Serving, "said by "+m.Source.Name)
		case f.flaps(now, m):
			f.move(now, m, Damped, fmt.Sprintf("ready again %d times of late", len(m.turns)))
		default:
			f.move(now, m, Standby, "its shard is served by "+winners[m.shard].Addr)
		}
		if m.State == Removing {
			if now >= m.Since+f.terms.RemovalGrace && !moves {
				f.move(now, m, Absent, "the grace is over")
			} else {
				f.wakeAt(m.Since + f.terms.RemovalGrace)
			}
		}
	}
}

// let lets a node go that no source has any more.
func (f *Tracker) let(now Time, m *Member) {
	switch m.State {
	case Removing, Absent:
	default:
		f.move(now, m, Removing, "no source has it")
	}
}

// forget drops nodes that have been gone for long.
func (f *Tracker) forget(now Time) {
	f.order = slices.DeleteFunc(f.order, func(m *Member) bool {
		gone := m.State == Absent && !m.listed
		if gone && now >= m.Since+f.terms.ForgetAfter {
			delete(f.members, m.Addr)
			return true
		}
		if gone {
			f.wakeAt(m.Since + f.terms.ForgetAfter)
		}
		return false
	})
}

// list is what the module is to be told: whole, so that what it leaves out is gone.
func (f *Tracker) list() (nodes []endpoint.Node, stale bool) {
	for _, m := range f.order {
		n := endpoint.Node{Addr: m.Addr, Zone: m.said.Zone, Shard: m.shard, Weight: m.said.Weight, StartedAt: m.born}
		switch m.State {
		case Serving, HeldDown:
		case Draining, Damped:
			n.Health = endpoint.Draining
		case Standby:
			if n.Health = endpoint.Draining; !m.told {
				continue
			}
		default:
			continue
		}
		nodes = append(nodes, n)
	}
	for _, s := range f.sources {
		stale = stale || s.said != nil && (s.stale || s.State == Stale)
	}
	return nodes, stale
}
