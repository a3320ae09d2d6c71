package scale

import (
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// monotonic is the machine's clock, which the records of what is acted on are written by too.
func monotonic() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it fails for clocks that do not exist
	return t.Nano()
}

// witness listens to all that a gateway's module is told, and notes of each list what it has the module act on.
type witness struct {
	lock   sync.Mutex
	shards int
	serves []string // by shard: the node to send to, as the module was told last; "": none
	turns  []Turn
	kept   [][]endpoint.Node // a leak that was put in: each list, whole, whether it was told whole or in part
	leaks  bool
}

// EndpointList notes a list.
func (w *witness) EndpointList(_ scheduler.Time, l endpoint.List) {
	t := Turn{At: monotonic(), Acts: l.Version}
	serves := make([]string, w.shards)
	for _, n := range l.Nodes {
		if n.Health == endpoint.Ready && n.Shard < w.shards {
			serves[n.Shard] = n.Addr
		}
	}
	w.note(t, serves)
}

// EndpointUpdate notes what has changed in a list.
func (w *witness) EndpointUpdate(now scheduler.Time, l endpoint.List, whole bool) {
	if whole {
		w.EndpointList(now, l)
		return
	}
	t := Turn{At: monotonic(), Acts: l.Version}
	w.lock.Lock()
	serves := make([]string, w.shards)
	copy(serves, w.serves)
	w.lock.Unlock()
	for _, n := range l.Nodes { // those that go first: a shard's successor may stand before its old node
		if n.Health != endpoint.Ready && n.Shard < w.shards && serves[n.Shard] == n.Addr {
			serves[n.Shard] = ""
		}
	}
	for _, n := range l.Nodes {
		if n.Health == endpoint.Ready && n.Shard < w.shards {
			serves[n.Shard] = n.Addr
		}
	}
	w.note(t, serves)
}

func (w *witness) note(t Turn, serves []string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.leaks {
		whole := make([]endpoint.Node, len(serves))
		for shard, addr := range serves {
			whole[shard] = endpoint.Node{Addr: strings.Clone(addr), Shard: shard}
		}
		w.kept = append(w.kept, whole)
	}
	for shard, addr := range serves {
		if len(w.serves) > 0 && addr != w.serves[shard] { // the first list is what others are held against
			if t.Moved == nil {
				t.Moved = map[int]string{}
			}
			t.Moved[shard] = addr
		}
	}
	w.serves, w.turns = serves, append(w.turns, t)
}

// acts is what the module was told last to act on.
func (w *witness) acts() string {
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(w.turns) == 0 {
		return "none yet"
	}
	return w.turns[len(w.turns)-1].Acts
}

// seen is what was noted since the last forget, and which node serves each shard now.
func (w *witness) seen() (turns []Turn, serves []string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.turns, w.serves
}

// forget leaves the last turn only.
func (w *witness) forget() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if n := len(w.turns); n > 0 {
		w.turns = []Turn{{At: w.turns[n-1].At, Acts: w.turns[n-1].Acts}}
	}
}

// What else passes the module is of no interest here.

func (w *witness) Start(scheduler.Time, uint64, scheduler.Settings)                          {}
func (w *witness) EndpointListFailed(scheduler.Time, bool)                                   {}
func (w *witness) SettingsChanged(scheduler.Time, scheduler.Settings)                        {}
func (w *witness) Allocated(scheduler.Time, string, scheduler.Time, float64, scheduler.Time) {}
func (w *witness) Submitted(scheduler.Time, *scheduler.Request, int64, string, string, float64, bool) {
}
func (w *witness) AttemptEnded(scheduler.Time, string, int, scheduler.Outcome, scheduler.Time, bool, float64, int, scheduler.Time) {
}
func (w *witness) ClientCancelled(scheduler.Time, string)        {}
func (w *witness) Decided(scheduler.Time, *scheduler.Decision)   {}
func (w *witness) Snapshot(scheduler.Time, *scheduler.Scheduler) {}
func (w *witness) NeedsSnapshot() bool                           { return false }
