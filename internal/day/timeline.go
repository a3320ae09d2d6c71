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

// step is something that happens at a time of the scenario.
type step struct {
	at  time.Duration
	run func()
}

// playTimeline runs the scripted faults and changes at their times, until the end of the scenario.
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

// timeline returns all steps of the scenario in their order; one at its end is among them.
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

// commandManagementServer gives the management server a command. A file has none of its faults.
func (t *testbed) commandManagementServer(command string) {
	if t.managementServer == nil {
		return
	}
	t.options.Logf("management server: %s", command)
	if err := t.managementServer.Command(command); err != nil {
		t.options.Logf("management server: %v", err)
	}
}

// commandNode gives the test node that serves a slot now a command.
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

// crashNodeSteps: a node stops, the list shows it, and at the end of the fault a new one takes its place.
func (t *testbed) crashNodeSteps(fault FaultPlan) []step {
	slot := t.nodes[fault.Node]
	var old *standin.Node
	return []step{
		{fault.At, func() {
			old = t.currentNode(fault.Node)
			t.options.Logf("%s dies", fault.Node)
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

// replaceNodeSteps: a new node takes the place of one, which drains and then stops.
func (t *testbed) replaceNodeSteps(fault FaultPlan) []step {
	slot := t.nodes[fault.Node]
	var old *standin.Node
	return []step{
		{fault.At, func() {
			old = t.currentNode(fault.Node)
			if t.startReplacement(fault.Node, slot) {
				t.setHealth(slot, old.Addr(), endpoint.Draining) // the list has both at once
			}
		}},
		{fault.At + drainTime, func() { t.setHealth(slot, old.Addr(), endpoint.Removed) }},
		{fault.At + drainTime + detectionDelay, func() { old.Close() }},
	}
}

// startReplacement starts a node that warms up in a slot, and says whether it runs. The published list does not have
// it yet.
func (t *testbed) startReplacement(name string, slot *nodeSlot) bool {
	t.options.Logf("%s starts anew, cold", name)
	if err := t.startNode(slot, true); err != nil {
		t.options.Logf("%s does not start: %v", name, err)
		return false
	}
	return true
}

// killGatewaySteps: a gateway is killed, and started again at the end of the fault.
func (t *testbed) killGatewaySteps(fault FaultPlan) []step {
	index := slices.IndexFunc(t.gateways, func(g *gatewayInstance) bool { return g.name == fault.Gateway })
	g := t.gateways[index]
	return []step{
		{fault.At, func() {
			t.options.Logf("%s is killed", g.name)
			t.recorder.Add(audit.Event{Type: audit.GatewayKilled, Gateway: g.name})
			g.kill()
			if t.replicas != nil {
				t.replicas.collectActivations(g)
			}
		}},
		{fault.At + fault.For, func() {
			t.options.Logf("%s starts again", g.name)
			if err := t.startGateway(g); err != nil {
				t.options.Logf("%s does not start: %v", g.name, err)
			}
		}},
	}
}
