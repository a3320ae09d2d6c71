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
	detectionDelay  = 500 * time.Millisecond // from the crash of a node until it is listed as removed
	listDelay       = time.Second            // longest time until a published endpoint list reaches the gateways
	drainTime       = 3 * time.Second        // how long a replaced node is listed as draining
	clusterCount    = 2                      // xDS clusters over which the management server spreads the nodes
)

// Values of Options.EndpointSource.
const (
	sourceFile            = "own"
	sourceIncremental     = "delta" // incremental xDS
	sourceStateOfTheWorld = "whole" // state-of-the-world xDS
)

// testbed holds the state of a running scenario.
type testbed struct {
	script           *Script
	options          Options
	config           *config.Config
	configText       string // source of config
	dir              string // temporary files of this scenario
	recorder         *audit.Recorder
	clock            gateway.Clock
	nodes            map[string]*nodeSlot
	gateways         []*gatewayInstance
	managementServer *xdsstandin.Server // nil if the endpoint list does not come from one
	replicas         *replicaSet        // nil if there are none

	lock sync.Mutex // guards node and listed of each nodeSlot, and serializes the publication of endpoint lists
}

// nodeSlot is a node of the script: its stored data, and the test node that serves the data at present.
type nodeSlot struct {
	plan   NodePlan
	store  *standin.Store
	node   *standin.Node
	listed []endpoint.Node // entries of the endpoint list: the present test node and its predecessors
}

// start starts nodes and replicas, publishes the first endpoint list, and starts the gateways.
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

// startManagementServer starts a management server if the options select one as the endpoint source.
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
		return fmt.Errorf("unknown endpoint source %q, it is not own, delta or whole", t.options.EndpointSource)
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

// startNode starts a test node for a slot. With slowStart, the node warms up according to the parameters of the rules.
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

// publishList publishes the current endpoint list: through the replicas, the management server or a file.
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

// listFile returns the path of the file from which gateways read the endpoint list.
func (t *testbed) listFile() string { return filepath.Join(t.dir, "nodes.hcl") }

// recordListed records for the audit that a list was published.
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

// setHealth changes the health of a node in the endpoint list, and publishes the list.
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

// publishListOrLog publishes the endpoint list and logs an error. Steps of the timeline use it, as the scenario goes
// on after such an error.
func (t *testbed) publishListOrLog() {
	if err := t.publishList(); err != nil {
		t.options.Logf("cannot publish the endpoint list: %v", err)
	}
}

// ruleParameters returns the parameters of the audit's rules for this scenario.
func (t *testbed) ruleParameters() audit.Parameters {
	parameters := audit.ParametersFromSettings(t.config.Settings)
	parameters.Slack = int64(t.script.Slack)
	parameters.Transit = int64(t.script.Transit)
	parameters.DrainGrace = int64(t.script.DrainGrace)
	parameters.ListDelay = int64(listDelay)
	if r := t.replicas; r != nil { // a cut-off gateway uses an old list at most until its lease and its fallback end
		parameters.ListDelay = r.convergenceBound() + int64(r.plan.Fallback) + int64(listDelay)
	}
	levels := map[int64]string{} // by volume
	for _, volume := range t.config.Volumes {
		levels[volume.ID] = volume.ServiceLevel
	}
	for id, configured := range t.config.VolumeLimits {
		limit := audit.VolumeLimit(configured)
		// Gateways take the limit from the versions that they act on, so only the highest limit of all versions is
		// certain to hold.
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
