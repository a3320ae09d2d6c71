package adapter_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/adapter"
	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/platform"
	"irispost/internal/testkit"
	"irispost/scheduler"
)

// trace writes down what a module is told and what it decides, in words that both sides share.
type trace struct{ lines []string }

func (t *trace) add(now scheduler.Time, format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf("%d ", now)+fmt.Sprintf(format, args...))
}

func (t *trace) Start(now scheduler.Time, seed uint64, terms scheduler.Settings) {
	t.add(now, "start %d %v", seed, terms)
}

func (t *trace) EndpointList(now scheduler.Time, l endpoint.List) { t.EndpointUpdate(now, l, true) }

func (t *trace) EndpointUpdate(now scheduler.Time, l endpoint.List, whole bool) {
	s := fmt.Sprintf("list whole=%t stale=%t", whole, l.Stale)
	for _, n := range l.Nodes {
		s += fmt.Sprintf(" %s/%s/%d/%d/%d", n.Addr, n.Zone, n.Shard, n.StartedAt, n.Health)
	}
	t.add(now, "%s", s)
}

func (t *trace) EndpointListFailed(now scheduler.Time, silent bool) {
	t.add(now, "list failed %t", silent)
}

func (t *trace) SettingsChanged(now scheduler.Time, terms scheduler.Settings) {
	t.add(now, "agreed %v", terms)
}

func (t *trace) Allocated(now scheduler.Time, addr string, born scheduler.Time, units float64, till scheduler.Time) {
	t.add(now, "lent %s of %d %v till %d", addr, born, units, till)
}

func (t *trace) Submitted(now scheduler.Time, j *scheduler.Request, volume int64, plan, product string, hosts float64, keyed bool) {
	t.add(now, "take %s units=%v shard=%d key=%d write=%t stop=%d volume=%d %s %s %v %t", j.ID, j.Units, j.Shard, j.Key, j.Write, j.Deadline,
		volume, plan, product, hosts, keyed)
}

func (t *trace) StreamStarted(now scheduler.Time, job string, number int) {
	t.add(now, "begun %s %d", job, number)
}

func (t *trace) AttemptEnded(now scheduler.Time, job string, number int, o scheduler.Outcome, took scheduler.Time, final bool, others float64, _ int,
	_ scheduler.Time) {
	t.add(now, "ended %s %d outcome=%d took=%d final=%t others=%v", job, number, o, took, final, others)
}

func (t *trace) ClientCancelled(now scheduler.Time, job string) { t.add(now, "left %s", job) }

// Decided leaves out decisions to do nothing: the gateway's loop looks more often than the bench asks.
func (t *trace) Decided(now scheduler.Time, d *scheduler.Decision) {
	for _, j := range d.Finished {
		t.add(now, "end %s state=%d wait=%d", j.ID, j.State, j.RetryAfter)
	}
	for _, e := range d.Cancel {
		t.add(now, "call off %s %d", e.Request.ID, e.Number)
	}
	for _, e := range d.Dispatch {
		t.add(now, "send %s %d to %s limit=%d", e.Request.ID, e.Number, e.Node.Addr, e.Timeout)
	}
	if d.WatchEndpoints {
		t.add(now, "watch")
	}
	for _, line := range d.Log {
		t.add(now, "log %s", line)
	}
}

func (t *trace) Snapshot(scheduler.Time, *scheduler.Scheduler) {}
func (t *trace) NeedsSnapshot() bool                           { return false }

// clock stands still until it is set.
type clock struct{ now atomic.Int64 }

func (c *clock) Now() scheduler.Time { return c.now.Load() }

// nodes hold what is sent until the story ends it.
type nodes struct {
	lock sync.Mutex
	out  []*sent
}

type sent struct {
	nodes  *nodes
	call   node.Call
	addr   string
	at     scheduler.Time
	done   func(node.Reply)
	called bool
	over   bool
}

func (n *nodes) Start(addr string, c *node.Call, done func(node.Reply)) node.Attempt {
	n.lock.Lock()
	defer n.lock.Unlock()
	s := &sent{nodes: n, call: *c, addr: addr, done: done}
	n.out = append(n.out, s)
	return s
}

func (s *sent) Cancel() {
	s.nodes.lock.Lock()
	defer s.nodes.lock.Unlock()
	s.called = true
}

