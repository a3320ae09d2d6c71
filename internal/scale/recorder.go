package scale

import (
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// monotonic returns the machine's monotonic clock in nanoseconds. The records of activations have the same clock.
func monotonic() int64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // it fails for clocks that do not exist only
	return now.Nano()
}

// listRecorder is a gateway.Tap that records each endpoint list that the gateway's scheduler receives. It is called
// by the event loop and read by the case.
type listRecorder struct {
	shards int
	leak   bool // DefectLeak

	lock        sync.Mutex // guards all below
	nodeByShard []string   // address of the node that serves each shard, by the last list; "": none
	updates     []ListUpdate
	leaked      [][]endpoint.Node // with leak: each list, complete even if it was a partial one
}

// EndpointList records a complete list.
func (r *listRecorder) EndpointList(_ scheduler.Time, list endpoint.List) {
	update := ListUpdate{At: monotonic(), ActingOn: list.Version}
	nodeByShard := make([]string, r.shards)
	r.addReady(nodeByShard, list)
	r.record(update, nodeByShard)
}

// EndpointUpdate records a list that is complete, or partial.
func (r *listRecorder) EndpointUpdate(now scheduler.Time, list endpoint.List, full bool) {
	if full {
		r.EndpointList(now, list)
		return
	}
	update := ListUpdate{At: monotonic(), ActingOn: list.Version}
	nodeByShard := make([]string, r.shards)
	r.lock.Lock()
	copy(nodeByShard, r.nodeByShard)
	r.lock.Unlock()
	// Before those that are ready: a shard's successor may precede its old node in the list.
	for _, node := range list.Nodes {
		if node.Health != endpoint.Ready && node.Shard < r.shards && nodeByShard[node.Shard] == node.Addr {
			nodeByShard[node.Shard] = ""
		}
	}
	r.addReady(nodeByShard, list)
	r.record(update, nodeByShard)
}

// addReady sets the nodes of a list that are ready.
func (r *listRecorder) addReady(nodeByShard []string, list endpoint.List) {
	for _, node := range list.Nodes {
		if node.Health == endpoint.Ready && node.Shard < r.shards {
			nodeByShard[node.Shard] = node.Addr
		}
	}
}

// record adds an update with the shards that moved by it.
func (r *listRecorder) record(update ListUpdate, nodeByShard []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.leak {
		nodes := make([]endpoint.Node, len(nodeByShard))
		for shard, addr := range nodeByShard {
			nodes[shard] = endpoint.Node{Addr: strings.Clone(addr), Shard: shard}
		}
		r.leaked = append(r.leaked, nodes)
	}
	if len(r.nodeByShard) > 0 { // the first list moves no shard
		update.MovedShards = movedShards(r.nodeByShard, nodeByShard)
	}
	r.nodeByShard = nodeByShard
	r.updates = append(r.updates, update)
}

// movedShards returns the shards whose node differs, with the address of the new one; nil: none.
func movedShards(before, after []string) (moved map[int]string) {
	for shard, addr := range after {
		if addr == before[shard] {
			continue
		}
		if moved == nil {
			moved = map[int]string{}
		}
		moved[shard] = addr
	}
	return moved
}

// actingOn returns what the scheduler acts on by the last list.
func (r *listRecorder) actingOn() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.updates) == 0 {
		return "none yet"
	}
	return r.updates[len(r.updates)-1].ActingOn
}

// observed returns the updates since the last discard, and the node that serves each shard now.
func (r *listRecorder) observed() (updates []ListUpdate, nodeByShard []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.updates, r.nodeByShard
}

// discard discards all updates but the last, and its moved shards.
func (r *listRecorder) discard() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if count := len(r.updates); count > 0 {
		last := r.updates[count-1]
		r.updates = []ListUpdate{{At: last.At, ActingOn: last.ActingOn}}
	}
}

// The other events of a gateway.Tap are not recorded.

// Start is not recorded.
func (r *listRecorder) Start(scheduler.Time, uint64, scheduler.Settings) {}

// EndpointListFailed is not recorded.
func (r *listRecorder) EndpointListFailed(scheduler.Time, bool) {}

// SettingsChanged is not recorded.
func (r *listRecorder) SettingsChanged(scheduler.Time, scheduler.Settings) {}

// Allocated is not recorded.
func (r *listRecorder) Allocated(scheduler.Time, string, scheduler.Time, float64, scheduler.Time) {}

// Submitted is not recorded.
func (r *listRecorder) Submitted(scheduler.Time, *scheduler.Request, int64, string, string, float64, bool) {
}

// AttemptEnded is not recorded.
func (r *listRecorder) AttemptEnded(
	scheduler.Time, string, int, scheduler.Outcome, scheduler.Time, bool, float64, int, scheduler.Time) {
}

// ClientCancelled is not recorded.
func (r *listRecorder) ClientCancelled(scheduler.Time, string) {}

// Decided is not recorded.
func (r *listRecorder) Decided(scheduler.Time, *scheduler.Decision) {}

// Snapshot is not recorded.
func (r *listRecorder) Snapshot(scheduler.Time, *scheduler.Scheduler) {}

// NeedsSnapshot returns false.
func (r *listRecorder) NeedsSnapshot() bool { return false }
