package client

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// preparedList is a configuration's list of endpoints, by address.
type preparedList struct {
	config    *configversion.Config
	endpoints []endpoint.Node
}

// prepareEndpoints makes the list of what is in effect, so that the loop does not have to.
func (c *Client) prepareEndpoints(config *configversion.Config) {
	if config != nil {
		c.preparedList.Store(&preparedList{config: config, endpoints: c.endpointsOf(config)})
	}
}

// endpointsOf is the list of a configuration, by address. It was prepared before, unless a fallback has come
// into effect since.
func (c *Client) endpointsOf(config *configversion.Config) []endpoint.Node {
	if prepared := c.preparedList.Load(); prepared != nil && prepared.config == config {
		return prepared.endpoints
	}
	return config.EndpointList("").Nodes
}

// endpointChange is what to tell the loop of a list after an earlier one, nil where there was none: the
// endpoints that are new or differ, or the full list. Only a full list closes connections, so there is one
// wherever an endpoint is left out or removed.
func endpointChange(before, after []endpoint.Node) endpoint.List {
	full := endpoint.List{Nodes: after}
	if before == nil {
		return full
	}
	partial := endpoint.List{Partial: true}
	for _, node := range after {
		switch {
		case len(before) == 0 || node.Addr < before[0].Addr:
			partial.Nodes = append(partial.Nodes, node)
			continue
		case node.Addr > before[0].Addr:
			return full
		}
		if node != before[0] {
			if node.Health == endpoint.Removed {
				return full
			}
			partial.Nodes = append(partial.Nodes, node)
		}
		before = before[1:]
	}
	if len(before) > 0 {
		return full
	}
	return partial
}
