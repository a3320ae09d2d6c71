package day

import (
	"os/exec"
	"slices"
	"strings"
	"syscall"

	"irispost/internal/audit"
	"irispost/internal/fleet/rig"
)

// faultSteps returns the steps of a network fault between processes, or of a fault that kills or pauses a process.
func (r *replicaSet) faultSteps(fault FaultPlan) []step {
	switch {
	case len(fault.Between) > 0:
		return r.networkFaultSteps(fault)
	case fault.Action == actionPause:
		name := fault.Replica + fault.Gateway // one of the two is empty
		return []step{
			{fault.At, func() { r.signalProcess(name, syscall.SIGSTOP) }},
			{fault.At + fault.For, func() { r.signalProcess(name, syscall.SIGCONT) }},
		}
	default:
		return r.killReplicaSteps(fault)
	}
}

// networkFaultSteps returns the steps of a fault on the links between two sides, which ends after a time.
func (r *replicaSet) networkFaultSteps(fault FaultPlan) []step {
	linkFault, _ := rig.ParseFault(fault.Action) // valid, as it was checked when the script was parsed
	return []step{
		{fault.At, func() { r.setLinkFault(fault.Between, linkFault, fault.Action) }},
		{fault.At + fault.For, func() { r.setLinkFault(fault.Between, rig.Fault{}, actionRecover) }},
	}
}

// setLinkFault sets the fault of all links between two sides. The description is for the log.
func (r *replicaSet) setLinkFault(sides []string, fault rig.Fault, description string) {
	r.testbed.options.Logf("%s: %s", strings.Join(sides, " - "), description)
	for key, link := range r.links {
		if key.crosses(sides) {
			link.SetFault(fault)
		}
	}
}

// crosses reports whether a link connects the two sides, in either direction. A side is a comma-separated list of
// names.
func (k linkKey) crosses(sides []string) bool {
	on := func(name, side string) bool { return slices.Contains(strings.Split(side, ","), name) }
	return on(k.from, sides[0]) && on(k.to, sides[1]) || on(k.from, sides[1]) && on(k.to, sides[0])
}

// killReplicaSteps returns the steps that kill one or all replicas, and start them again at the end of the fault.
func (r *replicaSet) killReplicaSteps(fault FaultPlan) []step {
	var names []string
	for name := range r.addresses {
		if fault.Replica == name || fault.Replica == allReplicas && strings.HasPrefix(name, replicaPrefix) {
			names = append(names, name)
		}
	}
	return []step{
		{fault.At, func() {
			for _, name := range names {
				r.testbed.options.Logf("%s: killed", name)
				kill(r.removeProcess(name))
			}
		}},
		{fault.At + fault.For, func() {
			for _, name := range names {
				r.testbed.options.Logf("%s: restarting", name)
				if err := r.startReplica(name); err != nil {
					r.testbed.options.Logf("%v", err)
				}
			}
		}},
	}
}

// removeProcess removes a replica's process from the running ones and returns it.
func (r *replicaSet) removeProcess(name string) *exec.Cmd {
	r.lock.Lock()
	defer r.lock.Unlock()
	process := r.processes[name]
	delete(r.processes, name)
	return process
}

// signalProcess sends SIGSTOP or SIGCONT to a replica or a gateway. A process that has already ended is not signalled,
// and that is no error.
func (r *replicaSet) signalProcess(name string, signal syscall.Signal) {
	r.testbed.options.Logf("%s: %v", name, signal)
	r.lock.Lock()
	defer r.lock.Unlock()
	if process := r.processes[name]; process != nil {
		_ = process.Process.Signal(signal)
		return
	}
	for _, g := range r.testbed.gateways {
		if g.name == name {
			g.signal(signal, r.testbed.recorder)
		}
	}
}

// signal sends SIGSTOP or SIGCONT to a gateway's process and records it. The events are added before SIGSTOP and after
// SIGCONT, so that the recorded pause covers the actual one.
func (g *gatewayInstance) signal(signal syscall.Signal, recorder *audit.Recorder) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.process == nil {
		return
	}
	if signal == syscall.SIGSTOP {
		recorder.Add(audit.Event{Type: audit.GatewayPaused, Gateway: g.name})
	}
	_ = g.process.Process.Signal(signal) // fails if the process has already ended
	if signal == syscall.SIGCONT {
		recorder.Add(audit.Event{Type: audit.GatewayResumed, Gateway: g.name})
	}
}
