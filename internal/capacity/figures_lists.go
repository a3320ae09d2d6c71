package capacity

// listServiceFigures are the costs of the discovery service that gateways without replicas poll for endpoint lists.
var listServiceFigures = []Figure{
	{
		Name:    "lists_held",
		Unit:    "calls held",
		Compute: func(c *Computation) float64 { return c.Gateways },
	},
	{
		Name: "lists_calls",
		Unit: "calls a second",
		Compute: func(c *Computation) float64 {
			return c.Gateways/listPollSeconds + c.Gateways*c.Changes/secondsPerDay
		},
	},
	{
		Name:    "lists_whole_bytes",
		Unit:    "KB",
		Compute: func(c *Computation) float64 { return c.At("list_whole_bytes_by_nodes", c.Nodes) / 1e3 },
	},
	{
		Name: "lists_rest_bytes_s",
		Unit: "KB a second",
		Compute: func(c *Computation) float64 {
			return c.Gateways * c.At("list_call_bytes_by_nodes", c.Nodes) / listPollSeconds / 1e3
		},
	},
	{
		Name: "lists_change_bytes",
		Unit: "KB a change, to all",
		Compute: func(c *Computation) float64 {
			return c.Gateways * c.At("list_change_bytes_by_nodes", c.Nodes) / 1e3
		},
	},
	{
		Name:    "lists_make_ms",
		Unit:    "ms",
		Compute: readAt("list_make_ms_by_nodes", nodes),
	},
	{
		Name:    "lists_return_ms",
		Unit:    "ms",
		Compute: readAt("list_return_ms_by_gateways", gateways),
	},
	{
		Name:    "lists_return_calls",
		Unit:    "calls",
		Compute: readAt("list_return_calls_by_gateways", gateways),
	},
	{
		Name: "lists_return_mb",
		Unit: "MB",
		Compute: func(c *Computation) float64 {
			return c.Gateways * c.At("list_whole_bytes_by_nodes", c.Nodes) / 1e6
		},
	},
	{
		Name:    "lists_return_core",
		Unit:    "s of a core",
		Compute: func(c *Computation) float64 { return c.Gateways * c.At("list_make_ms_by_nodes", c.Nodes) / 1e3 },
	},
}
