package scale

import (
	"slices"
	"time"

	"irispost/internal/scale/meter"
)

// recoveryDivisor is the duration of a lease divided by the pause after a change. In the pause, the fleet settles
// after the end of a fault.
const recoveryDivisor = 10

// faultDelays holds the delays of all changes under one fault, in milliseconds from the proposal of each.
type faultDelays struct {
	announced []float64 // until the replicas announced each change
	each      []float64 // until each gateway acted on each change
	last      []float64 // until the last gateway acted on each change
}

// changesUnderFaults makes changes under each fault in turn, or under those that the size names.
func changesUnderFaults(fleet *Fleet, result *Result) error {
	for _, fault := range faults {
		if len(fleet.Size.Faults) > 0 && !slices.Contains(fleet.Size.Faults, fault.name) {
			continue
		}
		delays := &faultDelays{}
		for round := range fleet.Size.ChangesPerFault {
			violations, err := changeUnderFault(fleet, fault, round, delays)
			if err != nil {
				return err
			}
			if len(violations) > 0 {
				result.addViolation("fault %s: %v", fault.name, violations)
				return nil
			}
			fleet.discardUpdates()
			time.Sleep(fleet.Size.Lease / recoveryDivisor)
		}
		delays.report(fault.name, result)
		fleet.options.Progress("delays under fault %s, ms: %+v", fault.name, result.Distributions["in_force_ms."+fault.name])
		if err := result.audit(fleet); err != nil {
			return err
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}

// changeUnderFault makes a change during a fault, ends the fault, and waits until all gateways act on the change.
func changeUnderFault(fleet *Fleet, fault fault, round int, delays *faultDelays) (violations []string, err error) {
	active, err := fault.begin(fleet)
	if err != nil {
		return nil, err
	}
	change, err := fleet.propose("a change under "+fault.name, raiseRateLimit)
	if err != nil {
		return nil, err
	}
	delays.announced = append(delays.announced, milliseconds(monotonic()-change.ProposedAt))
	if round == 0 {
		fleet.defectiveGateway().defectVersion.Store(change.Version)
	}
	violations = fleet.awaitVersion(change.Version, active.excluded)
	each := fleet.activationDelays(change, active.excluded)
	delays.each = append(delays.each, each...)
	delays.last = append(delays.last, meter.QuantilesOf(each).Worst)
	if err := active.end(); err != nil {
		return nil, err
	}
	return append(violations, fleet.awaitVersion(change.Version, noGateway)...), nil
}

// report adds the distributions to a result and checks the time bound.
func (d *faultDelays) report(faultName string, result *Result) {
	last := meter.QuantilesOf(d.last)
	result.Distributions["in_force_ms."+faultName] = meter.QuantilesOf(d.each)
	result.Distributions["last_ms."+faultName] = last
	result.Distributions["announced_ms."+faultName] = meter.QuantilesOf(d.announced)
	result.checkTimeBound("time until a change was in force under fault "+faultName, last.Worst, inForceBound)
}
