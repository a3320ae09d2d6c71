package scale

import (
	"irispost/internal/scale/meter"
)

const (
	changesPerDay = 950 // of the operators' fleet
	secondsPerDay = 86400

	// gatewayStride spreads the gateways that restarts and kills hit over the fleet.
	gatewayStride = 7
)

// ordinaryRun is the case "ordinary" while it runs.
type ordinaryRun struct {
	fleet          *Fleet
	result         *Result
	killedReplica  *replicaProcess  // nil: none; started again after the next change
	killedGateways []*HollowGateway // one at most, started again after the next change
	delays         []float64        // of each change, milliseconds until the last gateway acts on it
	undisturbed    []float64        // those of changes while nothing was down or had just been restarted
}

// ordinaryDay is a day in short: changes one after another, each in force everywhere before the next, with restarts
// and kills spread over them. Memory and folders are measured after each phase.
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
	for what, parts := range result.MemoryByPhase {
		if text := growthViolation(what, parts); text != "" {
			result.Violations = append(result.Violations, text)
		}
	}
	result.checkEndState(fleet, 0)
	return nil
}

// makeChanges makes all changes, or those until one does not get into force.
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

// makeChange disturbs the fleet where that is scheduled, makes one change, and repairs what was killed once the
// change is in force.
func (r *ordinaryRun) makeChange(number int) (inForce bool, err error) {
	disturbed, err := r.disturb(number)
	if err != nil {
		return false, err
	}
	change, err := r.fleet.propose("an ordinary change", raiseLimit)
	if err != nil {
		return false, err
	}
	down := func(gateway *HollowGateway) bool { return len(r.killedGateways) > 0 && gateway == r.killedGateways[0] }
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

// disturb kills or restarts what is scheduled before a change, and tells whether the change meets a disturbance.
func (r *ordinaryRun) disturb(number int) (disturbed bool, err error) {
	size := &r.fleet.Size
	gateway := r.fleet.Gateways[number*gatewayStride%len(r.fleet.Gateways)]
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
		r.fleet.kill([]*HollowGateway{gateway})
		r.killedGateways = append(r.killedGateways, gateway)
		return true, nil
	case scheduledEvent(number, size.Changes, size.Restarts) > 0:
		r.fleet.kill([]*HollowGateway{gateway})
		return true, r.fleet.start(r.fleet.startable([]*HollowGateway{gateway}))
	}
	return len(r.killedGateways) > 0 || r.killedReplica != nil, nil
}

// repair starts what was killed.
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

// endPhase audits and measures after a phase.
func (r *ordinaryRun) endPhase(number int) error {
	if err := r.result.audit(r.fleet); err != nil {
		return err
	}
	if err := r.fleet.measureMemory(r.result); err != nil {
		return err
	}
	r.fleet.options.Note("%d of %d changes, the slowest %.0f ms; MB: %v",
		number, r.fleet.Size.Changes, meter.QuantilesOf(r.delays).Worst, r.result.MemoryByPhase)
	return nil
}

// changeCount returns the number of changes that were in force, for means over them.
func (r *ordinaryRun) changeCount() float64 { return max(float64(len(r.delays)), 1) }

// reportDelays adds the delays of changes to the result.
func (r *ordinaryRun) reportDelays() {
	delays := meter.QuantilesOf(r.delays)
	r.result.Distributions["in_force_ms"] = delays
	r.result.Distributions["in_force_undisturbed_ms"] = meter.QuantilesOf(r.undisturbed)
	r.result.checkTimeBound("in force on an ordinary day", delays.Worst, inForceBound)
}

// reportTraffic adds the bytes of a change and of a day to the result, of the mean gateway.
func (r *ordinaryRun) reportTraffic(before, startedAt int64) {
	figures := r.result.Figures
	seconds := float64(monotonic()-startedAt) / 1e9
	total := float64(r.fleet.traffic.Total()-before) / float64(len(r.fleet.Gateways))
	total -= figures["rest_bytes_s"] * seconds
	figures["change_bytes"] = total / r.changeCount()
	figures["day_bytes_s"] = figures["rest_bytes_s"] + figures["change_bytes"]*changesPerDay/secondsPerDay
}

// reportReplicaCPU adds the processor time that a change takes at replicas to the result.
func (r *ordinaryRun) reportReplicaCPU(before, after []meter.Usage) error {
	leader, _, err := r.fleet.leader()
	if err != nil {
		return err
	}
	for i, replica := range r.fleet.replicas {
		if after[i].CPU <= before[i].CPU { // it was killed: the new process counts from 0
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

// scheduledEvent returns which event, from 1, comes with a change, where a number of events is spread over all
// changes; 0: none.
func scheduledEvent(change, changes, events int) int {
	if events == 0 || change*events/changes == (change-1)*events/changes {
		return 0
	}
	return change * events / changes
}
