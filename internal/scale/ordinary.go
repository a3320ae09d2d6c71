package scale

import (
	"irispost/internal/scale/meter"
)

const (
	changesPerDay = 950 // in the operators' fleet
	secondsPerDay = 86400

	// disturbedGatewayStride spreads restarts and kills over the gateways of the fleet.
	disturbedGatewayStride = 7
)

// ordinaryRun is the state of a run of the case "ordinary".
type ordinaryRun struct {
	fleet          *Fleet
	result         *Result
	killedReplica  *replicaProcess // nil: none; restarted after the current change
	killedGateways []*Gateway      // at most one; restarted after the current change
	delays         []float64       // of each change, in milliseconds until the last running gateway acted on it
	undisturbed    []float64       // the delays of changes for which nothing was killed or restarted
}

// ordinaryDay condenses a day of operation. It makes changes one after another, each in force everywhere before the
// next, with restarts and kills spread over them. It measures memory and the replicas' directories after each phase.
func ordinaryDay(fleet *Fleet, result *Result) error {
	if err := fleet.measureIdle(result); err != nil {
		return err
	}
	if gateway := fleet.defectiveGateway(); gateway.defects&DefectLostVersion != 0 {
		gateway.defectVersion.Store(fleet.newestVersion + uint64(fleet.Size.Changes)/2)
	}
	run := &ordinaryRun{fleet: fleet, result: result}
	before, startedAt := fleet.traffic.Total(), monotonic()
	usageBefore, err := fleet.replicaUsage()
	if err != nil {
		return err
	}
	if err := run.makeChanges(); err != nil {
		return err
	}
	usageAfter, err := fleet.replicaUsage()
	if err != nil {
		return err
	}
	run.reportDelays()
	run.reportTraffic(before, startedAt)
	if err := run.reportReplicaCPU(usageBefore, usageAfter); err != nil {
		return err
	}
	for what, phases := range result.MemoryByPhase {
		if text := growthViolation(what, phases); text != "" {
			result.Violations = append(result.Violations, text)
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}

// makeChanges makes all changes. It stops early if one does not come into force.
func (r *ordinaryRun) makeChanges() error {
	size := &r.fleet.Size
	phase := 1
	for number := 1; number <= size.Changes; number++ {
		inForce, err := r.makeChange(number)
		if err != nil {
			return err
		}
		if !inForce {
			return nil
		}
		if number < phase*size.Changes/size.Phases {
			continue
		}
		phase++
		if err := r.endPhase(number); err != nil {
			return err
		}
	}
	return nil
}

// makeChange kills or restarts what is scheduled, makes one change, and restarts what was killed once the change is in
// force.
func (r *ordinaryRun) makeChange(number int) (inForce bool, err error) {
	disturbed, err := r.disturb(number)
	if err != nil {
		return false, err
	}
	change, err := r.fleet.propose("an ordinary change", raiseRateLimit)
	if err != nil {
		return false, err
	}
	down := func(gateway *Gateway) bool { return len(r.killedGateways) > 0 && gateway == r.killedGateways[0] }
	if laggards := r.fleet.awaitVersion(change.Version, down); len(laggards) > 0 {
		r.result.addViolation("change %d: %v", number, laggards)
		return false, nil
	}
	slowest := meter.QuantilesOf(r.fleet.activationDelays(change, down)).Worst
	r.delays = append(r.delays, slowest)
	if !disturbed {
		r.undisturbed = append(r.undisturbed, slowest)
	}
	if err := r.repair(); err != nil {
		return false, err
	}
	r.fleet.discardUpdates()
	return true, nil
}

// disturb kills or restarts what is scheduled before a change, and reports whether the change is disturbed.
func (r *ordinaryRun) disturb(number int) (disturbed bool, err error) {
	size := &r.fleet.Size
	gateway := r.fleet.Gateways[number*disturbedGatewayStride%len(r.fleet.Gateways)]
	kill := scheduledEvent(number, size.Changes, size.Kills)
	switch {
	case kill == 1:
		_, follower, err := r.fleet.leader()
		if err != nil {
			return true, err
		}
		follower.kill()
		r.killedReplica = follower
		return true, nil
	case kill > 0:
		r.fleet.kill([]*Gateway{gateway})
		r.killedGateways = append(r.killedGateways, gateway)
		return true, nil
	case scheduledEvent(number, size.Changes, size.Restarts) > 0:
		r.fleet.kill([]*Gateway{gateway})
		return true, r.fleet.start(r.fleet.startable([]*Gateway{gateway}))
	}
	return len(r.killedGateways) > 0 || r.killedReplica != nil, nil
}

// repair restarts what was killed.
func (r *ordinaryRun) repair() error {
	if len(r.killedGateways) > 0 {
		if err := r.fleet.start(r.fleet.startable(r.killedGateways)); err != nil {
			return err
		}
		r.killedGateways = nil
	}
	if r.killedReplica != nil {
		if err := r.fleet.startReplica(r.killedReplica); err != nil {
			return err
		}
		r.killedReplica = nil
	}
	return nil
}

// endPhase audits the fleet and measures memory after a phase.
func (r *ordinaryRun) endPhase(number int) error {
	if err := r.result.audit(r.fleet); err != nil {
		return err
	}
	if err := r.fleet.measureMemory(r.result); err != nil {
		return err
	}
	r.fleet.options.Progress("%d of %d changes in force, the slowest after %.0f ms; memory in MB: %v",
		number, r.fleet.Size.Changes, meter.QuantilesOf(r.delays).Worst, r.result.MemoryByPhase)
	return nil
}

// changeCount returns the number of changes that came into force, or 1 if there are none, as a divisor for means.
func (r *ordinaryRun) changeCount() float64 { return max(float64(len(r.delays)), 1) }

// reportDelays adds the delays of changes to the result and checks the time bound.
func (r *ordinaryRun) reportDelays() {
	delays := meter.QuantilesOf(r.delays)
	r.result.Distributions["in_force_ms"] = delays
	r.result.Distributions["in_force_undisturbed_ms"] = meter.QuantilesOf(r.undisturbed)
	r.result.checkTimeBound("time until a change was in force", delays.Worst, inForceBound)
}

// reportTraffic adds the mean traffic of a gateway to the result: the bytes for each change, beyond those of the idle
// fleet, and the bytes per second on a day with changesPerDay changes.
func (r *ordinaryRun) reportTraffic(before, startedAt int64) {
	figures := r.result.Figures
	seconds := float64(monotonic()-startedAt) / 1e9
	total := float64(r.fleet.traffic.Total()-before) / float64(len(r.fleet.Gateways))
	total -= figures["rest_bytes_s"] * seconds
	figures["change_bytes"] = total / r.changeCount()
	figures["day_bytes_s"] = figures["rest_bytes_s"] + figures["change_bytes"]*changesPerDay/secondsPerDay
}

// reportReplicaCPU adds the processor time that replicas spend on each change to the result.
func (r *ordinaryRun) reportReplicaCPU(before, after []meter.Usage) error {
	leader, _, err := r.fleet.leader()
	if err != nil {
		return err
	}
	for i, replica := range r.fleet.replicas {
		if after[i].CPU <= before[i].CPU { // it was restarted, and the new process counts from 0
			continue
		}
		name := "other_keeper_cpu_ms_change"
		if replica == leader {
			name = "leader_cpu_ms_change"
		}
		r.result.Figures[name] = float64((after[i].CPU - before[i].CPU).Milliseconds()) / r.changeCount()
	}
	return nil
}

// scheduledEvent spreads events evenly over changes. It returns the number of the event that belongs to a change, or 0
// if there is none. Changes and events are numbered from 1.
func scheduledEvent(change, changes, events int) int {
	if events == 0 || change*events/changes == (change-1)*events/changes {
		return 0
	}
	return change * events / changes
}
