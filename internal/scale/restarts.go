package scale

import (
	"slices"

	"irispost/internal/scale/meter"
)

// zoneRestart kills all gateways of the first region's last zone, makes a change, and restarts them at once.
func zoneRestart(fleet *Fleet, result *Result) error {
	return restartTogether(fleet, result, fleet.gatewaysInZone(fleet.Size.FirstRegionZones-1))
}

// fleetRestart kills all gateways of the fleet, makes a change, and restarts them at once.
func fleetRestart(fleet *Fleet, result *Result) error {
	return restartTogether(fleet, result, fleet.Gateways)
}

func restartTogether(fleet *Fleet, result *Result, gateways []*Gateway) error {
	result.Figures["killed"] = float64(len(gateways))
	fleet.kill(gateways)
	change, err := fleet.propose("a change while gateways are not there", raiseRateLimit)
	if err != nil {
		return err
	}
	killed := func(gateway *Gateway) bool { return slices.Contains(gateways, gateway) }
	if len(gateways) < len(fleet.Gateways) {
		result.Violations = append(result.Violations, fleet.awaitVersion(change.Version, killed)...)
		meanwhile := meter.QuantilesOf(fleet.activationDelays(change, killed))
		result.Distributions["in_force_meanwhile_ms"] = meanwhile
		result.checkTimeBound("time until a change was in force at the running gateways", meanwhile.Worst, inForceBound)
	}
	startedAt := monotonic()
	if err := fleet.start(fleet.startable(gateways)); err != nil {
		return err
	}
	result.Violations = append(result.Violations, fleet.awaitVersion(change.Version, noGateway)...)
	var delays []float64
	for _, gateway := range gateways {
		updates, _ := gateway.observed()
		if at, ok := actingSince(updates, change.Version); ok {
			delays = append(delays, milliseconds(at-startedAt))
		}
	}
	afterStart := meter.QuantilesOf(delays)
	result.Distributions["acts_after_start_ms"] = afterStart
	result.checkTimeBound("time until the last restarted gateway acted on the change", afterStart.Worst, inForceBound)
	result.checkEndState(fleet, 0, fleet.Size.Nodes-1)
	return nil
}

// startable returns the gateways without those that DefectNotRestarted keeps from being restarted.
func (f *Fleet) startable(gateways []*Gateway) []*Gateway {
	return slices.DeleteFunc(slices.Clone(gateways), func(gateway *Gateway) bool {
		return gateway.defects&DefectNotRestarted != 0
	})
}

// rollingRestart restarts all gateways in batches, with a change during each. A batch is restarted once all gateways
// act on the change of the previous one.
func rollingRestart(fleet *Fleet, result *Result) error {
	startedAt, batches := monotonic(), 0.0
	for batch := range slices.Chunk(fleet.Gateways, fleet.Size.RestartBatch) {
		fleet.kill(batch)
		change, err := fleet.propose("a change in the middle of a rolling restart", raiseRateLimit)
		if err != nil {
			return err
		}
		if err := fleet.start(fleet.startable(batch)); err != nil {
			return err
		}
		if laggards := fleet.awaitVersion(change.Version, noGateway); len(laggards) > 0 {
			result.Violations = append(result.Violations, laggards...)
			break
		}
		batches++
	}
	result.Figures["waves"] = batches
	result.Figures["wave_ms"] = milliseconds(monotonic()-startedAt) / max(batches, 1)
	result.checkEndState(fleet, 0, fleet.Size.Nodes-1)
	return nil
}
