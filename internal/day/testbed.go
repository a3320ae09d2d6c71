package day

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"irispost/internal/audit"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/standin"
	"irispost/internal/xdsstandin"
)

const (
	anyLoopbackPort = "127.0.0.1:0"
	detectionDelay  = 500 * time.Millisecond // until the endpoint list shows that a node has failed
	listDelay       = time.Second            // until gateways have a list, at most
	drainTime       = 3 * time.Second        // a node that is replaced drains for so long
	clusterCount    = 2                      // clusters that a management server spreads the nodes over
)

// Values of Options.EndpointSource.
const (
	sourceFile            = "own"
	sourceIncremental     = "delta" // incremental xDS
	sourceStateOfTheWorld = "whole" // state-of-the-world xDS
)

// testbed is what a scenario runs on.
type testbed struct {
	script           *Script
	options          Options
	config           *config.Config
	configText       string // as the file has it
	dir              string // of files for this scenario
	recorder         *audit.Recorder
	clock            gateway.Clock
	nodes            map[string]*nodeSlot
	gateways         []*gatewayInstance
	managementServer *xdsstandin.Server // nil: the list is a file
	replicas         *replicaSet        // nil: none

	lock sync.Mutex // guards the node and listed of each nodeSlot, and the order in which lists are published
}

// nodeSlot is a node of the script: its data, and the test node that serves it now.
type nodeSlot struct {
	plan   NodePlan
	store  *standin.Store
	node   *standin.Node
	listed []endpoint.Node // as the endpoint list has it: the present one and those that leave
}

// start starts nodes, replicas and gateways, and publishes the first endpoint list.
func (t *testbed) start() error {
	stores := map[int]*standin.Store{} // by shard
	for _, plan := range t.script.Nodes {
		if stores[plan.Shard] == nil {
			store, err := standin.NewStore("")
			if err != nil {
				return err
			}
			stores[plan.Shard] = store
		}
		slot := &nodeSlot{plan: plan, store: stores[plan.Shard]}
		t.nodes[plan.Name] = slot
		if err := t.startNode(slot, false); err != nil {
			return err
		}
	}
	if err := t.startManagementServer(); err != nil {
		return err
	}
	if t.script.Fleet.Replicas > 0 {
		if err := t.startReplicas(); err != nil {
			return err
		}
	}
	if err := t.publishList(); err != nil {
		return err
	}
	for i := range t.script.Gateways {
		g := &gatewayInstance{name: gatewayName(i + 1)}
		g.configFile = filepath.Join(t.dir, g.name+".hcl")
		t.gateways = append(t.gateways, g)
		if err := t.startGateway(g); err != nil {
			return err
		}
	}
	return nil
}

// startManagementServer starts a management server where the options ask for one.
func (t *testbed) startManagementServer() error {
	switch t.options.EndpointSource {
	case "", sourceFile:
		return nil
	case sourceIncremental, sourceStateOfTheWorld:
		server, err := xdsstandin.Start(anyLoopbackPort, clusterCount)
		if err != nil {
			return err
		}
		t.managementServer = server
		return nil
	default:
		return fmt.Errorf("a list comes from own, delta or whole, not %q", t.options.EndpointSource)
	}
}

