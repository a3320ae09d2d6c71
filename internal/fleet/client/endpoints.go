package client

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// preparedList is the endpoint list of a configuration, sorted by address.
type preparedList struct {
	config    *configversion.Config
	endpoints []endpoint.Node
}

// prepareEndpoints builds the endpoint list of a configuration ahead of time, to keep that work out of the loop.
func (c *Client) prepareEndpoints(config *configversion.Config) {
	if config != nil {
		c.preparedList.Store(&preparedList{config: config, endpoints: c.endpointsOf(config)})
	}
}

// endpointsOf returns the endpoints of a configuration, sorted by address. The list was prepared before, unless a
// fallback has come into effect since.
func (c *Client) endpointsOf(config *configversion.Config) []endpoint.Node {
	if prepared := c.preparedList.Load(); prepared != nil && prepared.config == config {
		return prepared.endpoints
	}
	return config.EndpointList("").Nodes
}

// endpointChange returns the list to send to the loop after an earlier one, which is nil if there was none. It is a
// partial list of the new and changed endpoints, or the full list if an endpoint is missing or newly removed,
// because only a full list closes connections.
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
