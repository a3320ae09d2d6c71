package capacity

import "math"

// storageFigures are the load that the gateways put on a storage node.
var storageFigures = []Figure{
	{
		Name:    "storage_requests",
		Unit:    "requests a second",
		Compute: func(c *Computation) float64 { return c.RequestsPerNode() },
	},
	{
		Name:    "storage_connections",
		Unit:    "connections",
		Compute: func(c *Computation) float64 { return connectionsPerNode(c) * c.Gateways },
	},
	{
		Name: "storage_handshakes",
		Unit: "handshakes a second",
		Compute: func(c *Computation) float64 {
			return c.RequestsPerNode() * math.Exp(-c.RequestsPerPair()*nodeIdleSeconds*nodeIdleFraction)
		},
	},
	{
		Name: "storage_handshakes_short",
		Unit: "handshakes a second",
		Compute: func(c *Computation) float64 {
			return c.RequestsPerNode() * math.Exp(-c.RequestsPerPair()*nodeIdleFraction)
		},
	},
	{
		Name:    "storage_handshakes_none",
		Unit:    "handshakes a second",
		Compute: func(c *Computation) float64 { return c.RequestsPerNode() },
	},
	{
		Name: "storage_handshake_us",
		Unit: "us",
		Compute: func(c *Computation) float64 {
			return c.At("node_open_us_by_nodes", c.Nodes) - c.At("node_reuse_us_by_nodes", c.Nodes)
		},
	},
	{
		Name:    "storage_restarts",
		Unit:    "handshakes a day",
		Compute: func(c *Computation) float64 { return connectionsPerNode(c) * (c.Restarts + c.Failures) },
	},
	// The time until 99 of 100 pairs of gateway and node have had a request; the first request of a pair opens its
	// connection.
	{
		Name: "storage_anew_s",
		Unit: "s",
		Compute: func(c *Computation) float64 {
			return math.Log(100) / c.RequestsPerPair()
		},
	},
	{
		Name: "storage_head_bytes_s",
		Unit: "KB a second",
		Compute: func(c *Computation) float64 {
			return (c.At("web_node_bytes_by_body", 1) - 2) * c.RequestsPerNode() / 1e3
		},
	},
}
