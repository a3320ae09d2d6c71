package client

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// listed is rules with the list of nodes that they come to, by address.
type listed struct {
	of    *configversion.Config
	nodes []endpoint.Node
}

// list is the list of what is acted on. It has been made before the loop asks for it, unless only a floor counts since.
func (f *Client) list(effect *configversion.Config) []endpoint.Node {
	if l := f.made.Load(); l != nil && l.of == effect {
		return l.nodes
	}
	return effect.EndpointList("").Nodes
}

// prepare makes the list of what is acted on, outside of the loop.
func (f *Client) prepare(effect *configversion.Config) {
	if effect != nil {
		f.made.Store(&listed{effect, f.list(effect)})
	}
}

// change is what to tell of a list after another: what is new or differs, or all of it. Connections to nodes that are left out or gone are
// closed, which only a whole list does; nil: nothing was told before.
func change(before, now []endpoint.Node) endpoint.List {
	whole := endpoint.List{Nodes: now}
	if before == nil {
		return whole
	}
	part := endpoint.List{Partial: true}
	for len(now) > 0 {
		switch {
		case len(before) == 0 || now[0].Addr < before[0].Addr:
			part.Nodes = append(part.Nodes, now[0])
		case now[0].Addr > before[0].Addr:
			return whole
		default:
			if now[0] != before[0] {
				if now[0].Health == endpoint.Removed {
					return whole
				}
				part.Nodes = append(part.Nodes, now[0])
			}
			before = before[1:]
		}
		now = now[1:]
	}
	if len(before) > 0 {
		return whole
	}
	return part
}