func (n *nodes) Retain(map[string]bool)        {}
func (n *nodes) AbortQueued(func(string) bool) {}
func (n *nodes) LateReplies() int64            { return 0 }

// waiting lists the executions that are out.
func (n *nodes) waiting() (list []*sent) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, s := range n.out {
		if !s.over && !s.called {
			list = append(list, s)
		}
	}
	return list
}

const (
	nested = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"4d","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"balancers":2,"discovery":"ask","resolution_ms":2.0,"azs":["zvolen"],"contract":{"ask_every_ms":10000.0,"cold_from":0.2,
		"cold_ms":6000.0,"fall_multiple":2.0,"overload_for_ms":1500.0,"drain_grace_ms":2000.0},"contracts":[{"name":"basic","proportion":1.0,
		"base_rate":40.0,"floor_rate":20.0},{"name":"gold","proportion":3.0,"base_rate":80.0,"floor_rate":60.0}],"domain":{"unit_mean":2.0,
		"largest":8,"young_limit":5.0,"tells_elsewhere":true,"writes":[false,true]},"lanes":[{"name":"read","effect":"read_like","group":"all",
		"target_ms":300.0,"hard_limit_ms":900.0,"credit":3.0},{"name":"write","effect":"idempotency_key","group":"cell","target_ms":300.0,
		"hard_limit_ms":900.0,"repeat_window_ms":5000.0}],"permissions":{"attempts_cap":3,"cancelling":true,"second_copies":true,
		"retry_after":true,"max_retry_after_ms":1000.0,"dial_timeout_ms":250.0,"idle_close_ms":30000.0}}}`
	pairs = "balancers=2|discovery=ask|resolution_ms=2.0|azs=zvolen|contract.ask_every_ms=10000.0|contract.cold_from=0.2|" +
		"contract.cold_ms=6000.0|contract.fall_multiple=2.0|contract.overload_for_ms=1500.0|contract.drain_grace_ms=2000.0|" +
		"contracts.count=2|contracts.0.name=basic|contracts.0.proportion=1.0|contracts.0.base_rate=40.0|contracts.0.floor_rate=20.0|" +
		"contracts.1.name=gold|contracts.1.proportion=3.0|contracts.1.base_rate=80.0|contracts.1.floor_rate=60.0|domain.unit_mean=2.0|" +
		"domain.largest=8|domain.young_limit=5.0|domain.tells_elsewhere=true|domain.writes=false,true|lanes.count=2|lanes.0.name=read|" +
		"lanes.0.effect=read_like|lanes.0.group=all|lanes.0.target_ms=300.0|lanes.0.hard_limit_ms=900.0|lanes.0.credit=3.0|" +
		"lanes.1.name=write|lanes.1.effect=idempotency_key|lanes.1.group=cell|lanes.1.target_ms=300.0|lanes.1.hard_limit_ms=900.0|" +
		"lanes.1.repeat_window_ms=5000.0|permissions.attempts_cap=3|permissions.cancelling=true|permissions.second_copies=true|" +
		"permissions.retry_after=true|permissions.max_retry_after_ms=1000.0|permissions.dial_timeout_ms=250.0|permissions.idle_close_ms=30000.0"
)

// variants are what may differ in other terms: as the platform writes it, and as the wire does.
var variants = [][4]string{
	{`"base_rate":40.0`, `"base_rate":10.0`, "base_rate=40.0", "base_rate=10.0"},
	{`"name":"read","effect":"read_like"`, `"name":"read","effect":"non_idempotent"`, "lanes.0.effect=read_like", "lanes.0.effect=non_idempotent"},
	{`"group":"cell"`, `"group":"zone"`, "lanes.1.group=cell", "lanes.1.group=zone"},
	{`"name":"basic"`, `"name":"silver"`, "contracts.0.name=basic", "contracts.0.name=silver"},
	{`"name":"read"`, `"name":"fetch"`, "lanes.0.name=read", "lanes.0.name=fetch"},
	{`"target_ms":300.0`, `"target_ms":200.0`, "target_ms=300.0", "target_ms=200.0"},
	{`"name":"gold",`, `"name":"gold","never_over":4.0,"burst":9.0,`, "contracts.1.name=gold|", "contracts.1.name=gold|contracts.1.never_over=4.0|contracts.1.burst=9.0|"},
}

// changes are what the loop is to act on next.
type changes struct {
	next atomic.Pointer[gateway.ActiveConfig]
}

func (c *changes) At(scheduler.Time) (*gateway.ActiveConfig, scheduler.Time) {
	return c.next.Swap(nil), 0
}

// change has both act on other terms, and on a list with them.
func (s *story) change() {
	ours, wires := nested, pairs
	for i, v := range variants {
		if rapid.Bool().Draw(s.t, fmt.Sprint("variant ", i)) {
			ours, wires = strings.ReplaceAll(ours, v[0], v[1]), strings.ReplaceAll(wires, v[2], v[3])
		}
	}
	conf, err := platform.Parse([]byte(ours), func(string) string { return "" })
	if err != nil {
		s.t.Fatal(err)
	}
	l, text := s.draw(true)
	s.changes.next.Store(&gateway.ActiveConfig{List: l, Settings: conf.Settings})
	agreed := ""
	if wires != s.acts { // what has not changed is not told
		agreed, s.acts = "AGREED|3|"+wires+"\n", wires
	}
	s.loop.Wake()
	for s.changes.next.Load() != nil {
		s.loop.Stats() // a turn
	}
	s.say("%sBACKENDS_CHANGED|3|replace|2|%d%s", agreed, len(l.Nodes), text)
}

// lend lends something for a node, of the start that was told or of another.
func (s *story) lend() {
	addr := fmt.Sprintf("10.0.0.%d:5", rapid.IntRange(0, 4).Draw(s.t, "node"))
	born := rapid.SampledFrom([]scheduler.Time{s.born[addr], s.clock.Now()}).Draw(s.t, "start")
	units, till := float64(rapid.IntRange(0, 20).Draw(s.t, "units")), s.clock.Now()+1e6*scheduler.Time(rapid.IntRange(0, 400).Draw(s.t, "till"))
	s.loop.Allocate(addr, born, units, till)
	s.say("LENT|3|%s|%s|%v|%s", addr, at(born), units, at(till))
}

// story is told to a gateway's loop as it happens, and written down as the bench would tell it.
type story struct {
	t     *rapid.T
	clock *clock
	nodes *nodes
	loop  *gateway.Loop
	wire  bytes.Buffer
	jobs  map[string]*asked         // by the name that the loop gives them
	born  map[string]scheduler.Time // as was told last
	acts  string                    // the terms that both act on, as the wire has them
	changes
	count int
}

type asked struct {
	session *gateway.Session
	result  <-chan gateway.Result
	stop    scheduler.Time
	over    bool
}

// at writes a time as the wire has it.
func at(t scheduler.Time) string { return fmt.Sprintf("%d.%06d", t/1e6, t%1e6) }

// looks is how often both modules are asked at one moment. The loop looks more often than the bench would ask, and what a look finds
// can hang on what the one before it did; after so many, nothing more follows.
const looks = 5

// say writes a batch of one event, and waits until the loop has decided on what it was told.
func (s *story) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if line != "" {
		line += "\n"
	}
	fmt.Fprintf(&s.wire, "MARK|%s\n%sEOF_BATCH\n", at(s.clock.Now()), line)
	for range looks { // an answer comes after the turn in which the one before was given
		fmt.Fprintf(&s.wire, "MARK|%s\nRING|3|1\nEOF_BATCH\n", at(s.clock.Now()))
		if _, ok := s.loop.Stats(); !ok {
			s.t.Fatal("the loop has ended")
		}
	}
	s.nodes.lock.Lock()
	defer s.nodes.lock.Unlock()
	for _, e := range s.nodes.out {
		if e.at == 0 {
			e.at = s.clock.Now()
		}
	}
	for _, e := range s.nodes.out { // the bench tells of what was called off; the loop knows
		if e.called && !e.over {
			e.over = true
			fmt.Fprintf(&s.wire, "MARK|%s\nANSWER|3|%s|%d|%s|6|%s|1|-|-|-\nEOF_BATCH\n", at(s.clock.Now()), e.call.RequestID, e.call.Attempt, e.addr,
				at(s.clock.Now()-e.at))
		}
	}
	for range looks {
		fmt.Fprintf(&s.wire, "MARK|%s\nRING|3|1\nEOF_BATCH\n", at(s.clock.Now()))
	}
}

func (s *story) take() {
	s.count++
	session := gateway.NewSession(fmt.Sprintf("n1/%d", s.count))
	w := &gateway.RequestSpec{Volume: &gateway.Volume{ID: int64(rapid.IntRange(1, 4).Draw(s.t, "volume")), ServiceLevel: rapid.SampledFrom([]string{"basic", "gold"}).Draw(s.t, "plan"),
		Gateways: 2}, Class: rapid.SampledFrom([]string{"read", "write"}).Draw(s.t, "product"), Units: float64(rapid.IntRange(1, 8).Draw(s.t, "units")),
		Key: int64(rapid.IntRange(1, 9).Draw(s.t, "key")), HasKey: true, Deadline: s.clock.Now() + 1e6*scheduler.Time(rapid.IntRange(1, 900).Draw(s.t, "left")),
		Call: node.Call{Op: node.GetObject, Shard: rapid.IntRange(-1, 3).Draw(s.t, "shard")}}
	write := 0
	if w.Class == "write" {
		w.Call.Op, write = node.PutObject, 1
	}
	name := fmt.Sprintf("n1/%d:0#%d", s.count, s.count)
	s.jobs[name] = &asked{session: session, stop: w.Deadline}
	s.jobs[name].result = s.loop.Submit(session, w)
	s.say("REQ|3|%s|0|2|%d|%v|%d|%s|%s|%d|%s|%d", name, w.Volume.ID, w.Units, write, w.Volume.ServiceLevel, at(w.Deadline), w.Key, w.Class, w.Call.Shard)
}

// settle notes which jobs have had their result.
func (s *story) settle() {
	for _, j := range s.jobs {
		select {
		case <-j.result:
			j.over = true
		default:
		}
	}
}

func (s *story) answer() {
	list := s.nodes.waiting()
	if len(list) == 0 {
		return
	}
	e := rapid.SampledFrom(list).Draw(s.t, "execution")
	o := rapid.SampledFrom([]node.Outcome{node.Executed, node.Executed, node.Executed, node.Failed, node.QueueFull, node.WrongShard, node.ConnectFailed, node.ConnectionReset}).Draw(s.t, "outcome")
	code := map[node.Outcome]int{node.Executed: 1, node.Failed: 0, node.QueueFull: 2, node.ConnectFailed: 4, node.ConnectionReset: 5, node.WrongShard: 7}[o]
	others := 0
	if o == node.Executed {
		others = rapid.IntRange(0, 3).Draw(s.t, "others")
	}
	s.settle()
	final := 0
	if s.jobs[e.call.RequestID].over || o == node.Executed {
		final = 1
	}
	e.over = true
	e.done(node.Reply{Outcome: o, UnitsElsewhere: float64(others)})
	s.say("ANSWER|3|%s|%d|%s|%d|%s|%d|0|%d|-", e.call.RequestID, e.call.Attempt, e.addr, code, at(s.clock.Now()-e.at), final, others)
}

func (s *story) leave() {
	s.settle()
	var names []string
	for name, j := range s.jobs {
		if !j.over && j.stop > s.clock.Now() {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	name := rapid.SampledFrom(names).Draw(s.t, "job")
	s.jobs[name].over = true
	s.loop.CloseSession(s.jobs[name].session)
	s.say("WITHDRAWN|3|%s", name)
}

func (s *story) list() {
	whole := rapid.Bool().Draw(s.t, "whole")
	l, text := s.draw(whole)
	s.loop.UpdateEndpoints(l)
	s.say("BACKENDS_CHANGED|3|%s|2|%d%s", map[bool]string{true: "replace", false: "update"}[whole], len(l.Nodes), text)
}

// draw makes a list, and its entries on the wire.
func (s *story) draw(whole bool) (l endpoint.List, text string) {
	l.Partial = !whole
	for i := range rapid.IntRange(0, 4).Draw(s.t, "nodes") {
		n := endpoint.Node{Addr: fmt.Sprintf("10.0.0.%d:5", i), Zone: "z", Shard: i, Health: endpoint.Health(rapid.IntRange(0, 2).Draw(s.t, "standing"))}
		if rapid.Bool().Draw(s.t, "new") {
			n.StartedAt = s.clock.Now()
			s.born[n.Addr] = n.StartedAt
		}
		l.Nodes = append(l.Nodes, n)
		text += fmt.Sprintf("\nENTRY|1|k|z|%s|%s|%d|%s", n.Addr, at(n.StartedAt), i, []string{"ready", "draining", "gone"}[n.Health])
	}
	return l, text
}

// pass lets time go by, up to the next client's end at most: what is out then has timed out, which the bench tells of and the loop
// sees by itself.
func (s *story) pass() {
	s.settle()
	now := s.clock.Now() + 1e3*scheduler.Time(rapid.IntRange(1, 200_000).Draw(s.t, "microseconds"))
	for _, e := range s.nodes.waiting() {
		now = min(now, s.jobs[e.call.RequestID].stop)
	}
	s.clock.now.Store(now)
	text := []string{}
	for _, e := range s.nodes.waiting() {
		if s.jobs[e.call.RequestID].stop == now {
			final := 0
			if s.jobs[e.call.RequestID].over {
				final = 1
			}
			text = append(text, fmt.Sprintf("ANSWER|3|%s|%d|%s|3|%s|%d|-|-|-", e.call.RequestID, e.call.Attempt, e.addr, at(now-e.at), final))
			e.over = true
		}
	}
	slices.Sort(text) // as the loop orders what is due at one moment
	s.say("%s", strings.Join(text, "\n"))
}

// TestOneStoryToBoth tells a story to the gateway's loop, and to the adapter as the bench would put it. Both modules have to be told
// the same, and so decide the same.
func TestOneStoryToBoth(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		conf, err := platform.Parse([]byte(nested), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		s := &story{t: t, clock: &clock{}, nodes: &nodes{}, jobs: map[string]*asked{}, acts: pairs, born: map[string]scheduler.Time{}}
		s.clock.now.Store(1_790_000_000_000_000_000)
		known := endpoint.List{Stale: true}
		for i := range 3 {
			known.Nodes = append(known.Nodes, endpoint.Node{Addr: fmt.Sprintf("10.0.0.%d:5", i), Zone: "z", Shard: i})
		}
		fmt.Fprintf(&s.wire, "MARK|%s\nINIT|3|%d|%s\nBACKENDS_CHANGED|3|restored|1|3\n", at(s.clock.Now()), conf.Seed, pairs)
		for i := range 3 {
			fmt.Fprintf(&s.wire, "ENTRY|1|k|z|10.0.0.%d:5|-|%d|ready\n", i, i)
		}
		s.wire.WriteString("EOF_BATCH\n")
		live := &trace{}
		s.loop = gateway.Start(gateway.Options{Name: "n1", Seed: conf.Seed, Settings: conf.Settings, QueueSize: 16, Clock: s.clock, Nodes: s.nodes, CachedList: &known,
			Watch: func() {}, Config: &s.changes, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Tap: live})
		defer s.loop.Stop()
		s.say("")
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				s.take()
			case 3, 4, 5:
				s.answer()
			case 6:
				s.leave()
			case 7:
				s.list()
			case 8:
				s.loop.EndpointListFailed(false) // the bench always says a word
				s.say("BACKENDS_CHANGED|3|unavailable|0|0")
			case 10:
				s.change()
			case 11:
				s.lend()
			default:
				s.pass()
			}
		}
		s.loop.Stop()
		told := &trace{}
		in := strings.ReplaceAll(s.wire.String(), "|", "\t")
		if err := adapter.Run(strings.NewReader(in), io.Discard, func(int64) adapter.Tap { return told }); err != nil {
			t.Fatal(err)
		}
		for i := range min(len(live.lines), len(told.lines)) {
			if live.lines[i] != told.lines[i] {
				t.Fatalf("line %d:\ngateway %s\nadapter %s", i, live.lines[i], told.lines[i])
			}
		}
		if len(live.lines) != len(told.lines) {
			t.Fatalf("%d lines of the gateway, %d of the adapter; then\ngateway %q\nadapter %q", len(live.lines), len(told.lines),
				live.lines[min(len(live.lines), len(told.lines)):], told.lines[min(len(live.lines), len(told.lines)):])
		}
	})
}
