package scale

import (
	"irispost/internal/scale/meter"
)

// nodeReplacement replaces the nodes of some shards, one after another. It measures when gateways switch to each
// successor, according to the lists that their schedulers received, and checks that none switches back to the old
// node.
func nodeReplacement(fleet *Fleet, result *Result) error {
	var lastDelays, allDelays []float64
	var shards []int
	for i := range fleet.Size.Replacements {
		shard := i * (fleet.Size.Nodes / fleet.Size.Replacements)
		shards = append(shards, shard)
		old, successor, change := replaceNode(&fleet.Size, shard, 1)
		proposed, err := fleet.propose("a shard's node is lost", change)
		if err != nil {
			return err
		}
		if i == 1 {
			fleet.defectiveGateway().defectVersion.Store(proposed.Version)
		}
		if laggards := fleet.awaitVersion(proposed.Version, noGateway); len(laggards) > 0 {
			result.Violations = append(result.Violations, laggards...)
			break
		}
		latest := 0.0
		for _, gateway := range fleet.Gateways {
			updates, _ := gateway.observed()
			at, violation := switchedAt(updates, shard, old, successor)
			if violation != "" {
				result.addViolation("%s, shard %d: %s", gateway.Name, shard, violation)
				continue
			}
			delay := milliseconds(at - proposed.ProposedAt)
			allDelays = append(allDelays, delay)
			latest = max(latest, delay)
		}
		lastDelays = append(lastDelays, latest)
	}
	last := meter.QuantilesOf(lastDelays)
	result.Distributions["last_turned_ms"] = last
	result.Distributions["each_turned_ms"] = meter.QuantilesOf(allDelays)
	result.checkTimeBound("time until the last gateway switched to a successor", last.Worst, replacedBound)
	result.checkEndState(fleet, shards...)
	checkNoSwitchBack(fleet, result, shards[:len(lastDelays)])
	return nil
}

// checkNoSwitchBack checks, at the end of the case, that no gateway has switched back to a replaced node.
func checkNoSwitchBack(fleet *Fleet, result *Result, shards []int) {
	for _, shard := range shards {
		old, successor, _ := replaceNode(&fleet.Size, shard, 1)
		for _, gateway := range fleet.Gateways {
			updates, _ := gateway.observed()
			if _, violation := switchedAt(updates, shard, old, successor); violation != "" {
				result.addViolation("%s, shard %d, at the end of the case: %s", gateway.Name, shard, violation)
			}
		}
	}
}
