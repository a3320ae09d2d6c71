package scale

import (
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// monotonic returns the time of the machine's monotonic clock in nanoseconds. The records of activations use the same
// clock.
func monotonic() int64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // it fails only for clocks that do not exist
	return now.Nano()
}

// listRecorder is a gateway.Tap that records the endpoint lists that the gateway's scheduler receives. The event loop
// writes to it, and the case reads from it.
type listRecorder struct {
	shards int
	leak   bool // keep every list; set with DefectLeak

	lock        sync.Mutex // guards the fields below
	nodeByShard []string   // address of each shard's node according to the last list; "": none
	updates     []ListUpdate
	leaked      [][]endpoint.Node // every list, completed if it was partial; only with leak
}

// EndpointList records a complete list.
func (r *listRecorder) EndpointList(_ scheduler.Time, list endpoint.List) {
	update := ListUpdate{At: monotonic(), ActingOn: list.Version}
	nodeByShard := make([]string, r.shards)
	r.addReady(nodeByShard, list)
	r.record(update, nodeByShard)
}

// EndpointUpdate records a complete or partial list.
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
	// Removed before the ready nodes are added, because a shard's new node may precede its old one in the list.
	for _, node := range list.Nodes {
		if node.Health != endpoint.Ready && node.Shard < r.shards && nodeByShard[node.Shard] == node.Addr {
			nodeByShard[node.Shard] = ""
		}
	}
	r.addReady(nodeByShard, list)
	r.record(update, nodeByShard)
}

// addReady sets the address of each shard that has a ready node in a list.
func (r *listRecorder) addReady(nodeByShard []string, list endpoint.List) {
	for _, node := range list.Nodes {
		if node.Health == endpoint.Ready && node.Shard < r.shards {
			nodeByShard[node.Shard] = node.Addr
		}
	}
}

// record adds an update with the shards whose node it changes.
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

// movedShards returns the new address of each shard whose node changed, or nil if none did.
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

// actingOn describes what the scheduler acts on according to the last list.
func (r *listRecorder) actingOn() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.updates) == 0 {
		return "nothing (no list yet)"
	}
	return r.updates[len(r.updates)-1].ActingOn
}

// observed returns the updates since the last discard and the address of each shard's current node.
func (r *listRecorder) observed() (updates []ListUpdate, nodeByShard []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.updates, r.nodeByShard
}

// discard discards all updates but the last, of which it discards the moved shards.
func (r *listRecorder) discard() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if count := len(r.updates); count > 0 {
		last := r.updates[count-1]
		r.updates = []ListUpdate{{At: last.At, ActingOn: last.ActingOn}}
	}
}

// Start is not recorded, nor are the other events below.
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

// NeedsSnapshot returns false, as snapshots are not recorded.
func (r *listRecorder) NeedsSnapshot() bool { return false }