func (t *testbed) close() {
	for _, g := range t.gateways {
		g.kill()
	}
	if t.replicas != nil {
		t.replicas.close()
	}
	if t.managementServer != nil {
		t.managementServer.Close()
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, slot := range t.nodes {
		if slot.node != nil {
			slot.node.Close()
		}
	}
}

// startNode starts the test node of a slot; one with slow start warms up as the rules say.
func (t *testbed) startNode(slot *nodeSlot, slowStart bool) error {
	parameters := t.ruleParameters()
	node, err := standin.Start(standin.Options{
		Addr:               anyLoopbackPort,
		Zone:               slot.plan.Zone,
		Shard:              slot.plan.Shard,
		Store:              slot.store,
		Cores:              slot.plan.Cores,
		UnitTime:           slot.plan.UnitTime,
		Queue:              slot.plan.Queue,
		DeferredWriteShare: slot.plan.DeferredWriteShare,
		DedupWindow:        time.Duration(parameters.DedupWindow) * 2,
		SlowStart:          slowStart,
		SlowStartFrom:      parameters.SlowStartFrom,
		SlowStartTime:      time.Duration(parameters.SlowStartTime),
		SlowStartMultiple:  parameters.SlowStartMultiple,
		SlowStartWindow:    time.Duration(parameters.SlowStartWindow),
		SlowStartFreeUnits: parameters.SlowStartFreeUnits,
		Seed:               t.script.Seed,
		Recorder:           t.recorder,
	})
	if err != nil {
		return err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	slot.node = node
	entry := endpoint.Node{Addr: node.Addr(), Zone: slot.plan.Zone, Shard: slot.plan.Shard}
	if slowStart {
		entry.StartedAt = node.StartedAt().UnixNano()
	}
	slot.listed = append(slot.listed, entry)
	return nil
}

// publishList publishes the endpoint list as it is now: through the replicas, the management server or the file.
func (t *testbed) publishList() error {
	t.lock.Lock()
	defer t.lock.Unlock()
	var list endpoint.List
	for _, plan := range t.script.Nodes {
		list.Nodes = append(list.Nodes, t.nodes[plan.Name].listed...)
	}
	if t.replicas != nil {
		t.replicas.proposeList(list)
		return nil
	}
	if t.managementServer != nil {
		t.managementServer.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return slices.Clone(list.Nodes) })
	} else if err := renameio.WriteFile(t.listFile(), endpoint.FormatList(list), 0o644); err != nil {
		return err
	}
	t.recordListed(list)
	return nil
}

// listFile is the file that gateways read the endpoint list from.
func (t *testbed) listFile() string { return filepath.Join(t.dir, "nodes.hcl") }

// recordListed records that a list was published.
func (t *testbed) recordListed(list endpoint.List) {
	states := map[endpoint.Health]string{
		endpoint.Ready:    audit.StateReady,
		endpoint.Draining: audit.StateDraining,
		endpoint.Removed:  audit.StateRemoved,
	}
	for _, node := range list.Nodes {
		t.recorder.Add(audit.Event{Type: audit.NodeListed, Node: node.Addr, State: states[node.Health]})
	}
}

// setHealth changes what the endpoint list says of a node, and publishes it.
func (t *testbed) setHealth(slot *nodeSlot, address string, health endpoint.Health) {
	t.lock.Lock()
	for i := range slot.listed {
		if slot.listed[i].Addr == address {
			slot.listed[i].Health = health
		}
	}
	t.lock.Unlock()
	t.publishListOrLog()
}

// publishListOrLog is publishList for steps of the timeline, which go on after a failure.
func (t *testbed) publishListOrLog() {
	if err := t.publishList(); err != nil {
		t.options.Logf("the list cannot be written: %v", err)
	}
}

// ruleParameters are the parameters of the rules for this scenario.
func (t *testbed) ruleParameters() audit.Parameters {
	parameters := audit.ParametersFromSettings(t.config.Settings)
	parameters.Slack = int64(t.script.Slack)
	parameters.Transit = int64(t.script.Transit)
	parameters.DrainGrace = int64(t.script.DrainGrace)
	parameters.ListDelay = int64(listDelay)
	if r := t.replicas; r != nil { // a gateway that is cut off learns of a drain by the end of its lease or fallback
		parameters.ListDelay = r.convergenceBound() + int64(r.plan.Fallback) + int64(listDelay)
	}
	levels := map[int64]string{} // by volume
	for _, volume := range t.config.Volumes {
		levels[volume.ID] = volume.ServiceLevel
	}
	for id, configured := range t.config.VolumeLimits {
		limit := audit.VolumeLimit(configured)
		// Gateways take limits from versions of the configuration: the highest that there ever was is what is sure.
		for _, change := range t.script.Fleet.Changes {
			if change.ServiceLevel == levels[id] {
				highest := max(change.Proposers-1, 0) + change.repetitions(t.script.Length)
				limit.Rate = max(limit.Rate, change.RateLimit+float64(highest))
			}
		}
		parameters.VolumeLimits[id] = limit
	}
	return parameters
}
