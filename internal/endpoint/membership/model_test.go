package membership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
)

// eventKinds are the random events; frequent ones are listed repeatedly.
var eventKinds = []string{
	"report", "report", "report", "repeat", "reject", "disconnect", "connect", "pass", "pass", "confirm",
}

// model drives a tracker of two sources at random and checks invariants that hold for any sequence of reports.
type model struct {
	harness
	settings  Settings
	startedAt map[string]Time // start times in the last list
}

// step applies one random event and checks the invariants.
func (m *model) step(t *rapid.T) {
	source := rapid.IntRange(0, 1).Draw(t, "source")
	src := m.tracker.Sources()[source]
	switch rapid.SampledFrom(eventKinds).Draw(t, "event") {
	case "report":
		m.reportRandomList(t, source, rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "version"))
	case "repeat":
		if src.NodeCount() > 0 {
			src.Receive(m.now, endpoint.List{Version: src.Version(), Nodes: src.nodes})
		}
	case "reject":
		before := src.Version()
		src.Reject(m.now, "wrong")
		if src.Version() != before {
			t.Fatalf("a rejected update changed the version from %q to %q", before, src.Version())
		}
	case "disconnect":
		src.LinkDown(m.now, "connection reset")
	case "connect":
		src.LinkUp(m.now)
	case "pass":
		m.advance(t, rapid.SampledFrom([]Time{1, 1e6, 5e8, 2e9, 3e9, 10e9, 30e9, 61e9}).Draw(t, "span"))
	case "confirm":
		m.tracker.Confirm()
	}
	m.reconcile()
	m.check(t)
}

func (m *model) advance(t *rapid.T, d Time) {
	end := m.now + d
	for n := 0; m.update.NextAt > 0 && m.update.NextAt <= end; n++ {
		if m.update.NextAt < m.now || n > 1000 {
			t.Fatalf("the Reconcile due at %d is still due at %d", m.update.NextAt, m.now)
		}
		m.now = max(m.now+1, m.update.NextAt)
		m.reconcile()
		m.check(t)
	}
	m.now = max(end, m.now)
}

// reportRandomList makes a source send a random list: the current one with a few changes, or a new one.
func (m *model) reportRandomList(t *rapid.T, source int, version string) {
	next := map[string]endpoint.Node{}
	if !rapid.Bool().Draw(t, "new list") {
		for _, n := range m.tracker.Sources()[source].nodes {
			next[n.Addr] = n
		}
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		addr := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "addr")
		if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
			delete(next, addr)
			continue
		}
		next[addr] = endpoint.Node{
			Addr:      addr,
			Shard:     rapid.IntRange(0, 3).Draw(t, "shard"),
			StartedAt: rapid.SampledFrom([]Time{0, 0, 5, 7 * sec, m.now}).Draw(t, "start time"),
			Health:    endpoint.Health(rapid.IntRange(0, 3).Draw(t, "health")),
			Priority:  rapid.IntRange(0, 1).Draw(t, "priority"),
		}
	}
	l := endpoint.List{Version: version}
	for _, n := range next {
		l.Nodes = append(l.Nodes, n)
	}
	slices.SortFunc(l.Nodes, func(a, b endpoint.Node) int { return int(a.Addr[0]) - int(b.Addr[0]) })
	m.tracker.Sources()[source].Receive(m.now, l)
}

// reported returns the report of an address by the source with the highest precedence; false: no source lists it.
func (m *model) reported(addr string) (endpoint.Node, bool) {
	for _, s := range m.tracker.Sources() {
		for _, n := range s.nodes {
			if n.Addr == addr {
				return n, n.Health != endpoint.Removed
			}
		}
	}
	return endpoint.Node{}, false
}

// check checks the invariants.
func (m *model) check(t *rapid.T) {
	t.Helper()
	shards := m.checkList(t)
	m.checkMembers(t, shards)
	for _, s := range m.tracker.Sources() {
		if s.State == Disconnected && m.now > s.Since+m.settings.StaleAfter {
			m.fail(t, "source %s is disconnected for longer than StaleAfter and not stale", s.Name)
		}
	}
	// Without an event a repeated Reconcile changes nothing.
	if repeated := m.tracker.Reconcile(m.now); repeated.Changed || len(repeated.Events) > 0 {
		m.fail(t, "a second Reconcile at the same time has changes or events: %v", repeated.Events)
	}
}

