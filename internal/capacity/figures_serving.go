package capacity

import "math"

// servingFigures are the costs at a gateway of serving its clients.
var servingFigures = []Figure{
	{
		Name:    "serving_requests",
		Unit:    "requests a second",
		Compute: func(c *Computation) float64 { return c.Requests },
	},
	{
		Name:    "serving_rounds",
		Unit:    "rounds a second",
		Compute: func(*Computation) float64 { return roundsPerObjective / latencyObjectiveSeconds },
	},
	{
		Name:    "serving_module_us",
		Unit:    "us a request",
		Compute: readAt("module_request_us_by_nodes", nodes),
	},
	{
		Name: "serving_module_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return c.At("module_request_us_by_nodes", c.Nodes) * c.Requests / 1e4
		},
	},
	{
		Name: "serving_walk_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return c.Slope("module_request_us_by_nodes") * c.Nodes * c.Requests / 1e4
		},
	},
	{
		Name: "serving_home_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			request := growthSinceSmallest(c, "module_request_us_by_nodes")
			decision := growthSinceSmallest(c, "module_decision_us_by_nodes")
			round := growthSinceSmallest(c, "module_round_us_by_nodes")
			return (c.Requests*(request-2*decision) - roundsPerObjective/latencyObjectiveSeconds*round) / 1e4
		},
	},
	// The cost of the two decisions for a request, if requests arrive one at a time.
	{
		Name: "serving_decision_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return 2 * c.Requests * growthSinceSmallest(c, "module_decision_us_by_nodes") / 1e4
		},
	},
	{
		Name: "serving_round_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return roundsPerObjective / latencyObjectiveSeconds * c.At("module_round_us_by_nodes", c.Nodes) / 1e4
		},
	},
	{
		Name:    "serving_module_us_gathered",
		Unit:    "us a request",
		Compute: readAt("module_gathered_us_by_nodes", nodes),
	},
	{
		Name:    "serving_module_us_volumes",
		Unit:    "us a request",
		Compute: readAt("module_request_us_by_volumes", volumes),
	},
	{
		Name:    "serving_module_us_flows",
		Unit:    "us a request",
		Compute: readAt("module_request_us_by_flows", func(Size) float64 { return 1024 }),
	},
	// The cost once each volume has had a request at each node: that of one more flow at a node, times the number of
	// volumes.
	{
		Name: "serving_core_flows",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return c.Slope("module_request_us_by_flows") * c.Volumes * c.Requests / 1e4
		},
	},
	{
		Name:    "serving_core",
		Unit:    "% of a core",
		Compute: readAt("web_core_by_requests", requests),
	},
	{
		Name:    "serving_core_rest",
		Unit:    "% of a core",
		Compute: readAt("web_rest_core_by_nodes", nodes),
	},
	{
		Name:    "serving_list_us",
		Unit:    "us a list",
		Compute: readAt("module_list_us_by_nodes", nodes),
	},
	{
		Name: "serving_module_mb",
		Unit: "MB",
		Compute: func(c *Computation) float64 {
			return (c.At("module_kb_by_nodes", c.Nodes) + c.Slope("module_kb_by_volumes")*c.Volumes) / 1e3
		},
	},
	{
		Name:    "serving_flows_mb",
		Unit:    "MB",
		Compute: func(c *Computation) float64 { return c.Slope("module_kb_by_flows") * c.Volumes * c.Nodes / 1e3 },
	},
	// The memory of the pairs of volume and node that get their first request in a day, if requests are spread evenly.
	{
		Name: "serving_flows_day_mb",
		Unit: "MB a day",
		Compute: func(c *Computation) float64 {
			pairs := c.Volumes * c.Nodes
			requestedPairs := pairs * (1 - math.Exp(-c.Requests*secondsPerDay/pairs))
			return c.Slope("module_kb_by_flows") * requestedPairs / 1e3
		},
	},
	{
		Name:    "serving_client_kb",
		Unit:    "KB",
		Compute: func(c *Computation) float64 { return 1e3 * c.Slope("web_mb_by_connections") },
	},
	{
		Name:    "serving_half_kb",
		Unit:    "KB",
		Compute: func(c *Computation) float64 { return 1e3 * c.Slope("web_mb_by_half_requests") },
	},
	{
		Name:    "serving_node_kb",
		Unit:    "KB",
		Compute: func(c *Computation) float64 { return 1e3 * c.Slope("web_mb_by_node_connections") },
	},
	// The memory while all clients are idle.
	{
		Name: "serving_mb",
		Unit: "MB",
		Compute: func(c *Computation) float64 {
			return gatewayMemoryMB(c, "web_mb_by_connections")
		},
	},
	{
		Name:    "serving_busy_mb",
		Unit:    "MB",
		Compute: readAt("web_mb_by_requests", requests),
	},
	// The memory while all clients are in the middle of a request.
	{
		Name: "serving_half_mb",
		Unit: "MB",
		Compute: func(c *Computation) float64 {
			return gatewayMemoryMB(c, "web_mb_by_half_requests")
		},
	},
	{
		Name:    "serving_client_bytes",
		Unit:    "bytes a request",
		Compute: func(c *Computation) float64 { return c.At("web_client_bytes_by_body", 1) - 2 },
	},
	{
		Name:    "serving_node_bytes",
		Unit:    "bytes a request",
		Compute: func(c *Computation) float64 { return c.At("web_node_bytes_by_body", 1) - 2 },
	},
	{
		Name: "serving_head_bytes_s",
		Unit: "KB a second",
		Compute: func(c *Computation) float64 {
			return (c.At("web_client_bytes_by_body", 1) + c.At("web_node_bytes_by_body", 1) - 4) * c.Requests / 1e3
		},
	},
	{
		Name:    "serving_node_connections",
		Unit:    "connections",
		Compute: func(c *Computation) float64 { return connectionsPerNode(c) * c.Nodes },
	},
	{
		Name: "serving_sockets",
		Unit: "sockets",
		Compute: func(c *Computation) float64 {
			return math.Ceil(max(c.Connections/clientSocketShare, connectionsPerNode(c)*c.Nodes/nodeSocketShare))
		},
	},
	// The gateway closes a client's connection that is idle for longer than clientIdleSeconds.
	{
		Name: "serving_reopened",
		Unit: "client handshakes a second",
		Compute: func(c *Computation) float64 {
			return c.Requests * math.Exp(-clientIdleSeconds*c.Requests/c.Connections)
		},
	},
}
