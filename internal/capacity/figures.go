package capacity

import "math"

// Figures are all of the page, by role and failure.
var Figures = joined(serving, control, leading, other, lists, storage, operator, failures)

func joined(parts ...[]Figure) (all []Figure) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// at is a record read at one of the letter's sizes.
func at(record string, size func(Size) float64) func(*Calc) {
	return func(c *Calc) { c.Value = c.At(record, size(c.Size)) }
}

func gateways(s Size) float64 { return s.Gateways }
func nodes(s Size) float64    { return s.Nodes }
func requests(s Size) float64 { return s.Requests }
func volumes(s Size) float64  { return s.Volumes }

// serving is a gateway's part for its clients.
var serving = []Figure{
	{Name: "serving_requests", Unit: "requests a second", Work: func(c *Calc) { c.Value = c.Requests }},
	{Name: "serving_rounds", Unit: "rounds a second", Work: func(c *Calc) { c.Value = roundsPerAim / aim }},
	{Name: "serving_module_us", Unit: "us a request", Work: at("module_request_us_by_nodes", nodes)},
	{Name: "serving_module_core", Unit: "% of a core", Work: func(c *Calc) { c.Value = c.At("module_request_us_by_nodes", c.Nodes) * c.Requests / 1e4 }},
	{Name: "serving_walk_core", Unit: "% of a core", Work: func(c *Calc) {
		c.Value = c.Slope("module_request_us_by_nodes") * c.Nodes * c.Requests / 1e4
	}},
	{Name: "serving_home_core", Unit: "% of a core", Work: func(c *Calc) {
		c.Value = (c.Requests*(grown(c, "module_request_us_by_nodes")-2*grown(c, "module_decision_us_by_nodes")) -
			roundsPerAim/aim*grown(c, "module_round_us_by_nodes")) / 1e4
	}},
	{Name: "serving_decision_core", Unit: "% of a core", Work: func(c *Calc) { // two a request, where each comes alone
		c.Value = 2 * c.Requests * grown(c, "module_decision_us_by_nodes") / 1e4
	}},
	{Name: "serving_round_core", Unit: "% of a core", Work: func(c *Calc) {
		c.Value = roundsPerAim / aim * c.At("module_round_us_by_nodes", c.Nodes) / 1e4
	}},
	{Name: "serving_module_us_gathered", Unit: "us a request", Work: at("module_gathered_us_by_nodes", nodes)},
	{Name: "serving_module_us_volumes", Unit: "us a request", Work: at("module_request_us_by_volumes", volumes)},
	{Name: "serving_module_us_flows", Unit: "us a request", Work: at("module_request_us_by_flows", func(Size) float64 { return 1024 })},
	{Name: "serving_core_flows", Unit: "% of a core", Work: func(c *Calc) { // each volume has met each node: what one more flow costs, times as many
		c.Value = c.Slope("module_request_us_by_flows") * c.Volumes * c.Requests / 1e4
	}},
	{Name: "serving_core", Unit: "% of a core", Work: at("web_core_by_requests", requests)},
	{Name: "serving_core_rest", Unit: "% of a core", Work: at("web_rest_core_by_nodes", nodes)},
	{Name: "serving_list_us", Unit: "us a list", Work: at("module_list_us_by_nodes", nodes)},
	{Name: "serving_module_mb", Unit: "MB", Work: func(c *Calc) {
		c.Value = (c.At("module_kb_by_nodes", c.Nodes) + c.Slope("module_kb_by_volumes")*c.Volumes) / 1e3
	}},
	{Name: "serving_flows_mb", Unit: "MB", Work: func(c *Calc) { c.Value = c.Slope("module_kb_by_flows") * c.Volumes * c.Nodes / 1e3 }},
	{Name: "serving_flows_day_mb", Unit: "MB a day", Work: func(c *Calc) { // pairs of volume and node that are met by chance for the first time
		pairs := c.Volumes * c.Nodes
		met := pairs * (1 - math.Exp(-c.Requests*daySeconds/pairs))
		c.Value = c.Slope("module_kb_by_flows") * met / 1e3
	}},
	{Name: "serving_client_kb", Unit: "KB", Work: func(c *Calc) { c.Value = 1e3 * c.Slope("web_mb_by_connections") }},
	{Name: "serving_half_kb", Unit: "KB", Work: func(c *Calc) { c.Value = 1e3 * c.Slope("web_mb_by_half_requests") }},
	{Name: "serving_node_kb", Unit: "KB", Work: func(c *Calc) { c.Value = 1e3 * c.Slope("web_mb_by_node_connections") }},
	{Name: "serving_mb", Unit: "MB", Work: func(c *Calc) { // the program with its list, clients that rest, and a connection to each node
		c.Value = c.At("web_mb_by_nodes", c.Nodes) + c.Slope("web_mb_by_connections")*c.Connections + c.Slope("web_mb_by_node_connections")*c.Nodes
	}},
	{Name: "serving_busy_mb", Unit: "MB", Work: at("web_mb_by_requests", requests)},
	{Name: "serving_half_mb", Unit: "MB", Work: func(c *Calc) { // all clients stop in the middle of a request
		c.Value = c.At("web_mb_by_nodes", c.Nodes) + c.Slope("web_mb_by_half_requests")*c.Connections + c.Slope("web_mb_by_node_connections")*c.Nodes
	}},
	{Name: "serving_client_bytes", Unit: "bytes a request", Work: func(c *Calc) { c.Value = c.At("web_client_bytes_by_body", 1) - 2 }},
	{Name: "serving_node_bytes", Unit: "bytes a request", Work: func(c *Calc) { c.Value = c.At("web_node_bytes_by_body", 1) - 2 }},
	{Name: "serving_head_bytes_s", Unit: "KB a second", Work: func(c *Calc) {
		c.Value = (c.At("web_client_bytes_by_body", 1) + c.At("web_node_bytes_by_body", 1) - 4) * c.Requests / 1e3
	}},
	{Name: "serving_node_connections", Unit: "connections", Work: func(c *Calc) { c.Value = kept(c) * c.Nodes }},
	{Name: "serving_sockets", Unit: "sockets", Work: func(c *Calc) {
		c.Value = math.Ceil(max(c.Connections/crowdShare, kept(c)*c.Nodes/nodeShare))
	}},
	{Name: "serving_reopened", Unit: "client handshakes a second", Work: func(c *Calc) { // a gap of over 20 s ends a client's connection
		c.Value = c.Requests * math.Exp(-idleClient*c.Requests/c.Connections)
	}},
}

