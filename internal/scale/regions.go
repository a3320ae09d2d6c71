package scale

import (
	"fmt"
	"time"

	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
)

// partitionRun is the case "regions" while it runs.
type partitionRun struct {
	fleet          *Fleet
	result         *Result
	inMinority     gatewayFilter
	shard          int // whose node is replaced during the partition
	old, successor string
}

// regionPartition cuts the regions from each other. In the region with the majority of the replicas, changes go on:
// one that conflicts with no fallback takes a lease, one that replaces a node takes the fallback's duration. In the
// other none is announced, and gateways serve by their fallback and then not at all. After the partition all act on
// the newest version.
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

// awaitVersion adds the gateways that do not act on a change at the timeout to the violations.
func (r *partitionRun) awaitVersion(change Change, excluded gatewayFilter) {
	r.result.Violations = append(r.result.Violations, r.fleet.awaitVersion(change.Version, excluded)...)
}

// changeInMajority makes both kinds of changes during the partition and returns the second, which replaces a node.
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

// checkMinority checks that the region without a majority announces no change, and that its gateways stop serving.
// The replacement is in force at this point, so that their fallbacks, which conflict with it, are over.
func (r *partitionRun) checkMinority(replicaAddrs []string) {
	config := r.fleet.config
	client := &replica.Client{Replicas: replicaAddrs, Timeout: 2 * r.fleet.Size.Lease}
	if _, err := r.fleet.proposeBy(client, "a change without a majority", raiseRateLimit); err == nil {
		r.result.addViolation("a change was announced where no majority of the keepers is")
	}
	r.fleet.config = config
	serving := len(r.servingInMinority())
	r.result.Violations = append(r.result.Violations, r.fleet.awaitNone(r.servingInMinority)...)
	r.result.Figures["told_late_that_nothing_is_left"] = float64(serving)
}

// servingInMinority names the gateways that still act on something in the region without a majority.
func (r *partitionRun) servingInMinority() (violations []string) {
	for _, gateway := range r.fleet.Gateways {
		if actingOn := gateway.actingOn(); r.inMinority(gateway) && actingOn != nothingActive {
			violation := fmt.Sprintf("%s acts on %s though its floor is over", gateway.Name, actingOn)
			violations = append(violations, violation)
		}
	}
	return violations
}

// heal ends the partition and waits until all gateways act on the replacement.
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
