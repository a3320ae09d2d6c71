package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"irispost/internal/endpoint"
)

const sec = Time(1e9)

// world runs a fleet as the gateway does: Decide after each thing that happens, and at each wake.
type world struct {
	t interface {
		Helper()
		Errorf(string, ...any)
		Fatalf(string, ...any)
	}
	f    *Tracker
	now  Time
	told Update
	logs []string
}

func newWorld(terms Settings, names ...string) *world {
	w := &world{f: New(terms, names...), now: 1000 * sec}
	for _, s := range w.f.Sources() {
		s.LinkUp(w.now)
	}
	return w
}

func (w *world) decide() {
	w.told = w.f.Reconcile(w.now)
	w.logs = append(w.logs, w.told.Log...)
}

// pass lets time go by, with every wake at its time.
func (w *world) pass(d Time) {
	end := w.now + d
	for w.told.NextAt > 0 && w.told.NextAt <= end {
		if w.told.NextAt < w.now {
			w.t.Fatalf("the wake at %d is %d ns ago", w.told.NextAt, w.now-w.told.NextAt)
		}
		if w.now == w.told.NextAt {
			w.now++ // a wake that does not move on is found by the limit of the test's time
		}
		w.now = max(w.now, w.told.NextAt)
		w.decide()
	}
	w.now = end
	w.decide()
}

func (w *world) say(source int, version, nodes string) {
	w.f.Sources()[source].Receive(w.now, endpoint.List{Version: version, Nodes: parse(nodes)})
	w.decide()
}

// parse reads nodes such as "a:0 b:1/draining c:1@5s!1": address, shard, standing, born, priority.
func parse(text string) (list []endpoint.Node) {
	for _, word := range strings.Fields(text) {
		var n endpoint.Node
		word, prio, _ := strings.Cut(word, "!")
		fmt.Sscan(prio, &n.Priority)
		word, born, _ := strings.Cut(word, "@")
		fmt.Sscan(born, &n.StartedAt)
		n.StartedAt *= sec
		word, standing, _ := strings.Cut(word, "/")
		n.Health = map[string]endpoint.Health{"": endpoint.Ready, "draining": endpoint.Draining, "gone": endpoint.Removed,
			"unwell": endpoint.Unhealthy}[standing]
		addr, shard, _ := strings.Cut(word, ":")
		fmt.Sscan(shard, &n.Shard)
		n.Addr = addr
		list = append(list, n)
	}
	return list
}

// tells gives what the module was told, as parse reads it, with born times that were not said as ~.
func (w *world) tells() string {
	var out []string
	for _, n := range w.told.List.Nodes {
		word := fmt.Sprintf("%s:%d", n.Addr, n.Shard)
		if n.Health == endpoint.Draining {
			word += "/draining"
		}
		if n.StartedAt > 0 {
			word += fmt.Sprintf("@%d", n.StartedAt/sec)
		}
		out = append(out, word)
	}
	return strings.Join(out, " ")
}

func (w *world) want(what, tells string) {
	w.t.Helper()
	if got := w.tells(); got != tells {
		w.t.Errorf("%s: the module is told %q, not %q\n%s", what, got, tells, strings.Join(w.logs, "\n"))
	}
}

func (w *world) state(addr string) State {
	if m := w.f.members[addr]; m != nil {
		return m.State
	}
	return Absent
}

// The plain life of nodes: listed, drained, back, gone at once, and known for the grace.
func TestPlainLife(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.say(0, "1", "a:0 b:1 c:2")
	w.want("first", "a:0 b:1 c:2")
	w.say(0, "2", "a:0/draining b:1 c:2")
	w.want("drain", "a:0/draining b:1 c:2")
	w.say(0, "3", "a:0 b:1 c:2")
	w.want("drain undone", "a:0 b:1 c:2")
	w.say(0, "4", "b:1 c:2")
	w.want("removed", "b:1 c:2")
	if w.state("a") != Removing {
		t.Errorf("a is %v", w.state("a"))
	}
	w.pass(sec)
	w.say(0, "5", "a:0 b:1 c:2")
	w.want("back within the grace, it is what it was", "a:0 b:1 c:2")
	w.say(0, "6", "b:1 c:2")
	w.pass(3 * sec)
	if w.state("a") != Absent {
		t.Errorf("a is %v", w.state("a"))
	}
	w.say(0, "7", "a:0 b:1 c:2")
	w.want("back later, it counts as started now", fmt.Sprintf("a:0@%d b:1 c:2", w.now/sec))
	w.say(0, "8", "a:0/gone b:1 c:2 d:3@7")
	w.want("gone by word; a new one with its time", "b:1 c:2 d:3@7")
	w.say(0, "9", "b:1 c:2 d:3@7 e:4")
	w.want("a new one without its time", fmt.Sprintf("b:1 c:2 d:3@7 e:4@%d", w.now/sec))
}