// grown is what a record has grown by since 16 nodes.
func grown(c *Calc, record string) float64 { return c.At(record, c.Nodes) - c.At(record, 16) }

// kept is the connections that a gateway keeps to a node: one, as requests of a pair come one at a time nearly always, while its gaps stay
// under four fifths of what nodes allow.
func kept(c *Calc) float64 { return 1 - math.Exp(-c.Pair()*idleClose*0.8) }

// control is a gateway's following of versions, with lists and cold budgets.
var control = []Figure{
	{Name: "control_rest_bytes_s", Unit: "bytes a second", Bound: controlBytes, Goal: goalRest, Work: at("control_rest_bytes_s_by_followers", gateways)},
	{Name: "control_change_bytes", Unit: "bytes a change", Goal: goalChange, Work: at("control_change_bytes_by_followers", gateways)},
	{Name: "control_day_bytes_s", Unit: "bytes a second", Bound: controlBytes, Goal: goalDay, Work: func(c *Calc) {
		c.Value = c.At("control_rest_bytes_s_by_followers", c.Gateways) + c.At("control_change_bytes_mean_by_followers", c.Gateways)*c.Changes/daySeconds
	}},
	{Name: "control_rest_core", Unit: "% of a core", Bound: controlCore, Goal: goalCore, Work: func(c *Calc) {
		c.Value = 100 * c.At("control_follower_core_by_followers", c.Gateways)
	}},
	{Name: "control_day_core", Unit: "% of a core", Bound: controlCore, Work: func(c *Calc) {
		c.Value = 100 * c.At("control_follower_core_day_by_followers", c.Gateways)
	}},
	{Name: "control_mb", Unit: "MB", Bound: controlMB, Goal: goalMB, Work: at("control_follower_mb_by_followers", gateways)},
	{Name: "control_messages", Unit: "asks a second", Work: func(c *Calc) { c.Value = 2/lease + 1/newsHold }},
	{Name: "control_in_force_p50", Unit: "ms", Bound: inForceMS, Goal: goalInForce, Work: at("control_in_force_ms_p50_by_followers", gateways)},
	{Name: "control_in_force_p99", Unit: "ms", Bound: inForceMS, Goal: goalInForce, Work: at("control_in_force_ms_p99_by_followers", gateways)},
	{Name: "control_in_force_worst", Unit: "ms", Bound: inForceMS, Goal: goalInForce, Work: at("control_in_force_ms_worst_by_followers", gateways)},
	{Name: "control_first_start_ms", Unit: "ms", Work: at("control_first_start_ms_by_followers", gateways)},
	{Name: "control_again_ms", Unit: "ms", Work: at("control_again_ms_by_followers", gateways)},
	{Name: "control_replaced_worst", Unit: "ms", Bound: replacedMS, Work: at("scale_replaced_last_turned_ms_worst_by_gateways", gateways)},
	{Name: "control_list_bytes_s", Unit: "bytes a second", Bound: controlBytes, Work: func(c *Calc) {
		c.Value = c.At("list_call_bytes_by_nodes", c.Nodes)/listHold + c.At("list_change_bytes_by_nodes", c.Nodes)*c.Changes/daySeconds
	}},
	{Name: "control_list_whole_ms", Unit: "ms", Work: at("list_whole_take_ms_by_nodes", nodes)},
	{Name: "control_list_core", Unit: "% of a core", Bound: controlCore, Work: func(c *Calc) {
		c.Value = (c.At("list_take_us_by_nodes", c.Nodes) + c.At("module_list_us_by_nodes", c.Nodes)) * c.Changes / daySeconds / 1e4
	}},
	{Name: "control_cold_worst", Unit: "of the way from N calls to the bound", Bound: 1, Work: at("cold_worst_by_gateways", gateways)},
	{Name: "control_cold_mean", Unit: "calls in 4 s", Work: at("cold_calls_by_gateways", gateways)},
}

