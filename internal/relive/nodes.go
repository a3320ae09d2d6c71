package relive

import (
	"maps"
	"slices"

	"irispost/internal/audit"
	"irispost/internal/capture"
	"irispost/internal/endpoint"
	"irispost/internal/standin"
)

// sendCommands sends commands to the test node that replaces a captured node.
func (p *play) sendCommands(address string, commands []string) error {
	testNode := p.nodes[address]
	if testNode == nil {
		return nil // the node is not listed yet
	}
	for _, command := range commands {
		if err := testNode.Command(command); err != nil {
			return err
		}
	}
	return nil
}

// updateEndpoints starts test nodes for new and restarted nodes, and passes the list to the gateway with the addresses
// of the test nodes.
func (p *play) updateEndpoints(record *capture.Record) error {
	if record.Kind == capture.KindEndpointList { // a complete list: nodes that it does not contain were removed
		for address, listed := range p.listed {
			listed.Health = endpoint.Removed
			p.listed[address] = listed
		}
	}
	for _, captured := range record.Nodes {
		before, known := p.listed[captured.Addr]
		if !known || captured.StartedAt > before.StartedAt {
			if err := p.startNode(captured); err != nil {
				return err
			}
		}
		p.listed[captured.Addr] = captured
	}
	var list endpoint.List
	for _, address := range slices.Sorted(maps.Keys(p.listed)) {
		list.Nodes = append(list.Nodes, p.playedNode(address))
	}
	states := map[endpoint.Health]string{
		endpoint.Ready:    audit.StateReady,
		endpoint.Draining: audit.StateDraining,
		endpoint.Removed:  audit.StateRemoved,
	}
	for _, listed := range list.Nodes {
		p.recorder.Add(audit.Event{Type: audit.NodeListed, Node: listed.Addr, State: states[listed.Health]})
	}
	p.loop.UpdateEndpoints(list)
	return nil
}

// playedNode returns the list entry of a captured node in this play. It has the address of the test node and, if the
// captured node started during the capture, the start time of the test node.
func (p *play) playedNode(address string) endpoint.Node {
	listed := p.listed[address]
	listed.Addr = p.nodes[address].Addr()
	if listed.StartedAt > p.script.StartedAt {
		listed.StartedAt = p.nodes[address].StartedAt().UnixNano()
	} else {
		listed.StartedAt = 0
	}
	return listed
}

// startNode starts the test node of a captured node. It replaces the test node of an earlier start.
func (p *play) startNode(captured endpoint.Node) error {
	if p.stores[captured.Shard] == nil {
		store, err := standin.NewStore("")
		if err != nil {
			return err
		}
		p.stores[captured.Shard] = store
	}
	if before := p.nodes[captured.Addr]; before != nil {
		before.Close()
	}
	started, err := standin.Start(standin.Options{
		Addr:        "127.0.0.1:0",
		Zone:        captured.Zone,
		Shard:       captured.Shard,
		Store:       p.stores[captured.Shard],
		Cores:       nodeCores,
		UnitTime:    p.script.nodes[captured.Addr].medianUnitTime(),
		Queue:       nodeQueue,
		DedupWindow: nodeDedupWindow,
		Seed:        p.script.Seed,
		Recorder:    p.recorder,
	})
	if err != nil {
		return err
	}
	p.nodes[captured.Addr] = started
	return nil
}

func (p *play) close() {
	for _, testNode := range p.nodes {
		testNode.Close()
	}
}
