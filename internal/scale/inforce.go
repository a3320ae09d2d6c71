package scale

import (
	"slices"
	"time"

	"irispost/internal/scale/meter"
)

// recoveryDivisor is how many times the rest after a fault fits into a lease: what its end has set off is over then.
const recoveryDivisor = 10

// faultDelays are the measurements of all changes under one fault, in milliseconds from each proposal.
type faultDelays struct {
	announced []float64
	each      []float64 // of each change and gateway
	last      []float64 // of each change, the last gateway
}

// changesUnderFaults makes changes under each single fault.
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
				result.addViolation("under %s: %v", fault.name, violations)
				return nil
			}
			fleet.discardUpdates()
			time.Sleep(fleet.Size.Lease / recoveryDivisor)
		}
		delays.report(fault.name, result)
		fleet.options.Progress("under %s, ms: %+v", fault.name, result.Distributions["in_force_ms."+fault.name])
		if err := result.audit(fleet); err != nil {
			return err
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}

// changeUnderFault makes a change while a fault lasts, and waits until all gateways act on it after the fault's end.
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

// report adds the distributions to a result and checks the bound of time.
func (d *faultDelays) report(faultName string, result *Result) {
	last := meter.QuantilesOf(d.last)
	result.Distributions["in_force_ms."+faultName] = meter.QuantilesOf(d.each)
	result.Distributions["last_ms."+faultName] = last
	result.Distributions["announced_ms."+faultName] = meter.QuantilesOf(d.announced)
	result.checkTimeBound("in force under "+faultName, last.Worst, inForceBound)
}
