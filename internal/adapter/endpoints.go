package adapter

import (
	"fmt"

	"irispost/internal/endpoint"
	"irispost/internal/wire"
	"irispost/scheduler"
)

// backendsChanged reads an endpoint list event with its entries and applies it. If the instance is down, the event is
// read and discarded.
func (a *adapter) backendsChanged(target *instance, now scheduler.Time, fields *wire.Fields) {
	mode := fields.Text("mode")
	fields.Int("rev")
	count := fields.Int("nodes_list")
	if fields.Err == nil && !isListMode(mode) {
		fields.Err = fmt.Errorf("mode: unknown mode %q", mode)
	}
	if fields.Err != nil {
		return
	}
	list := endpoint.List{Stale: mode == modeRestored}
	complete := mode != modeUpdate
	if target.scheduler != nil && mode != modeUnavailable {
		target.scheduler.BeginEndpointList(now, complete, list.Stale)
	}
	for range count {
		n, state, err := a.readEntry()
		if err != nil {
			fields.Err = err
			return
		}
		if target.scheduler != nil {
			target.scheduler.UpdateEndpoint(n.Addr, n.Zone, n.Shard, n.StartedAt, state)
			list.Nodes = append(list.Nodes, n)
		}
	}
	switch {
	case target.scheduler == nil:
	case mode == modeUnavailable:
		target.endpointListFailed(now)
	default:
		target.finishEndpointList(now, list, complete)
	}
}

// isListMode reports whether word is a mode of an endpoint list event.
func isListMode(word string) bool {
	switch word {
	case modeUpdate, modeReplace, modeRestored, modeUnavailable:
		return true
	}
	return false
}

// readEntry reads an entry line of an endpoint list.
func (a *adapter) readEntry() (n endpoint.Node, state scheduler.EndpointState, err error) {
	fields, err := a.in.Next()
	if err != nil {
		return n, state, fmt.Errorf("input ended inside the endpoint list entries: %w", err)
	}
	if name := fields.Bytes("message"); string(name) != lineEntry {
		return n, state, fmt.Errorf("expected an ENTRY line, got %q", name)
	}
	fields.Float64("heft")
	fields.Skip() // generation_hw
	n.Zone = fields.Text("failure_domain")
	n.Addr = fields.Text("node")
	n.StartedAt = fields.Time("born_ms")
	n.Shard = int(fields.Int("block"))
	state = fields.EndpointState("availability")
	if fields.Err != nil {
		return n, state, fmt.Errorf("entry at line %d: %w", a.in.Line, fields.Err)
	}
	n.Health = endpoint.Health(state) // both types number ready, draining and removed alike
	return n, state, nil
}

func (i *instance) endpointListFailed(now scheduler.Time) {
	if i.tap != nil {
		i.tap.EndpointListFailed(now, false)
	}
	i.scheduler.EndpointListFailed(now, false)
}

func (i *instance) finishEndpointList(now scheduler.Time, list endpoint.List, complete bool) {
	if i.tap != nil {
		i.tap.EndpointUpdate(now, list, complete)
	}
	i.scheduler.FinishEndpointList()
}