// fail ends the test with a message, the list for the scheduler and the last events.
func (m *model) fail(t *rapid.T, format string, args ...any) {
	t.Helper()
	t.Fatalf("%s\nlist: %q\nlast events: %v", fmt.Sprintf(format, args...), m.listed(), m.logs[max(0, len(m.logs)-30):])
}

// checkList checks the list for the scheduler, and returns the address of the node that serves each shard.
func (m *model) checkList(t *rapid.T) (shards map[int]string) {
	t.Helper()
	shards = map[int]string{}
	for _, n := range m.update.List.Nodes {
		// A start time never decreases, so that the scheduler never takes an old start for a new one.
		if n.StartedAt < m.startedAt[n.Addr] || n.StartedAt < 0 {
			m.fail(t, "the start time of %s changed from %d to %d", n.Addr, m.startedAt[n.Addr], n.StartedAt)
		}
		m.startedAt[n.Addr] = n.StartedAt
		if n.Health != endpoint.Ready {
			continue
		}
		// At most one node serves a shard.
		if other := shards[n.Shard]; other != "" {
			m.fail(t, "%s and %s both serve shard %d", other, n.Addr, n.Shard)
		}
		shards[n.Shard] = n.Addr
		m.checkReady(t, n)
	}
	return shards
}

// checkReady checks that a node listed as ready is reported ready for that shard, or that its loss is held down.
func (m *model) checkReady(t *rapid.T, n endpoint.Node) {
	t.Helper()
	reported, listed := m.reported(n.Addr)
	if m.state(n.Addr) == HeldDown {
		if m.tracker.hold == nil {
			m.fail(t, "%s is in state HeldDown and no hold-down is active", n.Addr)
		}
	} else if !listed || reported.Health != endpoint.Ready || reported.Shard != n.Shard {
		m.fail(t, "%s is listed as ready for shard %d, but reported as %+v (listed by a source: %v)",
			n.Addr, n.Shard, reported, listed)
	}
	// Draining takes effect at once.
	if listed && reported.Health == endpoint.Draining && reported.Shard == n.Shard {
		m.fail(t, "%s is reported as draining but listed as ready", n.Addr)
	}
}

// checkMembers checks the states of nodes, and that a shard with a ready node is served unless that node is damped,
// held down or being removed.
func (m *model) checkMembers(t *rapid.T, shards map[int]string) {
	t.Helper()
	for _, member := range m.tracker.Members() {
		reported, listed := m.reported(member.Addr)
		excused := member.State == Damped || member.State == Removing || member.State == HeldDown
		if listed && reported.Health == endpoint.Ready && shards[reported.Shard] == "" && !excused {
			m.fail(t, "no node serves shard %d although %s is reported ready; its state is %v",
				reported.Shard, member.Addr, member.State)
		}
		graceEnd := member.Since + m.settings.RemovalGrace
		if member.State == Removing && m.now > graceEnd && member.reported.Shard == member.shard {
			m.fail(t, "%s has been in state Removing for %d ms, longer than RemovalGrace",
				member.Addr, (m.now-member.Since)/1e6)
		}
		if member.State == Serving && shards[member.shard] != member.Addr {
			m.fail(t, "%s is in state Serving but not listed as ready", member.Addr)
		}
	}
	for addr := range m.startedAt { // a forgotten node may return with any start time
		if m.tracker.members[addr] == nil {
			delete(m.startedAt, addr)
		}
	}
}

// baseSeed returns the value of IRISPOST_SEED, or 0 if it is not set. Runs with the same value draw the same events.
func baseSeed(t *testing.T) int {
	t.Helper()
	text := os.Getenv("IRISPOST_SEED")
	if text == "" {
		return 0
	}
	seed, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// TestModel applies at least 100,000 random events to two sources and checks the invariants after each one.
func TestModel(t *testing.T) {
	steps, base := 0, baseSeed(t)
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	for run := 1; steps < 100_000; run++ { // seeds depend only on IRISPOST_SEED; -rapid.seed is overridden
		if err := flag.Set("rapid.seed", strconv.Itoa(1000*base+run)); err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(t *rapid.T) {
			settings := DefaultSettings
			settings.MaxLossRatio = rapid.SampledFrom([]float64{0, 0.3, 0.5, 1}).Draw(t, "max loss ratio")
			settings.MaxFlaps = rapid.IntRange(0, 5).Draw(t, "max flaps")
			m := &model{harness: *newHarness(t, settings, "hand", "plane"), settings: settings, startedAt: map[string]Time{}}
			n := rapid.IntRange(50, 400).Draw(t, "steps")
			for range n {
				m.step(t)
			}
			steps += n
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d steps", steps)
}
