package capacity

// operatorFigures are the costs of the operator's tool, which proposes, shows and compares configuration versions.
var operatorFigures = []Figure{
	{
		Name:    "operator_version_bytes",
		Unit:    "KB a version",
		Compute: func(c *Computation) float64 { return c.At("version_bytes_by_nodes", c.Nodes) / 1e3 },
	},
	{
		Name:    "operator_make_ms",
		Unit:    "ms",
		Compute: readAt("version_make_ms_by_nodes", nodes),
	},
	{
		Name:    "operator_read_ms",
		Unit:    "ms",
		Compute: readAt("version_read_ms_by_nodes", nodes),
	},
	{
		Name:    "operator_contradict_ms",
		Unit:    "ms",
		Compute: readAt("version_compare_ms_by_nodes", nodes),
	},
	{
		Name:    "operator_mb",
		Unit:    "MB",
		Compute: func(c *Computation) float64 { return c.At("version_kb_by_nodes", c.Nodes) / 1e3 },
	},
	{
		Name:    "operator_changes",
		Unit:    "s",
		Compute: func(c *Computation) float64 { return secondsPerDay / c.Changes },
	},
	{
		Name: "operator_audit_mb",
		Unit: "MB a year",
		Compute: func(c *Computation) float64 {
			return c.At("version_bytes_by_nodes", c.Nodes) * c.Changes * 365 / 1e6
		},
	},
}