// A replacement: the one that started later serves, whatever the order of words; the old one gets no more.
func TestReplacement(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.say(0, "1", "old:0 b:1")
	w.say(0, "2", "old:0 b:1 next:0@900")
	w.want("both answer", "b:1 next:0@900 old:0/draining")
	w.say(0, "3", "b:1 next:0@900")
	w.want("the old one goes", "b:1 next:0@900")
	w.say(0, "4", "b:1")
	w.say(0, "5", "b:1 next:0@900")
	w.want("its time never goes back", "b:1 next:0@900")
}

// Two nodes claim one shard and nobody says which is newer: the one in force stays until it goes.
func TestTwoClaimOneShard(t *testing.T) {
	w := newWorld(DefaultSettings, "own", "other")
	w.t = t
	w.say(0, "1", "b:0@5")
	w.say(1, "1", "a:0@5 c:1")
	w.want("the one in force stays", "b:0@5 c:1")
	if w.state("a") != Standby {
		t.Errorf("a is %v", w.state("a"))
	}
	w.say(0, "2", "b:0/draining@5")
	w.want("its claim ends with a drain", "a:0@5 b:0/draining@5 c:1")
	w.say(0, "3", "b:0@5!0")
	w.say(1, "2", "a:0@5!1 c:1")
	w.want("priority goes before all", "a:0/draining@5 b:0@5 c:1")
}

// Two sources have one address: the first counts, also where it says gone; without it, the second does.
func TestPrecedence(t *testing.T) {
	w := newWorld(DefaultSettings, "hand", "plane")
	w.t = t
	w.say(1, "1", "a:0 b:1 c:2")
	w.say(0, "1", "a:0/draining b:1/gone")
	w.want("by hand", "a:0/draining c:2")
	w.say(0, "2", "")
	w.want("the hand lets go", "a:0 b:1 c:2")
}

// A list that shrinks by more than its share is held. What goes with a successor, or is drained, is not.
func TestShrinkIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		then func(w *world)
		want string
	}{
		"held":              {func(w *world) { w.pass(9 * sec) }, "a:0 b:1 c:2 d:3"},
		"stands for long":   {func(w *world) { w.pass(31 * sec) }, "a:0"},
		"confirmed":         {func(w *world) { w.f.Confirm(); w.decide() }, "a:0"},
		"said again":        {func(w *world) { w.pass(11 * sec); w.say(0, "3", "a:0") }, "a:0"},
		"said again early":  {func(w *world) { w.pass(sec); w.say(0, "3", "a:0"); w.pass(10 * sec) }, "a:0 b:1 c:2 d:3"},
		"back":              {func(w *world) { w.say(0, "3", "a:0 b:1 c:2 d:3"); w.pass(40 * sec) }, "a:0 b:1 c:2 d:3"},
		"source cut":        {func(w *world) { w.f.Sources()[0].LinkDown(w.now, "gone"); w.decide(); w.pass(300 * sec) }, "a:0 b:1 c:2 d:3"},
		"other source":      {func(w *world) { w.pass(11 * sec); w.say(1, "1", "x:9@1") }, "a:0 b:1 c:2 d:3 x:9@1"},
		"successors":        {func(w *world) { w.say(0, "3", "a:0 p:1@1 q:2@1 r:3@1") }, "a:0 p:1@1 q:2@1 r:3@1"},
		"drained":           {func(w *world) { w.say(0, "3", "a:0 b:1/draining c:2/draining d:3/draining") }, "a:0 b:1/draining c:2/draining d:3/draining"},
		"one comes, stands": {func(w *world) { w.say(0, "3", "a:0 b:1"); w.pass(31 * sec) }, "a:0 b:1"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(DefaultSettings, "own", "other")
			w.t = t
			w.say(0, "1", "a:0 b:1 c:2 d:3")
			w.say(0, "2", "a:0")
			w.want("at once", "a:0 b:1 c:2 d:3")
			c.then(w)
			w.want(name, c.want)
		})
	}
}

