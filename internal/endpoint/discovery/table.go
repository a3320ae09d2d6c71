package discovery

import (
	"strconv"

	"irispost/internal/endpoint"
)

// Table holds the service's list by UID, and turns responses into lists by address. It is pure; the zero value is
// empty.
type Table struct {
	revision int64
	nodes    map[string]endpoint.Node // by UID; nil: there was no response yet
}

// Apply takes in a response and returns what it changes. Where several UIDs have one address, the node that started
// last counts; one whose address changed is removed from the old one. stale marks a response from a cache.
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

// merge puts reported nodes into the table, and returns the entries of all addresses that may have changed.
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

// entries returns what counts now for the addresses of changed nodes. In a partial list, an address without a node is
// there as removed.
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

// byAddress returns the node that counts for each address: the one that started last, then the one with the greatest
// UID.
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