// leading is the keeper that leads.
var leading = []Figure{
	{Name: "leading_messages", Unit: "asks a second", Work: func(c *Calc) { c.Value = c.Gateways * (2/lease + 1/newsHold) }},
	{Name: "leading_out_mb", Unit: "MB a change", Goal: goalLeaderMB, Work: func(c *Calc) { c.Value = c.At("control_leader_out_bytes_change_by_followers", c.Gateways) / 1e6 }},
	{Name: "leading_out_day_gb", Unit: "GB a day", Work: func(c *Calc) {
		c.Value = (c.At("control_leader_out_bytes_change_by_followers", c.Gateways)*c.Changes + c.Gateways*c.At("control_rest_bytes_s_by_followers", c.Gateways)*daySeconds) / 1e9
	}},
	{Name: "leading_core", Unit: "% of a core", Work: func(c *Calc) { c.Value = 100 * c.At("control_keeper_core_by_followers", c.Gateways) }},
	{Name: "leading_mb", Unit: "MB", Work: at("control_keeper_mb_by_followers", gateways)},
	{Name: "leading_mb_history", Unit: "times what it was after 500 changes", Goal: goalHistory, Work: func(c *Calc) {
		c.Value = c.At("history_keeper_mb_by_changes", 10_000) / c.At("history_keeper_mb_by_changes", 500)
	}},
	{Name: "leading_folder_history", Unit: "times what it was after 500 changes", Goal: goalHistory, Work: func(c *Calc) {
		c.Value = c.At("history_folder_bytes_by_changes", 10_000) / c.At("history_folder_bytes_by_changes", 500)
	}},
	{Name: "leading_start_ms", Unit: "ms", Goal: goalStart, Work: at("history_start_ms_by_nodes", nodes)},
	{Name: "other_join_mb", Unit: "MB", Goal: goalKeeperMB, Work: func(c *Calc) { c.Value = c.At("history_join_bytes_by_nodes", c.Nodes) / 1e6 }},
	{Name: "leading_connections", Unit: "connections", Work: func(c *Calc) { c.Value = 2 * c.Gateways }},
}

// other is a keeper that does not lead.
var other = []Figure{
	{Name: "other_core", Unit: "% of a core", Work: func(c *Calc) { c.Value = 100 * c.At("control_keeper_core_others_by_followers", c.Gateways) }},
	{Name: "other_mb", Unit: "MB", Work: at("control_keeper_mb_others_by_followers", gateways)},
	{Name: "other_messages", Unit: "a second", Work: func(c *Calc) { c.Value = 1 / 0.025 }}, // asks are gathered for half a tick
	{Name: "other_change_bytes", Unit: "KB", Work: func(c *Calc) { c.Value = c.At("version_bytes_by_nodes", c.Nodes) / 1e3 }},
}

