package day

import (
	"cmp"
	"context"
	"slices"
	"time"

	"irispost/internal/audit"
	"irispost/internal/endpoint"
	"irispost/internal/standin"
)

// step is an action at a time after the start of the scenario.
type step struct {
	at  time.Duration
	run func()
}

// playTimeline runs the scripted faults and changes at their times. It returns at the end of the scenario or when the
// context is done.
func (t *testbed) playTimeline(ctx context.Context) {
	began := time.Now()
	for _, step := range t.timeline() {
		if step.at > t.script.Length {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(step.at))):
			step.run()
		}
	}
}

// timeline returns all steps of the scenario in order of time. An empty step at the end of the scenario makes
// playTimeline wait for it.
func (t *testbed) timeline() []step {
	steps := []step{{t.script.Length, func() {}}}
	for _, fault := range t.script.Faults {
		steps = append(steps, t.faultSteps(fault)...)
	}
	for _, change := range t.script.Fleet.Changes {
		at := change.At
		for round := 0; at <= t.script.Length && (round == 0 || change.Every > 0); round++ {
			steps = append(steps, step{at, func() { t.replicas.applyChange(change, round) }})
			at += change.Every
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// faultSteps returns the steps of a fault.
func (t *testbed) faultSteps(fault FaultPlan) []step {
	switch {
	case fault.Replica != "" || len(fault.Between) > 0 || fault.Action == actionPause:
		return t.replicas.faultSteps(fault)
	case fault.ManagementServer != "":
		return []step{{fault.At, func() { t.commandManagementServer(fault.ManagementServer) }}}
	case fault.Gateway != "":
		return t.killGatewaySteps(fault)
	case fault.Action == actionCrash:
		return t.crashNodeSteps(fault)
	case fault.Action == actionReplace:
		return t.replaceNodeSteps(fault)
	}
	steps := []step{{fault.At, func() { t.commandNode(fault.Node, fault.Action) }}}
	if fault.For > 0 {
		steps = append(steps, step{fault.At + fault.For, func() { t.commandNode(fault.Node, actionRecover) }})
	}
	return steps
}

// commandManagementServer sends a command to the management server. Without one it does nothing, as a list file has
// none of these faults.
func (t *testbed) commandManagementServer(command string) {
	if t.managementServer == nil {
		return
	}
	t.options.Logf("management server: %s", command)
	if err := t.managementServer.Command(command); err != nil {
		t.options.Logf("management server: %v", err)
	}
}

// commandNode sends a command to the present test node of a slot.
func (t *testbed) commandNode(name, command string) {
	t.options.Logf("%s: %s", name, command)
	if err := t.currentNode(name).Command(command); err != nil {
		t.options.Logf("%s: %v", name, err)
	}
}

func (t *testbed) currentNode(name string) *standin.Node {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.nodes[name].node
}

// crashNodeSteps returns the steps of a node crash: the node stops, it is listed as removed after detectionDelay, and
// a new node replaces it at the end of the fault.
func (t *testbed) crashNodeSteps(fault FaultPlan) []step {
	slot := t.nodes[fault.Node]
	var old *standin.Node
	return []step{
		{fault.At, func() {
			old = t.currentNode(fault.Node)
			t.options.Logf("%s: crashed", fault.Node)
			old.Close()
		}},
		{fault.At + detectionDelay, func() { t.setHealth(slot, old.Addr(), endpoint.Removed) }},
		{fault.At + fault.For, func() {
			if t.startReplacement(fault.Node, slot) {
				t.publishListOrLog()
			}
		}},
	}
}

// replaceNodeSteps returns the steps of a replacement: a new node starts, and the old one is listed as draining,
// then as removed, and stops.
func (t *testbed) replaceNodeSteps(fault FaultPlan) []step {
	slot := t.nodes[fault.Node]
	var old *standin.Node
	return []step{
		{fault.At, func() {
			old = t.currentNode(fault.Node)
			if t.startReplacement(fault.Node, slot) {
				t.setHealth(slot, old.Addr(), endpoint.Draining) // publishes both changes as one list
			}
		}},
		{fault.At + drainTime, func() { t.setHealth(slot, old.Addr(), endpoint.Removed) }},
		{fault.At + drainTime + detectionDelay, func() { old.Close() }},
	}
}

// startReplacement starts a new node with slow start in a slot, and reports whether it has started. The caller has to
// publish the endpoint list with the new node.
func (t *testbed) startReplacement(name string, slot *nodeSlot) bool {
	t.options.Logf("%s: starting a replacement with slow start", name)
	if err := t.startNode(slot, true); err != nil {
		t.options.Logf("%s: the replacement did not start: %v", name, err)
		return false
	}
	return true
}

// killGatewaySteps returns the steps that kill a gateway and start it again at the end of the fault.
func (t *testbed) killGatewaySteps(fault FaultPlan) []step {
	index := slices.IndexFunc(t.gateways, func(g *gatewayInstance) bool { return g.name == fault.Gateway })
	g := t.gateways[index]
	return []step{
		{fault.At, func() {
			t.options.Logf("%s: killed", g.name)
			t.recorder.Add(audit.Event{Type: audit.GatewayKilled, Gateway: g.name})
			g.kill()
			if t.replicas != nil {
				t.replicas.collectActivations(g)
			}
		}},
		{fault.At + fault.For, func() {
			t.options.Logf("%s: restarting", g.name)
			if err := t.startGateway(g); err != nil {
				t.options.Logf("%s did not restart: %v", g.name, err)
			}
		}},
	}
}