// A list of nothing is held until it is confirmed or said again, however long it stands; so are nodes that are all unwell.
func TestNothingLeft(t *testing.T) {
	w := newWorld(DefaultSettings, "own", "other")
	w.t = t
	w.say(0, "1", "a:0 b:1")
	w.say(0, "2", "")
	w.pass(1000 * sec)
	w.say(1, "1", "")
	w.want("nothing", "a:0 b:1")
	if _, count, all, held := w.f.HoldDown(); !held || !all || count != 2 {
		t.Errorf("held %v, all %v, %d nodes", held, all, count)
	}
	w.say(0, "3", "a:0/unwell b:1/unwell")
	w.want("said again, in other words", "")
	w.say(0, "4", "a:0 b:1")
	w.want("well again", "a:0 b:1")
	w.pass(20 * sec)
	w.say(0, "5", "a:0/unwell b:1/unwell")
	w.want("all unwell at once", "a:0 b:1")
	for range 10 {
		w.say(0, "5", "a:0 b:1")
		w.say(0, "5", "a:0/unwell b:1/unwell")
		w.want("flaps that are held are none", "a:0 b:1")
	}
	w.say(0, "5", "a:0 b:1")
	w.want("nor when they end", "a:0 b:1")
	w.say(0, "5", "a:0/unwell b:1/unwell")
	w.say(0, "6", "a:0/unwell b:1")
	w.want("one is well: the other one's loss is no mass loss any more", "a:0 b:1")
	w.f.Confirm()
	w.decide()
	w.want("confirmed", "b:1")
}

// Losses one by one within the hold's time count together.
func TestSlowShrink(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.say(0, "1", "a:0 b:1 c:2 d:3 e:4")
	w.say(0, "2", "b:1 c:2 d:3 e:4")
	w.pass(sec)
	w.say(0, "3", "c:2 d:3 e:4")
	w.want("two of five", "c:2 d:3 e:4")
	w.pass(sec)
	w.say(0, "4", "d:3 e:4")
	w.want("the third is held", "c:2 d:3 e:4")
	w.pass(60 * sec)
	w.say(0, "5", "d:3")
	w.want("later on it counts anew", "d:3")
}

// A node that flaps is believed at once a few times, then after a rest. What is worse is always believed at once.
func TestFlaps(t *testing.T) {
	terms := DefaultSettings
	terms.MaxLossRatio = 1
	w := newWorld(terms, "own")
	w.t = t
	w.say(0, "1", "a:0 b:1")
	for i := range terms.MaxFlaps {
		w.say(0, "u", "a:0/unwell b:1")
		w.want("unwell", "b:1")
		w.pass(sec)
		w.say(0, "w", "a:0 b:1")
		w.want(fmt.Sprint("ready ", i), "a:0 b:1")
		w.pass(sec)
	}
	w.say(0, "u", "a:0/unwell b:1")
	w.say(0, "w", "a:0 b:1")
	w.want("it is rested", "a:0/draining b:1")
	w.pass(terms.DampingTime - 1)
	w.want("still", "a:0/draining b:1")
	w.pass(1)
	w.want("believed", "a:0 b:1")
}

// An address that comes back as another shard: the old one's jobs get the grace, and it counts as started then.
func TestAddressTakesAnotherShard(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.say(0, "1", "a:0@5 b:1 c:2")
	w.say(0, "2", "a:7@5 b:1 c:2")
	w.want("it leaves first", "b:1 c:2")
	w.pass(sec)
	w.say(0, "2", "a:7@5 b:1 c:2/draining")
	w.say(0, "2", "a:7@5 b:1 c:2")
	w.want("still", "b:1 c:2")
	w.pass(sec)
	w.want("then it is another", fmt.Sprintf("a:7@%d b:1 c:2", w.now/sec))
	w.say(0, "3", "a:0@5 b:1 c:2")
	w.say(0, "4", "a:7@5 b:1 c:2")
	w.want("back within the grace it never was another", fmt.Sprintf("a:7@%d b:1 c:2", w.now/sec))
}

