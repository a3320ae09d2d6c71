package capacity

import (
	"math"
	"slices"
)

// failureFigures cover the failures that the operators list: what each costs the remaining machines.
var failureFigures = slices.Concat(
	singleFailureFigures,
	lossFigures("machine", func(Size) (gateways, nodes float64) { return 1, 0 }),
	lossFigures("rack", func(s Size) (gateways, nodes float64) {
		return math.Ceil(s.Gateways / s.Racks), math.Floor(s.Nodes / s.Racks)
	}),
	lossFigures("zone", func(s Size) (gateways, nodes float64) { return s.ZoneGateways, s.ZoneNodes }),
	regionFailureFigures,
)

// singleFailureFigures cover the failure or restart of a single replica or gateway.
var singleFailureFigures = []Figure{
	{
		Name:    "fail_t",
		Unit:    "ms",
		Compute: func(*Computation) float64 { return convergenceBoundMS },
	},
	{
		Name:    "fail_election",
		Unit:    "ms",
		Compute: func(*Computation) float64 { return longestElectionSeconds * 1000 },
	},
	{
		Name:    "fail_keeper_in_force",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: func(*Computation) float64 { return longestElectionSeconds*1000 + convergenceBoundMS },
	},
	{
		Name:    "fail_keeper_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("control_in_force_killed_ms_worst_by_followers", gateways),
	},
	{
		Name:  "fail_gateway_worst",
		Unit:  "ms",
		Bound: boundInForceMS,
		Compute: func(c *Computation) float64 {
			worst := 0.0
			for _, fault := range []string{"killed", "slow", "stopped", "mute", "deaf"} {
				worst = max(worst, c.At("scale_in_force_last_ms_gateway_"+fault+"_worst_by_gateways", c.Gateways))
			}
			return worst
		},
	},
	{
		Name:    "restart_every",
		Unit:    "s",
		Compute: func(c *Computation) float64 { return secondsPerDay / c.Restarts },
	},
	{
		Name: "restart_whole_bytes_s",
		Unit: "bytes a second",
		Compute: func(c *Computation) float64 {
			return (c.Restarts + c.Failures) * c.At("version_bytes_by_nodes", c.Nodes) * 4 / 3 / secondsPerDay
		},
	},
}

// regionFailureFigures cover failures of a rack, a zone, all gateways and the link between the regions.
var regionFailureFigures = []Figure{
	{
		Name:    "rack_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_in_force_last_ms_rack_killed_worst_by_gateways", gateways),
	},
	{
		Name:    "zone_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_in_force_last_ms_zone_killed_worst_by_gateways", gateways),
	},
	{
		Name:    "zone_back_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_zone_acts_after_start_ms_worst_by_gateways", gateways),
	},
	{
		Name:    "all_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_all_acts_after_start_ms_worst_by_gateways", gateways),
	},
	{
		Name:    "cut_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_regions_in_force_cut_ms_worst_by_gateways", gateways),
	},
	{
		Name:    "cut_together_worst",
		Unit:    "ms",
		Bound:   boundInForceMS,
		Compute: readAt("scale_regions_together_again_ms_by_gateways", gateways),
	},
	{
		Name:    "cut_drain_wait",
		Unit:    "s",
		Bound:   boundInForceMS / 1000,
		Compute: func(c *Computation) float64 { return c.PartitionSeconds },
	},
	{
		Name:    "cut_drain_wait_zero",
		Unit:    "s",
		Bound:   boundInForceMS / 1000,
		Compute: func(*Computation) float64 { return convergenceBoundMS / 1000 },
	},
	{
		Name:    "cut_unserved_zero",
		Unit:    "s",
		Compute: func(c *Computation) float64 { return c.PartitionSeconds - leaseSeconds },
	},
	{
		Name:    "cut_changes",
		Unit:    "changes",
		Compute: func(c *Computation) float64 { return c.Changes * c.PartitionSeconds / secondsPerDay },
	},
	{
		Name: "cut_catch_up_mb",
		Unit: "MB",
		Compute: func(c *Computation) float64 {
			return math.Round(c.Gateways*3/7) * c.At("version_bytes_by_nodes", c.Nodes) * 4 / 3 / 1e6
		},
	},
}

// lossFigures returns the figures of a failure that removes several gateways and nodes at once. The remaining gateways
// share the load of the lost ones equally. Each lost node is replaced by a successor that takes over its load, so the
// load per node does not change.
func lossFigures(name string, lost func(Size) (gateways, nodes float64)) []Figure {
	loadFactor := func(c *Computation) float64 {
		gateways, _ := lost(c.Size)
		return c.Gateways / (c.Gateways - gateways)
	}
	return []Figure{
		{
			Name: name + "_gateways",
			Unit: "gateways",
			Compute: func(c *Computation) float64 {
				gateways, _ := lost(c.Size)
				return gateways
			},
		},
		{
			Name: name + "_nodes",
			Unit: "nodes",
			Compute: func(c *Computation) float64 {
				_, nodes := lost(c.Size)
				return nodes
			},
		},
		{
			Name:    name + "_connections",
			Unit:    "connections",
			Compute: func(c *Computation) float64 { return c.Connections * loadFactor(c) },
		},
		{
			Name:    name + "_handshakes",
			Unit:    "connections",
			Compute: func(c *Computation) float64 { return c.Connections * (loadFactor(c) - 1) },
		},
		{
			Name:    name + "_requests",
			Unit:    "requests a second",
			Compute: func(c *Computation) float64 { return c.Requests * loadFactor(c) },
		},
		{
			Name:    name + "_core",
			Unit:    "% of a core",
			Compute: func(c *Computation) float64 { return c.At("web_core_by_requests", c.Requests) * loadFactor(c) },
		},
		{
			Name: name + "_mb",
			Unit: "MB",
			Compute: func(c *Computation) float64 {
				program := c.At("web_mb_by_nodes", c.Nodes)
				clients := c.Slope("web_mb_by_connections") * c.Connections * loadFactor(c)
				return program + clients + c.Slope("web_mb_by_node_connections")*c.Nodes
			},
		},
	}
}
