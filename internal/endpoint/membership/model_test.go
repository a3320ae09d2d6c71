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

// model is two sources with cuts, and what has to hold whatever they say.
type model struct {
	world
	terms Settings
	born  map[string]Time // as told last
}

// step is one thing that happens.
func (m *model) step(t *rapid.T) {
	s := rapid.IntRange(0, 1).Draw(t, "source")
	src := m.f.Sources()[s]
	switch rapid.SampledFrom([]string{"say", "say", "say", "again", "refuse", "cut", "up", "pass", "pass", "confirm"}).Draw(t, "what") {
	case "say":
		m.list(t, s, rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "version"))
	case "again":
		if src.NodeCount() > 0 {
			src.Receive(m.now, endpoint.List{Version: src.Version(), Nodes: src.said})
		}
	case "refuse":
		before := src.Version()
		src.Reject(m.now, "wrong")
		if src.Version() != before {
			t.Fatalf("a refused update changes the version from %q to %q", before, src.Version())
		}
	case "cut":
		src.LinkDown(m.now, "cut")
	case "up":
		src.LinkUp(m.now)
	case "pass":
		m.pass(t, Time(rapid.SampledFrom([]int64{1, 1e6, 5e8, 2e9, 3e9, 10e9, 30e9, 61e9}).Draw(t, "span")))
	case "confirm":
		m.f.Confirm()
	}
	m.decide()
	m.check(t)
}

func (m *model) pass(t *rapid.T, d Time) {
	end := m.now + d
	for n := 0; m.told.NextAt > 0 && m.told.NextAt <= end; n++ {
		if m.told.NextAt < m.now || n > 1000 {
			t.Fatalf("the wake at %d does not move on from %d", m.told.NextAt, m.now)
		}
		m.now = max(m.now+1, m.told.NextAt)
		m.decide()
		m.check(t)
	}
	m.now = max(end, m.now)
}

// list has a source say a list: the present one with a few changes, as they come, or a wholly other one.
func (m *model) list(t *rapid.T, s int, version string) {
	next := map[string]endpoint.Node{}
	if !rapid.Bool().Draw(t, "anew") {
		for _, n := range m.f.Sources()[s].said {
			next[n.Addr] = n
		}
	}
	for range rapid.IntRange(0, 4).Draw(t, "changes") {
		addr := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "addr")
		if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
			delete(next, addr)
			continue
		}
		next[addr] = endpoint.Node{Addr: addr, Shard: rapid.IntRange(0, 3).Draw(t, "shard"),
			StartedAt: rapid.SampledFrom([]Time{0, 0, 5, 7 * sec, m.now}).Draw(t, "born"),
			Health:    endpoint.Health(rapid.IntRange(0, 3).Draw(t, "standing")), Priority: rapid.IntRange(0, 1).Draw(t, "priority")}
	}
	l := endpoint.List{Version: version}
	for _, n := range next {
		l.Nodes = append(l.Nodes, n)
	}
	slices.SortFunc(l.Nodes, func(a, b endpoint.Node) int { return int(a.Addr[0]) - int(b.Addr[0]) })
	m.f.Sources()[s].Receive(m.now, l)
}

// counts is what the source that counts says of an address; false: none has it.
func (m *model) counts(addr string) (endpoint.Node, bool) {
	for _, s := range m.f.Sources() {
		for _, n := range s.said {
			if n.Addr == addr {
				return n, n.Health != endpoint.Removed
			}
		}
	}
	return endpoint.Node{}, false
}

// check checks what has to hold after each step.
func (m *model) check(t *rapid.T) {
	bad := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("%s\ntold %q\n%v", fmt.Sprintf(format, args...), m.tells(), m.logs[max(0, len(m.logs)-30):])
	}
	shards := map[int]string{}
	ready := map[string]bool{}
	for _, n := range m.told.List.Nodes {
		// A node's time never goes back, so that the module never takes an old start for a new one.
		if n.StartedAt < m.born[n.Addr] || n.StartedAt < 0 {
			bad("%s started at %d, now at %d", n.Addr, m.born[n.Addr], n.StartedAt)
		}
		m.born[n.Addr] = n.StartedAt
		if n.Health != endpoint.Ready {
			continue
		}
		// One node serves a shard.
		if other := shards[n.Shard]; other != "" {
			bad("%s and %s both serve shard %d", other, n.Addr, n.Shard)
		}
		shards[n.Shard] = n.Addr
		ready[n.Addr] = true
		// What is told ready is said to be so for that shard, or its loss is held.
		said, listed := m.counts(n.Addr)
		if m.state(n.Addr) == HeldDown {
			if m.f.hold == nil {
				bad("%s is kept, and nothing is held", n.Addr)
			}
		} else if !listed || said.Health != endpoint.Ready || said.Shard != n.Shard {
			bad("%s is told ready for shard %d, said is %+v, %v", n.Addr, n.Shard, said, listed)
		}
		// A drain is kept at once.
		if listed && said.Health == endpoint.Draining && said.Shard == n.Shard {
			bad("%s is draining and told ready", n.Addr)
		}
	}
	// A shard that somebody could serve is served, but for the rest of one that flaps and the grace of an address.
	for _, mem := range m.f.Members() {
		if said, listed := m.counts(mem.Addr); listed && said.Health == endpoint.Ready && shards[said.Shard] == "" &&
			mem.State != Damped && mem.State != Removing && mem.State != HeldDown {
			bad("shard %d is not served, %s is %v", said.Shard, mem.Addr, mem.State)
		}
		if mem.State == Removing && m.now > mem.Since+m.terms.RemovalGrace && mem.said.Shard == mem.shard {
			bad("%s leaves for %d ms", mem.Addr, (m.now-mem.Since)/1e6)
		}
		if mem.State == Serving && !ready[mem.Addr] {
			bad("%s serves and is not told", mem.Addr)
		}
	}
	for _, s := range m.f.Sources() {
		if s.State == Disconnected && m.now > s.Since+m.terms.StaleAfter {
			bad("source %s is cut for long and not silent", s.Name)
		}
	}
	for addr := range m.born { // what is forgotten may come back as anything; the module takes no earlier start from it
		if m.f.members[addr] == nil {
			delete(m.born, addr)
		}
	}
	// The same again changes nothing.
	if again := m.f.Reconcile(m.now); again.Changed || len(again.Log) > 0 {
		bad("asked again at the same time, it differs: %v", again.Log)
	}
}

// TestModel drives two sources with cuts at random, with all rules checked after each step: at least 100,000 steps.
func TestModel(t *testing.T) {
	steps := 0
	flag.Set("rapid.nofailfile", "true")
	for run := 1; steps < 100_000; run++ { // the same seeds each time; -rapid.seed is not heeded, IRISPOST_SEED is
		seed, _ := strconv.Atoi(os.Getenv("IRISPOST_SEED"))
		if err := flag.Set("rapid.seed", strconv.Itoa(1000*seed+run)); err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(t *rapid.T) {
			terms := DefaultSettings
			terms.MaxLossRatio = rapid.SampledFrom([]float64{0, 0.3, 0.5, 1}).Draw(t, "shrink")
			terms.MaxFlaps = rapid.IntRange(0, 5).Draw(t, "flaps")
			m := &model{world: *newWorld(terms, "hand", "plane"), terms: terms, born: map[string]Time{}}
			m.t = t
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
