package discovery

import (
	"strconv"

	"irispost/internal/endpoint"
)

// Table holds the nodes of the service by UID, and converts responses into endpoint lists, which are by address. It
// does no I/O. The zero value is empty and ready to use.
type Table struct {
	revision int64
	nodes    map[string]endpoint.Node // by UID; nil: no response yet
}

// Apply applies a response and returns the resulting list: complete for a full response, else with the changes only.
// If several UIDs have the same address, the node that started last is listed. If the address of a node changed, the
// node is removed from the old one. stale is true for a response from a cache.
func (t *Table) Apply(r *Response, stale bool) (endpoint.List, error) {
	list := endpoint.List{Version: strconv.FormatInt(r.Revision, 10), Stale: stale, Partial: !r.Full}
	reported, err := r.nodes()
	if err != nil {
		return list, err
	}
	changed := t.merge(reported, r.Full)
	t.revision = r.Revision
	list.Nodes = t.entries(changed, list.Partial)
	return list, nil
}

// merge applies reported nodes to the table, and returns nodes at all addresses that may have changed.
func (t *Table) merge(reported []endpoint.Node, full bool) (changed []endpoint.Node) {
	before := t.nodes
	if full || before == nil {
		t.nodes = map[string]endpoint.Node{}
	}
	for _, n := range reported {
		old, known := before[n.Name]
		if n.Health == endpoint.Removed {
			delete(t.nodes, n.Name)
		} else {
			t.nodes[n.Name] = n
		}
		if known && old.Addr != n.Addr {
			old.Health = endpoint.Removed
			changed = append(changed, old)
		}
		if n.Addr != "" {
			changed = append(changed, n)
		}
	}
	return changed
}

// entries returns the current nodes at the addresses of changed nodes. A partial list includes addresses without a
// node, as removed.
func (t *Table) entries(changed []endpoint.Node, partial bool) (entries []endpoint.Node) {
	current := t.byAddress()
	seen := map[string]bool{}
	for _, n := range changed {
		if seen[n.Addr] {
			continue
		}
		seen[n.Addr] = true
		if node, ok := current[n.Addr]; ok {
			entries = append(entries, node)
		} else if partial {
			n.Health = endpoint.Removed
			entries = append(entries, n)
		}
	}
	return entries
}

// byAddress returns the node to list for each address: the one that started last or, among equals, the one with the
// greatest UID.
func (t *Table) byAddress() map[string]endpoint.Node {
	nodes := map[string]endpoint.Node{}
	for _, n := range t.nodes {
		other, taken := nodes[n.Addr]
		if !taken || n.StartedAt > other.StartedAt || n.StartedAt == other.StartedAt && n.Name > other.Name {
			nodes[n.Addr] = n
		}
	}
	return nodes
}
