package adapter_test

import (
	"sync"
	"sync/atomic"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

const (
	// platformSettings are settings in the form of the platform's file, wireSettings the same settings in the form in
	// which the simulator sends them.
	platformSettings = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"4d",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"balancers":2,"discovery":"ask","resolution_ms":2.0,"azs":["zvolen"],"contract":{"ask_every_ms":10000.0,"cold_from":0.2,
		"cold_ms":6000.0,"fall_multiple":2.0,"overload_for_ms":1500.0,"drain_grace_ms":2000.0},"contracts":[{"name":"basic","proportion":1.0,
		"base_rate":40.0,"floor_rate":20.0},{"name":"gold","proportion":3.0,"base_rate":80.0,"floor_rate":60.0}],"domain":{"unit_mean":2.0,
		"largest":8,"young_limit":5.0,"tells_elsewhere":true,"writes":[false,true]},"lanes":[{"name":"read","effect":"read_like","group":"all",
		"target_ms":300.0,"hard_limit_ms":900.0,"credit":3.0},{"name":"write","effect":"idempotency_key","group":"cell","target_ms":300.0,
		"hard_limit_ms":900.0,"repeat_window_ms":5000.0}],"permissions":{"attempts_cap":3,"cancelling":true,"second_copies":true,
		"retry_after":true,"max_retry_after_ms":1000.0,"dial_timeout_ms":250.0,"idle_close_ms":30000.0}}}`
	wireSettings = "balancers=2|discovery=ask|resolution_ms=2.0|azs=zvolen|contract.ask_every_ms=10000.0|contract.cold_from=0.2|" +
		"contract.cold_ms=6000.0|contract.fall_multiple=2.0|contract.overload_for_ms=1500.0|contract.drain_grace_ms=2000.0|" +
		"contracts.count=2|contracts.0.name=basic|contracts.0.proportion=1.0|contracts.0.base_rate=40.0|contracts.0.floor_rate=20.0|" +
		"contracts.1.name=gold|contracts.1.proportion=3.0|contracts.1.base_rate=80.0|contracts.1.floor_rate=60.0|domain.unit_mean=2.0|" +
		"domain.largest=8|domain.young_limit=5.0|domain.tells_elsewhere=true|domain.writes=false,true|lanes.count=2|lanes.0.name=read|" +
		"lanes.0.effect=read_like|lanes.0.group=all|lanes.0.target_ms=300.0|lanes.0.hard_limit_ms=900.0|lanes.0.credit=3.0|" +
		"lanes.1.name=write|lanes.1.effect=idempotency_key|lanes.1.group=cell|lanes.1.target_ms=300.0|lanes.1.hard_limit_ms=900.0|" +
		"lanes.1.repeat_window_ms=5000.0|permissions.attempts_cap=3|permissions.cancelling=true|permissions.second_copies=true|" +
		"permissions.retry_after=true|permissions.max_retry_after_ms=1000.0|permissions.dial_timeout_ms=250.0|permissions.idle_close_ms=30000.0"
)

// settingsVariant is a change of the settings: the old and the new text, in the platform's file and in the form in
// which the simulator sends it.
type settingsVariant struct{ platformOld, platformNew, wireOld, wireNew string }

var settingsVariants = []settingsVariant{
	{`"base_rate":40.0`, `"base_rate":10.0`, "base_rate=40.0", "base_rate=10.0"},
	{`"name":"read","effect":"read_like"`, `"name":"read","effect":"non_idempotent"`,
		"lanes.0.effect=read_like", "lanes.0.effect=non_idempotent"},
	{`"group":"cell"`, `"group":"zone"`, "lanes.1.group=cell", "lanes.1.group=zone"},
	{`"name":"basic"`, `"name":"silver"`, "contracts.0.name=basic", "contracts.0.name=silver"},
	{`"name":"read"`, `"name":"fetch"`, "lanes.0.name=read", "lanes.0.name=fetch"},
	{`"target_ms":300.0`, `"target_ms":200.0`, "target_ms=300.0", "target_ms=200.0"},
	{`"name":"gold",`, `"name":"gold","never_over":4.0,"burst":9.0,`,
		"contracts.1.name=gold|", "contracts.1.name=gold|contracts.1.never_over=4.0|contracts.1.burst=9.0|"},
}

// manualClock is a clock whose time changes only when the test sets it.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() scheduler.Time { return c.now.Load() }

// pendingConfig is a configuration source that returns each stored configuration once.
type pendingConfig struct {
	next atomic.Pointer[gateway.ActiveConfig]
}

func (c *pendingConfig) At(scheduler.Time) (*gateway.ActiveConfig, scheduler.Time) {
	return c.next.Swap(nil), 0
}

// fakeNodes is a node client that keeps attempts in flight until the scenario ends them.
type fakeNodes struct {
	mutex sync.Mutex
	sent  []*fakeAttempt
}

// fakeAttempt is an attempt that was sent to fakeNodes.
type fakeAttempt struct {
	nodes     *fakeNodes
	call      node.Call
	addr      string
	sentAt    scheduler.Time
	done      func(node.Reply)
	cancelled bool
	ended     bool
}

func (n *fakeNodes) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	a := &fakeAttempt{nodes: n, call: *call, addr: addr, done: done}
	n.sent = append(n.sent, a)
	return a
}

func (a *fakeAttempt) Cancel() {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	a.cancelled = true
}

func (*fakeAttempt) Withdraw() bool { return false }

func (n *fakeNodes) Retain(map[string]bool)        {}
func (n *fakeNodes) AbortQueued(func(string) bool) {}
func (n *fakeNodes) LateReplies() int64            { return 0 }

// inFlight returns the attempts that have neither ended nor been cancelled.
func (n *fakeNodes) inFlight() (list []*fakeAttempt) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, a := range n.sent {
		if !a.ended && !a.cancelled {
			list = append(list, a)
		}
	}
	return list
}