// A source that is cut stays in force, with its age told; after long its list counts as old.
func TestSilentSource(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	s := w.f.Sources()[0]
	w.say(0, "1", "a:0")
	s.LinkDown(w.now, "the stream broke")
	w.decide()
	w.pass(59 * sec)
	if w.want("cut", "a:0"); w.told.List.Stale || s.State != Disconnected {
		t.Errorf("%v, stale %v", s.State, w.told.List.Stale)
	}
	w.pass(sec)
	if w.want("silent", "a:0"); !w.told.List.Stale || s.State != Stale {
		t.Errorf("%v, stale %v", s.State, w.told.List.Stale)
	}
	s.LinkUp(w.now)
	w.decide()
	if w.want("back", "a:0"); w.told.List.Stale || s.State != Connected {
		t.Errorf("%v, stale %v", s.State, w.told.List.Stale)
	}
}

// A list kept from an earlier life is in force as old until the source speaks; what it does not know is not new then.
func TestKeptList(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.f = New(DefaultSettings, "own")
	w.f.Sources()[0].Receive(w.now, endpoint.List{Version: "1", Stale: true, Nodes: parse("a:0 b:1 c:2")})
	w.decide()
	if w.want("kept", "a:0 b:1 c:2"); !w.told.List.Stale {
		t.Error("not told as old")
	}
	w.f.Sources()[0].LinkUp(w.now)
	w.say(0, "4", "a:0 b:1 d:3")
	if w.want("spoken", "a:0 b:1 d:3"); w.told.List.Stale {
		t.Error("still told as old")
	}
}

// A version that was left already and comes back after a cut is held; within a link, or with other nodes, it counts.
func TestOldVersion(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	s := w.f.Sources()[0]
	cut := func() { s.LinkDown(w.now, "cut"); s.LinkUp(w.now); w.decide() }
	w.say(0, "1", "a:0 b:1 c:2")
	w.say(0, "2", "a:0 b:1/draining c:2")
	w.say(0, "1", "a:0 b:1 c:2")
	w.want("undone within the link", "a:0 b:1 c:2")
	w.say(0, "3", "a:0 b:1 c:2/draining")
	cut()
	w.say(0, "1", "a:0 b:1 c:2")
	if w.want("old after a cut", "a:0 b:1 c:2/draining"); s.HeldVersion() != "1" || s.Version() != "3" {
		t.Errorf("held %q, in force %q", s.HeldVersion(), s.Version())
	}
	w.say(0, "3", "a:0 b:1 c:2/draining")
	if w.want("it has caught up", "a:0 b:1 c:2/draining"); s.HeldVersion() != "" {
		t.Errorf("%q is still held", s.HeldVersion())
	}
	cut()
	w.say(0, "1", "a:0 b:1 c:2")
	s.LinkDown(w.now, "cut")
	w.pass(20 * sec)
	w.want("it is cut before it stands by it", "a:0 b:1 c:2/draining")
	s.LinkUp(w.now)
	w.say(0, "1", "a:0 b:1 c:2")
	w.pass(10 * sec)
	w.want("it stands by it", "a:0 b:1 c:2")
	cut()
	w.say(0, "3", "a:0 b:1 c:2/draining")
	w.f.Confirm()
	w.decide()
	w.want("confirmed", "a:0 b:1 c:2/draining")
	cut()
	w.say(0, "1", "a:0/draining b:1 c:2")
	w.want("versions begun anew", "a:0/draining b:1 c:2")
}

// A refused update changes nothing, and is told.
func TestRefused(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	s := w.f.Sources()[0]
	w.say(0, "1", "a:0")
	s.Reject(w.now, "port 0")
	w.decide()
	if w.want("refused", "a:0"); w.told.Changed || s.RejectReason != "port 0" || s.Rejections != 1 || s.RejectedAt != w.now {
		t.Errorf("changed %v, %+v", w.told.Changed, s)
	}
	if !slices.ContainsFunc(w.logs, func(l string) bool { return strings.Contains(l, "port 0") }) {
		t.Errorf("no line: %q", w.logs)
	}
}

// What has been gone for long is forgotten, and nothing is asked for any more.
func TestForgotten(t *testing.T) {
	w := newWorld(DefaultSettings, "own")
	w.t = t
	w.say(0, "1", "a:0 b:1 c:2")
	w.say(0, "2", "b:1 c:2")
	w.pass(DefaultSettings.ForgetAfter + 3*sec)
	if len(w.f.Members()) != 2 || w.told.NextAt != 0 {
		t.Errorf("%d members, wake %d", len(w.f.Members()), w.told.NextAt)
	}
}
