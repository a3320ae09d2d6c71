package capacity

// controlFigures are the costs of the control plane at a gateway: configuration versions, endpoint lists and slow-start
// budgets.
var controlFigures = []Figure{
	{
		Name:    "control_rest_bytes_s",
		Unit:    "bytes a second",
		Bound:   boundControlBytesPerSecond,
		Target:  targetIdleBytesPerSecond,
		Compute: readAt("control_rest_bytes_s_by_followers", gateways),
	},
	{
		Name:    "control_change_bytes",
		Unit:    "bytes a change",
		Target:  targetChangeBytes,
		Compute: readAt("control_change_bytes_by_followers", gateways),
	},
	{
		Name:   "control_day_bytes_s",
		Unit:   "bytes a second",
		Bound:  boundControlBytesPerSecond,
		Target: targetDayBytesPerSecond,
		Compute: func(c *Computation) float64 {
			idle := c.At("control_rest_bytes_s_by_followers", c.Gateways)
			return idle + c.At("control_change_bytes_mean_by_followers", c.Gateways)*c.Changes/secondsPerDay
		},
	},
	{
		Name:   "control_rest_core",
		Unit:   "% of a core",
		Bound:  boundControlCorePercent,
		Target: targetControlCorePercent,
		Compute: func(c *Computation) float64 {
			return 100 * c.At("control_follower_core_by_followers", c.Gateways)
		},
	},
	{
		Name:  "control_day_core",
		Unit:  "% of a core",
		Bound: boundControlCorePercent,
		Compute: func(c *Computation) float64 {
			return 100 * c.At("control_follower_core_day_by_followers", c.Gateways)
		},
	},
	{
		Name:    "control_mb",
		Unit:    "MB",
		Bound:   boundControlMB,
		Target:  targetControlMB,
		Compute: readAt("control_follower_mb_by_followers", gateways),
	},
	{
		Name:    "control_messages",
		Unit:    "asks a second",
		Compute: func(*Computation) float64 { return 2/leaseSeconds + 1/watchSeconds },
	},
	{
		Name:    "control_in_force_p50",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Target:  targetInForceMS,
		Compute: readAt("control_in_force_ms_p50_by_followers", gateways),
	},
	{
		Name:    "control_in_force_p99",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Target:  targetInForceMS,
		Compute: readAt("control_in_force_ms_p99_by_followers", gateways),
	},
	{
		Name:    "control_in_force_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Target:  targetInForceMS,
		Compute: readAt("control_in_force_ms_worst_by_followers", gateways),
	},
	{
		Name:    "control_first_start_ms",
		Unit:    "ms",
		Compute: readAt("control_first_start_ms_by_followers", gateways),
	},
	{
		Name:    "control_again_ms",
		Unit:    "ms",
		Compute: readAt("control_again_ms_by_followers", gateways),
	},
	{
		Name:    "control_replaced_worst",
		Unit:    "ms",
		Bound:   boundReplacedMS,
		Compute: readAt("scale_replaced_last_turned_ms_worst_by_gateways", gateways),
	},
	{
		Name:  "control_list_bytes_s",
		Unit:  "bytes a second",
		Bound: boundControlBytesPerSecond,
		Compute: func(c *Computation) float64 {
			polls := c.At("list_call_bytes_by_nodes", c.Nodes) / listPollSeconds
			return polls + c.At("list_change_bytes_by_nodes", c.Nodes)*c.Changes/secondsPerDay
		},
	},
	{
		Name:    "control_list_whole_ms",
		Unit:    "ms",
		Compute: readAt("list_whole_take_ms_by_nodes", nodes),
	},
	{
		Name:  "control_list_core",
		Unit:  "% of a core",
		Bound: boundControlCorePercent,
		Compute: func(c *Computation) float64 {
			change := c.At("list_take_us_by_nodes", c.Nodes) + c.At("module_list_us_by_nodes", c.Nodes)
			return change * c.Changes / secondsPerDay / 1e4
		},
	},
	{
		Name:    "control_cold_worst",
		Unit:    "of the way from N calls to the bound",
		Bound:   1,
		Compute: readAt("cold_worst_by_gateways", gateways),
	},
	{
		Name:    "control_cold_mean",
		Unit:    "calls in 4 s",
		Compute: readAt("cold_calls_by_gateways", gateways),
	},
}
