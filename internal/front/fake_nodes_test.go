package front_test

import (
	"encoding/hex"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/layout"
)

// fakeNodes simulates the storage nodes of all shards and records each call in order of arrival.
type fakeNodes struct {
	lock    sync.Mutex
	calls   []string
	records map[string]node.ListItem
	objects map[string][]byte
	version uint64
}

type completedAttempt struct{}

func (completedAttempt) Cancel() {}

// Withdraw implements node.Attempt.
func (completedAttempt) Withdraw() bool { return false }

// AbortQueued does nothing, as calls are never queued.
func (*fakeNodes) AbortQueued(func(string) bool) {}

// Retain does nothing, as there are no connections.
func (*fakeNodes) Retain(map[string]bool) {}

// LateReplies returns 0, as calls are never cancelled.
func (*fakeNodes) LateReplies() int64 { return 0 }

func shardOf(address string) int { return int(address[len(address)-1] - '0') }

func endpointNode(shard int) endpoint.Node {
	return endpoint.Node{Addr: fmt.Sprint("node:", shard), Zone: "z", Shard: shard}
}

// Start executes a call immediately and replies from another goroutine.
func (n *fakeNodes) Start(address string, call *node.Call, done func(node.Reply)) node.Attempt {
	n.lock.Lock()
	n.calls = append(n.calls, formatCall(call))
	reply := n.execute(shardOf(address), call)
	n.lock.Unlock()
	reply.Outcome, reply.Shard = node.Executed, shardOf(address)
	if call.Shard < 0 {
		reply.Shard = 1 // this test does not depend on where the scheduler places a new object
	}
	go done(reply)
	return completedAttempt{}
}

func (n *fakeNodes) execute(shard int, call *node.Call) (reply node.Reply) {
	switch call.Op {
	case node.GetRecord:
		return node.Reply{Version: n.records[call.Name].Version, Data: n.records[call.Name].Data}
	case node.CompareAndSwapRecord:
		current := n.records[call.Name]
		if current.Version != call.Version {
			return node.Reply{Status: node.VersionConflict, Version: current.Version, Data: current.Data}
		}
		n.version++
		n.records[call.Name] = node.ListItem{Name: call.Name, Version: n.version, Data: slices.Clone(call.Data)}
		return node.Reply{Version: n.version}
	case node.ListRecords:
		var items []node.ListItem
		for _, name := range slices.Sorted(maps.Keys(n.records)) {
			path, _ := layout.Parse(name)
			inDirectory := len(n.records[name].Data) > 0 && path.Parent().String() == call.Name
			if inDirectory && path.HomeShard(2) == shard && name > call.Owner {
				items = append(items, n.records[name])
			}
		}
		return node.Reply{Data: node.EncodeItems(items)}
	case node.PutObject:
		object := n.objects[call.Name]
		if end := int(call.Offset) + len(call.Data); end > len(object) {
			object = append(object, make([]byte, end-len(object))...)
		}
		copy(object[call.Offset:], call.Data)
		n.objects[call.Name] = object
	case node.GetObject:
		object := n.objects[call.Name]
		from := min(int(call.Offset), len(object))
		return node.Reply{Data: slices.Clone(object[from:min(from+int(call.Length), len(object))])}
	case node.DeleteObject:
		delete(n.objects, call.Name)
	}
	return node.Reply{}
}

// startTimePattern matches the start time of the gateway in a name. requestNumberPattern matches the number that the
// event loop assigns to a request; it varies among concurrent requests.
var (
	startTimePattern     = regexp.MustCompile(`(g[-/])[0-9a-z]{12}([-/])`)
	requestNumberPattern = regexp.MustCompile(`#\d+ `)
)

func maskRunSpecific(s string) string {
	return requestNumberPattern.ReplaceAllString(startTimePattern.ReplaceAllString(s, "${1}start${2}"), "#n ")
}

// formatCall formats a call without the parts that vary from run to run: times, the gateway's start time in names, and
// request numbers.
func formatCall(call *node.Call) string {
	data := hex.EncodeToString(call.Data)
	if call.Op == node.CompareAndSwapRecord && len(call.Data) > 0 {
		data = formatRecord(call.Data)
	}
	if len(data) > 300 {
		data = fmt.Sprintf("%.16s... %d bytes", data, len(data)/2)
	}
	return maskRunSpecific(fmt.Sprintf("  op %d name %s owner %q shard %d offset %d length %d version %d volume %d",
		call.Op, call.Name, call.Owner, call.Shard, call.Offset, call.Length, call.Version, call.Volume) +
		fmt.Sprintf(" units %.3g kind %d keyed %t key %s request %s data %s",
			call.Units, call.Idempotency, call.OrderingKey != 0, call.IdempotencyKey, call.RequestID, data))
}

func formatRecord(encoded []byte) string {
	record, err := layout.Decode(encoded, 0)
	if err != nil {
		return err.Error()
	}
	record.Modified = 0
	record.ChangeID = maskRunSpecific(record.ChangeID)
	record.MovePeer = maskRunSpecific(record.MovePeer)
	record.LastMoveID = maskRunSpecific(record.LastMoveID)
	for i := range record.Extents {
		record.Extents[i].Object = maskRunSpecific(record.Extents[i].Object)
	}
	return hex.EncodeToString(record.Encode())
}

// takeCalls returns the calls since the previous takeCalls, one per line. Consecutive calls of an operation that the
// front end issues concurrently are sorted by their text.
func (n *fakeNodes) takeCalls() string {
	n.lock.Lock()
	defer n.lock.Unlock()
	calls := n.calls
	n.calls = nil
	concurrentOpPrefix := func(call string) string {
		for _, op := range []node.Operation{node.ListRecords, node.GetObject, node.PutObject} {
			if prefix := fmt.Sprintf("  op %d ", op); strings.HasPrefix(call, prefix) {
				return prefix
			}
		}
		return ""
	}
	for from := 0; from < len(calls); {
		to := from + 1
		for to < len(calls) && concurrentOpPrefix(calls[from]) != "" &&
			concurrentOpPrefix(calls[to]) == concurrentOpPrefix(calls[from]) {
			to++
		}
		slices.Sort(calls[from:to])
		from = to
	}
	if len(calls) == 0 {
		return ""
	}
	return strings.Join(calls, "\n") + "\n"
}