// lists is the service that gateways without keepers ask.
var lists = []Figure{
	{Name: "lists_held", Unit: "calls held", Work: func(c *Calc) { c.Value = c.Gateways }},
	{Name: "lists_calls", Unit: "calls a second", Work: func(c *Calc) { c.Value = c.Gateways/listHold + c.Gateways*c.Changes/daySeconds }},
	{Name: "lists_whole_bytes", Unit: "KB", Work: func(c *Calc) { c.Value = c.At("list_whole_bytes_by_nodes", c.Nodes) / 1e3 }},
	{Name: "lists_rest_bytes_s", Unit: "KB a second", Work: func(c *Calc) { c.Value = c.Gateways * c.At("list_call_bytes_by_nodes", c.Nodes) / listHold / 1e3 }},
	{Name: "lists_change_bytes", Unit: "KB a change, to all", Work: func(c *Calc) { c.Value = c.Gateways * c.At("list_change_bytes_by_nodes", c.Nodes) / 1e3 }},
	{Name: "lists_make_ms", Unit: "ms", Work: at("list_make_ms_by_nodes", nodes)},
	{Name: "lists_return_ms", Unit: "ms", Work: at("list_return_ms_by_gateways", gateways)},
	{Name: "lists_return_calls", Unit: "calls", Work: at("list_return_calls_by_gateways", gateways)},
	{Name: "lists_return_mb", Unit: "MB", Work: func(c *Calc) {
		c.Value = c.Gateways * c.At("list_whole_bytes_by_nodes", c.Nodes) / 1e6
	}},
	{Name: "lists_return_core", Unit: "s of a core", Work: func(c *Calc) { c.Value = c.Gateways * c.At("list_make_ms_by_nodes", c.Nodes) / 1e3 }},
}

// storage is a storage node as its gateways load it.
var storage = []Figure{
	{Name: "storage_requests", Unit: "requests a second", Work: func(c *Calc) { c.Value = c.AtNode() }},
	{Name: "storage_connections", Unit: "connections", Work: func(c *Calc) { c.Value = kept(c) * c.Gateways }},
	{Name: "storage_handshakes", Unit: "handshakes a second", Work: func(c *Calc) { c.Value = c.AtNode() * math.Exp(-c.Pair()*idleClose*0.8) }},
	{Name: "storage_handshakes_short", Unit: "handshakes a second", Work: func(c *Calc) { c.Value = c.AtNode() * math.Exp(-c.Pair()*0.8) }},
	{Name: "storage_handshakes_none", Unit: "handshakes a second", Work: func(c *Calc) { c.Value = c.AtNode() }},
	{Name: "storage_handshake_us", Unit: "us", Work: func(c *Calc) {
		c.Value = c.At("node_open_us_by_nodes", c.Nodes) - c.At("node_reuse_us_by_nodes", c.Nodes)
	}},
	{Name: "storage_restarts", Unit: "handshakes a day", Work: func(c *Calc) { c.Value = kept(c) * (c.Restarts + c.Failures) }},
	{Name: "storage_anew_s", Unit: "s", Work: func(c *Calc) { // each with its next request of the pair; 99 in 100
		c.Value = math.Log(100) / c.Pair()
	}},
	{Name: "storage_head_bytes_s", Unit: "KB a second", Work: func(c *Calc) { c.Value = (c.At("web_node_bytes_by_body", 1) - 2) * c.AtNode() / 1e3 }},
}

// operator is the tool that proposes, shows and compares versions.
var operator = []Figure{
	{Name: "operator_version_bytes", Unit: "KB a version", Work: func(c *Calc) { c.Value = c.At("version_bytes_by_nodes", c.Nodes) / 1e3 }},
	{Name: "operator_make_ms", Unit: "ms", Work: at("version_make_ms_by_nodes", nodes)},
	{Name: "operator_read_ms", Unit: "ms", Work: at("version_read_ms_by_nodes", nodes)},
	{Name: "operator_contradict_ms", Unit: "ms", Work: at("version_compare_ms_by_nodes", nodes)},
	{Name: "operator_mb", Unit: "MB", Work: func(c *Calc) { c.Value = c.At("version_kb_by_nodes", c.Nodes) / 1e3 }},
	{Name: "operator_changes", Unit: "s", Work: func(c *Calc) { c.Value = daySeconds / c.Changes }},
	{Name: "operator_audit_mb", Unit: "MB a year", Work: func(c *Calc) {
		c.Value = c.At("version_bytes_by_nodes", c.Nodes) * c.Changes * 365 / 1e6
	}},
}
