package scale

import (
	"irispost/internal/scale/meter"
)

// nodeReplacement replaces the nodes of some shards, one after another. It measures when the last gateway sends to
// each successor, by the lists that its scheduler received, and checks that none sends to the old node after that.
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
	result.checkTimeBound("the last gateway that turned to a successor", last.Worst, replacedBound)
	result.checkEndState(fleet, shards...)
	checkNoSwitchBack(fleet, result, shards[:len(lastDelays)])
	return nil
}

// checkNoSwitchBack checks at the end that no gateway went back to a node that was replaced.
func checkNoSwitchBack(fleet *Fleet, result *Result, shards []int) {
	for _, shard := range shards {
		old, successor, _ := replaceNode(&fleet.Size, shard, 1)
		for _, gateway := range fleet.Gateways {
			updates, _ := gateway.observed()
			if _, violation := switchedAt(updates, shard, old, successor); violation != "" {
				result.addViolation("%s, shard %d, looked at again at the end: %s", gateway.Name, shard, violation)
			}
		}
	}
}
