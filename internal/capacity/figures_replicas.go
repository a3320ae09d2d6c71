package capacity

// leaderFigures are the costs of the replica that is the leader.
var leaderFigures = []Figure{
	{
		Name:    "leading_messages",
		Unit:    "asks a second",
		Compute: func(c *Computation) float64 { return c.Gateways * (2/leaseSeconds + 1/watchSeconds) },
	},
	{
		Name:   "leading_out_mb",
		Unit:   "MB a change",
		Target: targetLeaderChangeMB,
		Compute: func(c *Computation) float64 {
			return c.At("control_leader_out_bytes_change_by_followers", c.Gateways) / 1e6
		},
	},
	{
		Name: "leading_out_day_gb",
		Unit: "GB a day",
		Compute: func(c *Computation) float64 {
			changes := c.At("control_leader_out_bytes_change_by_followers", c.Gateways) * c.Changes
			idle := c.Gateways * c.At("control_rest_bytes_s_by_followers", c.Gateways) * secondsPerDay
			return (changes + idle) / 1e9
		},
	},
	{
		Name:    "leading_core",
		Unit:    "% of a core",
		Compute: func(c *Computation) float64 { return 100 * c.At("control_keeper_core_by_followers", c.Gateways) },
	},
	{
		Name:    "leading_mb",
		Unit:    "MB",
		Compute: readAt("control_keeper_mb_by_followers", gateways),
	},
	{
		Name:   "leading_mb_history",
		Unit:   "times what it was after 500 changes",
		Target: targetHistoryGrowth,
		Compute: func(c *Computation) float64 {
			return c.At("history_keeper_mb_by_changes", 10_000) / c.At("history_keeper_mb_by_changes", 500)
		},
	},
	{
		Name:   "leading_folder_history",
		Unit:   "times what it was after 500 changes",
		Target: targetHistoryGrowth,
		Compute: func(c *Computation) float64 {
			return c.At("history_folder_bytes_by_changes", 10_000) / c.At("history_folder_bytes_by_changes", 500)
		},
	},
	{
		Name:    "leading_start_ms",
		Unit:    "ms",
		Target:  targetReplicaStartMS,
		Compute: readAt("history_start_ms_by_nodes", nodes),
	},
	{
		Name:    "other_join_mb",
		Unit:    "MB",
		Target:  targetJoinMB,
		Compute: func(c *Computation) float64 { return c.At("history_join_bytes_by_nodes", c.Nodes) / 1e6 },
	},
	{
		Name:    "leading_connections",
		Unit:    "connections",
		Compute: func(c *Computation) float64 { return 2 * c.Gateways },
	},
}

// followerReplicaFigures are the costs of a replica that is not the leader.
var followerReplicaFigures = []Figure{
	{
		Name: "other_core",
		Unit: "% of a core",
		Compute: func(c *Computation) float64 {
			return 100 * c.At("control_keeper_core_others_by_followers", c.Gateways)
		},
	},
	{
		Name:    "other_mb",
		Unit:    "MB",
		Compute: readAt("control_keeper_mb_others_by_followers", gateways),
	},
	// The leader collects renewals for half a tick and then sends them as one batch.
	{
		Name:    "other_messages",
		Unit:    "a second",
		Compute: func(*Computation) float64 { return 1 / renewalBatchSeconds },
	},
	{
		Name:    "other_change_bytes",
		Unit:    "KB",
		Compute: func(c *Computation) float64 { return c.At("version_bytes_by_nodes", c.Nodes) / 1e3 },
	},
}
