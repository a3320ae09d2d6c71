package scale

import (
	"syscall"

	"irispost/internal/fleet/rig"
)

// fault is a kind of fault. It begins just before a change is proposed and ends once the change is in force at all
// gateways that the fault does not exclude.
type fault struct {
	name  string
	begin func(*Fleet) (activeFault, error)
}

// activeFault is a fault that has begun.
type activeFault struct {
	excluded gatewayFilter // gateways that might receive no change before the fault has ended
	end      func() error
}

const (
	// rackCount is the number of racks of a fleet. The gateways are spread evenly over the racks.
	rackCount = 28

	// slowDelayDivisor is the duration of a lease divided by the delay of a slow gateway.
	slowDelayDivisor = 20
)

// faults lists the faults that the operators named, and those of a single gateway.
var faults = []fault{
	{"none", func(*Fleet) (activeFault, error) { return activeFault{noGateway, noRecovery}, nil }},
	{"gateway_killed", func(f *Fleet) (activeFault, error) {
		return f.killGateways(f.Gateways[faultyGatewayIndex:][:1]), nil
	}},
	{"rack_killed", beginRackKilled},
	{"zone_killed", func(f *Fleet) (activeFault, error) {
		return f.killGateways(f.gatewaysInZone(f.Size.FirstRegionZones - 1)), nil
	}},
	{"keeper_killed", beginFollowerKilled},
	{"leader_killed", beginLeaderKilled},
	{"leader_stopped", beginLeaderStopped},
	{"region_cut", beginRegionCut},
	{"gateway_slow", beginGatewaySlow},
	{"gateway_stopped", beginGatewayPaused},
	{"gateway_mute", func(f *Fleet) (activeFault, error) {
		return f.beginLinkFault(rig.Fault{DropForward: true}), nil
	}},
	{"gateway_deaf", func(f *Fleet) (activeFault, error) {
		return f.beginLinkFault(rig.Fault{DropReturn: true}), nil
	}},
}

// FaultNames returns the names of all faults that the case "in-force" can inject.
func FaultNames() (names []string) {
	for _, fault := range faults {
		names = append(names, fault.name)
	}
	return names
}

func noRecovery() error { return nil }

func beginRackKilled(fleet *Fleet) (activeFault, error) {
	rackSize := max((len(fleet.Gateways)+rackCount-1)/rackCount, 1)
	return fleet.killGateways(fleet.Gateways[faultyGatewayIndex:][:rackSize]), nil
}

func beginFollowerKilled(fleet *Fleet) (activeFault, error) {
	_, follower, err := fleet.leader()
	if err != nil {
		return activeFault{}, err
	}
	return fleet.killReplica(follower), nil
}

func beginLeaderKilled(fleet *Fleet) (activeFault, error) {
	leader, _, err := fleet.leader()
	if err != nil {
		return activeFault{}, err
	}
	return fleet.killReplica(leader), nil
}

func beginLeaderStopped(fleet *Fleet) (activeFault, error) {
	leader, _, err := fleet.leader()
	if err != nil {
		return activeFault{}, err
	}
	process := leader.command.Process
	resume := func() error { return process.Signal(syscall.SIGCONT) }
	return activeFault{noGateway, resume}, process.Signal(syscall.SIGSTOP)
}

func beginRegionCut(fleet *Fleet) (activeFault, error) {
	fleet.setInterRegionFault(rig.Fault{DropForward: true, DropReturn: true})
	minority := fleet.minorityRegion()
	heal := func() error {
		fleet.setInterRegionFault(rig.Fault{})
		return nil
	}
	return activeFault{fleet.inRegion(minority), heal}, nil
}

func beginGatewaySlow(fleet *Fleet) (activeFault, error) {
	gateway := fleet.Gateways[faultyGatewayIndex]
	delay := fleet.Size.Lease / slowDelayDivisor
	gateway.decisionDelay.Store(int64(delay))
	gateway.setLinkFault(rig.Fault{Delay: delay})
	end := func() error {
		gateway.decisionDelay.Store(0)
		gateway.setLinkFault(rig.Fault{})
		return nil
	}
	return activeFault{noGateway, end}, nil
}

func beginGatewayPaused(fleet *Fleet) (activeFault, error) {
	gateway := fleet.Gateways[faultyGatewayIndex]
	gateway.pauseLock.Lock()
	end := func() error {
		gateway.pauseLock.Unlock()
		return nil
	}
	return activeFault{onlyGateway(gateway), end}, nil
}

// killGateways kills gateways. They are excluded, and restarted at the end of the fault.
func (f *Fleet) killGateways(gateways []*Gateway) activeFault {
	f.kill(gateways)
	killed := map[*Gateway]bool{}
	for _, gateway := range gateways {
		killed[gateway] = true
	}
	return activeFault{
		excluded: func(gateway *Gateway) bool { return killed[gateway] },
		end:      func() error { return f.start(f.startable(gateways)) },
	}
}

// killReplica kills a replica and restarts it at the end of the fault. No gateway is excluded.
func (f *Fleet) killReplica(replica *replicaProcess) activeFault {
	replica.kill()
	return activeFault{noGateway, func() error { return f.startReplica(replica) }}
}

// beginLinkFault injects a fault into the links of the faulty gateway.
func (f *Fleet) beginLinkFault(fault rig.Fault) activeFault {
	gateway := f.Gateways[faultyGatewayIndex]
	gateway.setLinkFault(fault)
	end := func() error {
		gateway.setLinkFault(rig.Fault{})
		return nil
	}
	return activeFault{onlyGateway(gateway), end}
}

// setLinkFault injects a fault into the gateway's private links. The zero Fault ends it.
func (g *Gateway) setLinkFault(fault rig.Fault) {
	for _, link := range g.privateLinks {
		link.SetFault(fault)
	}
}

// setInterRegionFault injects a fault into all links between regions. The zero Fault ends it.
func (f *Fleet) setInterRegionFault(fault rig.Fault) {
	for _, link := range f.interRegionLinks {
		link.SetFault(fault)
	}
}

// minorityRegion returns the region with fewer replicas.
func (f *Fleet) minorityRegion() int {
	count := [2]int{}
	for _, region := range f.Size.ReplicaRegions {
		count[region]++
	}
	if count[0] < count[1] {
		return 0
	}
	return 1
}

// inRegion returns a filter that selects the gateways of a region.
func (f *Fleet) inRegion(region int) gatewayFilter {
	return func(gateway *Gateway) bool { return f.Size.region(gateway.zone) == region }
}
