package capacity

import "math"

// failures are what each failure of the letter costs those that are left.
var failures = joined(
	[]Figure{
		{Name: "fail_t", Unit: "ms", Work: func(c *Calc) { c.Value = statedT }},
		{Name: "fail_election", Unit: "ms", Work: func(c *Calc) { c.Value = electionLong * 1000 }},
		{Name: "fail_keeper_in_force", Unit: "ms", Bound: inForceMS, Work: func(c *Calc) { c.Value = electionLong*1000 + statedT }},
		{Name: "fail_keeper_worst", Unit: "ms", Bound: inForceMS, Work: at("control_in_force_killed_ms_worst_by_followers", gateways)},
		{Name: "fail_gateway_worst", Unit: "ms", Bound: inForceMS, Work: func(c *Calc) {
			for _, fault := range []string{"killed", "slow", "stopped", "mute", "deaf"} {
				c.Value = max(c.Value, c.At("scale_in_force_last_ms_gateway_"+fault+"_worst_by_gateways", c.Gateways))
			}
		}},
		{Name: "restart_every", Unit: "s", Work: func(c *Calc) { c.Value = daySeconds / c.Restarts }},
		{Name: "restart_whole_bytes_s", Unit: "bytes a second", Work: func(c *Calc) {
			c.Value = (c.Restarts + c.Failures) * c.At("version_bytes_by_nodes", c.Nodes) * 4 / 3 / daySeconds
		}},
	},
	lost("machine", func(Size) (float64, float64) { return 1, 0 }),
	lost("rack", func(s Size) (float64, float64) { return math.Ceil(s.Gateways / s.Racks), math.Floor(s.Nodes / s.Racks) }),
	lost("zone", func(s Size) (float64, float64) { return s.ZoneGateways, s.ZoneNodes }),
	[]Figure{
		{Name: "rack_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_in_force_last_ms_rack_killed_worst_by_gateways", gateways)},
		{Name: "zone_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_in_force_last_ms_zone_killed_worst_by_gateways", gateways)},
		{Name: "zone_back_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_zone_acts_after_start_ms_worst_by_gateways", gateways)},
		{Name: "all_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_all_acts_after_start_ms_worst_by_gateways", gateways)},
		{Name: "cut_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_regions_in_force_cut_ms_worst_by_gateways", gateways)},
		{Name: "cut_together_worst", Unit: "ms", Bound: inForceMS, Work: at("scale_regions_together_again_ms_by_gateways", gateways)},
		{Name: "cut_drain_wait", Unit: "s", Bound: inForceMS / 1000, Work: func(c *Calc) { c.Value = c.Cut }},
		{Name: "cut_drain_wait_zero", Unit: "s", Bound: inForceMS / 1000, Work: func(c *Calc) { c.Value = statedT / 1000 }},
		{Name: "cut_unserved_zero", Unit: "s", Work: func(c *Calc) { c.Value = c.Cut - lease }},
		{Name: "cut_changes", Unit: "changes", Work: func(c *Calc) { c.Value = c.Changes * c.Cut / daySeconds }},
		{Name: "cut_catch_up_mb", Unit: "MB", Work: func(c *Calc) {
			c.Value = math.Round(c.Gateways*3/7) * c.At("version_bytes_by_nodes", c.Nodes) * 4 / 3 / 1e6
		}},
	},
)

// lost are the figures of a failure that takes so many gateways and nodes at once. What the lost gateways had goes to those that are left, in
// equal parts; what the lost nodes had goes to their successors, so that the load of a node is as it was.
func lost(name string, of func(Size) (gateways, nodes float64)) []Figure {
	spread := func(c *Calc) float64 {
		g, _ := of(c.Size)
		return c.Gateways / (c.Gateways - g)
	}
	return []Figure{
		{Name: name + "_gateways", Unit: "gateways", Work: func(c *Calc) { c.Value, _ = of(c.Size) }},
		{Name: name + "_nodes", Unit: "nodes", Work: func(c *Calc) { _, c.Value = of(c.Size) }},
		{Name: name + "_connections", Unit: "connections", Work: func(c *Calc) { c.Value = c.Connections * spread(c) }},
		{Name: name + "_handshakes", Unit: "connections", Work: func(c *Calc) { c.Value = c.Connections * (spread(c) - 1) }},
		{Name: name + "_requests", Unit: "requests a second", Work: func(c *Calc) { c.Value = c.Requests * spread(c) }},
		{Name: name + "_core", Unit: "% of a core", Work: func(c *Calc) { c.Value = c.At("web_core_by_requests", c.Requests) * spread(c) }},
		{Name: name + "_mb", Unit: "MB", Work: func(c *Calc) {
			c.Value = c.At("web_mb_by_nodes", c.Nodes) + c.Slope("web_mb_by_connections")*c.Connections*spread(c) + c.Slope("web_mb_by_node_connections")*c.Nodes
		}},
	}
}
