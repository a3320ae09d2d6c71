package scale

import (
	"fmt"
	"time"

	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// partitionRun is the state of a run of the case "regions".
type partitionRun struct {
	fleet          *Fleet
	result         *Result
	inMinority     gatewayFilter
	shard          int // the shard whose node is replaced during the partition
	old, successor string
}

// regionPartition cuts the links between the regions. In the region with a majority of the replicas, changes still
// come into force: after the duration of a lease if they conflict with no fallback, and after the duration of the
// fallback if they replace a node. In the other region no change is announced, and gateways serve on their fallback
// until it ends. After the partition, all gateways act on the newest version.
func regionPartition(fleet *Fleet, result *Result) error {
	run := &partitionRun{fleet: fleet, result: result, shard: fleet.Size.Nodes / 2}
	minority := fleet.minorityRegion()
	run.inMinority = fleet.inRegion(minority)
	var minorityAddrs, majorityAddrs []string
	for _, replica := range fleet.replicas {
		if replica.region == minority {
			minorityAddrs = append(minorityAddrs, replica.addr)
		} else {
			majorityAddrs = append(majorityAddrs, replica.addr)
		}
	}
	fleet.setInterRegionFault(rig.Fault{DropForward: true, DropReturn: true})
	operator := fleet.operator
	fleet.operator = &replica.Client{Replicas: majorityAddrs, Timeout: operatorTimeout}
	replacement, err := run.changeInMajority()
	if err != nil {
		return err
	}
	run.checkMinority(minorityAddrs)
	run.heal(replacement)
	fleet.operator = operator
	change, err := fleet.propose("a change together again", raiseRateLimit)
	if err != nil {
		return err
	}
	run.awaitVersion(change, noGateway)
	time.Sleep(fleet.Size.Lease / recoveryDivisor)
	result.checkEndState(fleet, run.shard)
	return nil
}

// awaitVersion waits until all gateways but the excluded ones act on a change, and adds the others to the violations
// at the timeout.
func (r *partitionRun) awaitVersion(change Change, excluded gatewayFilter) {
	r.result.Violations = append(r.result.Violations, r.fleet.awaitVersion(change.Version, excluded)...)
}

// changeInMajority makes both kinds of changes in the majority region and returns the one that replaces a node.
func (r *partitionRun) changeInMajority() (Change, error) {
	change, err := r.fleet.propose("a change while the regions are cut", raiseRateLimit)
	if err != nil {
		return change, err
	}
	r.awaitVersion(change, r.inMinority)
	r.result.Distributions["in_force_cut_ms"] = meter.QuantilesOf(r.fleet.activationDelays(change, r.inMinority))
	old, successor, replaceShard := replaceNode(&r.fleet.Size, r.shard, 1)
	r.old, r.successor = old, successor
	change, err = r.fleet.propose("a node replaced while the regions are cut", replaceShard)
	if err != nil {
		return change, err
	}
	r.awaitVersion(change, r.inMinority)
	r.result.Distributions["replaced_cut_ms"] = meter.QuantilesOf(r.fleet.activationDelays(change, r.inMinority))
	return change, nil
}

// checkMinority checks that the minority region announces no change and that its gateways stop serving. The
// replacement of a node is in force at this point, so the fallbacks, which conflict with it, must have ended.
func (r *partitionRun) checkMinority(replicaAddrs []string) {
	config := r.fleet.config
	client := &replica.Client{Replicas: replicaAddrs, Timeout: 2 * r.fleet.Size.Lease}
	if _, err := r.fleet.proposeBy(client, "a change without a majority", raiseRateLimit); err == nil {
		r.result.addViolation("a change was announced in the region without a majority of the replicas")
	}
	r.fleet.config = config
	serving := len(r.servingInMinority())
	r.result.Violations = append(r.result.Violations, r.fleet.awaitNone(r.servingInMinority)...)
	r.result.Figures["told_late_that_nothing_is_left"] = float64(serving)
}

// servingInMinority describes the gateways in the minority region that still serve.
func (r *partitionRun) servingInMinority() (violations []string) {
	for _, gateway := range r.fleet.Gateways {
		if actingOn := gateway.actingOn(); r.inMinority(gateway) && actingOn != nothingActive {
			violation := fmt.Sprintf("%s acts on %s, want none after the end of its fallback", gateway.Name, actingOn)
			violations = append(violations, violation)
		}
	}
	return violations
}

// heal ends the partition, waits until all gateways act on the replacement, and checks that they switched to the
// successor.
func (r *partitionRun) heal(replacement Change) {
	healedAt := monotonic()
	r.fleet.setInterRegionFault(rig.Fault{})
	r.awaitVersion(replacement, noGateway)
	r.result.Figures["together_again_ms"] = milliseconds(monotonic() - healedAt)
	for _, gateway := range r.fleet.Gateways {
		updates, _ := gateway.observed()
		if _, violation := switchedAt(updates, r.shard, r.old, r.successor); violation != "" {
			r.result.addViolation("%s, shard %d: %s", gateway.Name, r.shard, violation)
		}
	}
}
